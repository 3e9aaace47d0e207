"""The platform's protocol without sockets: arbitrary splits of the bytes, noise, and violations of the protocol."""

import json
import re
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from platform_world import DEPLOYMENT, SETTINGS, configuration, frame, request_frame
from receiving import receive_all
from sprucespool import interface as it
from sprucespool.links import LinkError, SendNotAllowed
from sprucespool.relay import frames as fr
from sprucespool.relay import lines as ln
from sprucespool.relay.configuration import ConfigurationError, read
from sprucespool.relay.feed import EntryError, FeedLink, Roster, ChannelEvent

pytestmark = pytest.mark.sockets


def pieces(data: bytes, cuts: list[int]):
    edges = [0, *sorted({cut % (len(data) + 1) for cut in cuts}), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False) if b > a]


CUTS = st.lists(st.integers(0, 10_000), max_size=12)


@given(CUTS, st.binary(max_size=300))
def test_requests_are_the_same_however_the_bytes_are_cut(cuts, body):
    data = (
        request_frame(1, body=body)
        + (5).to_bytes(4, "big")
        + b"\x20"
        + bytes(4)
        + request_frame(2, id="b" * 16)
        + (5).to_bytes(4, "big")
        + b"\x12"
        + (2).to_bytes(4, "big")
    )
    link = fr.FrameLink(fr.RequestReader(DEPLOYMENT))
    events = [event for piece in pieces(data, cuts) for event in receive_all(link, piece)]
    assert [type(event) for event in events] == [fr.Request, fr.ReadinessQuery, fr.Request, fr.Cancellation]
    assert events[0].body == body and events[0].model == "7f3a9c21e0b4d655" and events[0].lanes == 2
    assert link.open == {1}


def test_tags_of_ended_requests_are_forgotten_after_their_life():
    """Guards against: a connection in use remembers each request that it ever carried."""
    now = 0.0
    link = ln.InvokerLink(lambda: now)
    for number in range(200):
        now = number * ln.TAG_LIFE_MS / 100
        link.order(f"o{number}", "7f3a9c21e0b4d655", 1)
        link.outgoing()
        assert len(link.receive(f"o{number} HIT n=1 0\r\n\r\n".encode(), now)) == 1
    assert len(link.used_tags) <= 101
    with pytest.raises(SendNotAllowed):
        link.order("o150", "7f3a9c21e0b4d655", 1)


@given(CUTS)
def test_many_frames_are_handled_in_parts_and_in_order(cuts):
    """Guards against: one read's frames are all handled at once, or some of those left over are lost or reordered."""
    link = fr.FrameLink(fr.RequestReader(DEPLOYMENT))
    numbers = range(1, 5 * fr.MAX_COST_PER_RECEIVE)
    data = b"".join(frame(fr.READINESS_QUERY, number, b"\0") for number in numbers)
    assert [event.stream for piece in pieces(data, cuts) for event in receive_all(link, piece)] == list(numbers)
    assert not link.unparsed
    assert len(link.receive(data, 0.0)) == fr.MAX_COST_PER_RECEIVE and link.deferred


def test_requests_with_many_fields_cost_more():
    """Guards against: heads of very many short fields count as little as small frames."""
    link = fr.FrameLink(fr.RequestReader(DEPLOYMENT))
    fields = {f"{number:x}": "" for number in range(240)}
    data = b"".join(request_frame(number, id=f"{number:016x}", **fields) for number in range(1, 11))
    assert len(link.receive(data, 0.0)) <= 2 and link.deferred


@given(st.binary(max_size=600), CUTS)
def test_noise_from_a_client_raises_only_named_errors(data, cuts):
    link = fr.FrameLink(fr.RequestReader(DEPLOYMENT))
    try:
        for piece in pieces(data, cuts):
            assert all(isinstance(event, fr.Cancellation | fr.ReadinessQuery) for event in link.receive(piece, 0.0))
    except fr.FrameError:
        assert link.outgoing()[0][4] == fr.ANSWER


@pytest.mark.parametrize(
    "change",
    [
        {"id": ""},
        {"id": "9B1F03AA5C7E2D41"},
        {"id": "9b1f03aa5c7e2d4"},
        {"class": "none"},
        {"tenant": "nobody"},
        {"tenant": ""},
        {"wait": "nan"},
        {"wait": "-5"},
        {"wait": "1e9"},
        {"wait": "9999999"},
        {"wait": ""},
        {"wait": "0"},
        {"key": "x" * 16},
        {"key": ""},
        {"retry": "2"},
        {"attrs": "lanes"},
        {"attrs": "lanes:0"},
        {"attrs": "lanes:1.5"},
        {"attrs": "lanes:inf"},
        {"attrs": "memory_mb:-1"},
        {"attrs": "memory_mb:1;memory_mb:2"},
        {"once": "abc"},
        {"once": "", "class": "publish"},
    ],
)
def test_invalid_fields_end_the_connection_with_an_error_on_their_stream(change):
    link = fr.FrameLink(fr.RequestReader(DEPLOYMENT))
    with pytest.raises(fr.RequestError, match=f"expected .*{list(change)[0]}"):
        link.receive(request_frame(7, **change), 0.0)
    out = link.outgoing()[0]
    assert out[4] == fr.ANSWER and int.from_bytes(out[5:9], "big") == 7 and out[9] == fr.FAILED


def test_duplicate_numbers_too_many_open_requests_and_invalid_lengths_are_rejected():
    for data in (
        request_frame(1) + request_frame(1, id="c" * 16),
        (4).to_bytes(4, "big"),
        (2**31).to_bytes(4, "big") + b"x",
        b"".join(request_frame(n, id=f"{n:016x}") for n in range(1, 34)),
        request_frame(1, body=bytes(16_385)),
        (5).to_bytes(4, "big") + b"\x12" + (9).to_bytes(4, "big"),
    ):
        with pytest.raises(fr.FrameError):
            receive_all(fr.FrameLink(fr.RequestReader(DEPLOYMENT)), data)


def test_each_request_is_answered_once_and_shed_carries_the_retry_time():
    link = fr.FrameLink(fr.RequestReader(DEPLOYMENT))
    link.receive(request_frame(1) + request_frame(2, id="d" * 16), 0.0)
    link.shed(1, 120.2)
    link.returned(2, b"\x00\xff")
    out = link.outgoing()[0]
    assert out == (
        b"\x00\x00\x00\x12\x11\x00\x00\x00\x01\x0e\x01\x05after\x00\x03121"
        b"\x00\x00\x00\x09\x11\x00\x00\x00\x02\x00\x00\x00\xff"
    )
    with pytest.raises(fr.SendNotAllowed):
        link.failed(1)


def run(link, tag="9b1f03aa5c7e2d41"):
    link.run(tag, "call", "7f3a9c21e0b4d655", 1500.9, "ab" * 16, b"\r\n\x00")


def write_all(link):
    while link.more:
        link.outgoing()


@given(CUTS, st.binary(max_size=200))
def test_answers_of_an_invoker_are_the_same_however_cut_with_duplicates_and_unknown_ids_between(cuts, body):
    link = ln.InvokerLink(lambda: 0.0)
    run(link)
    assert link.outgoing()[0] == (
        b"exec 9b1f03aa5c7e2d41 cls=call,item=7f3a9c21e0b4d655,limit=1500,nonce=" + b"ab" * 16 + b" 3\r\n\r\n\x00\r\n"
    )
    link.order("o1", "7f3a9c21e0b4d655", 2)
    write_all(link)
    good = b"9b1f03aa5c7e2d41 HIT tell=rode,same=3,meter=util:0.5;x1:2 %d\r\n%b\r\n" % (len(body), body)
    data = b"ffff HIT - 2\r\nno\r\n" + good + good + b"o1 SHED n=1 0\r\n\r\n"
    answers = [answer for piece in pieces(data, cuts) for answer in link.receive(piece, 0.0)]
    assert [(a.tag, a.outcome) for a in answers] == [("9b1f03aa5c7e2d41", it.Outcome.RETURNED), ("o1", it.Outcome.FULL)]
    assert answers[0].body == body and answers[0].found is it.Found.AWAITED_LOAD and answers[0].same_model == 3
    assert answers[0].report == {"util": 0.5, "x1": 2.0} and answers[1].loaded_copies == 1 and link.skipped == 2


@given(st.binary(max_size=400), CUTS)
def test_noise_from_an_invoker_raises_only_named_errors(data, cuts):
    link = ln.InvokerLink(lambda: 0.0)
    run(link)
    write_all(link)
    try:
        assert [a for piece in pieces(data, cuts) for a in link.receive(piece, 0.0)] == []
    except ln.LineError as error:
        assert isinstance(error, LinkError) and str(error)


@pytest.mark.parametrize(
    "noise",
    [
        b"9b1f03aa5c7e2d41 HIT - 3000000000\r\n",
        b"x" * 5000,
        b"9b1f03aa5c7e2d41 HIT\r\n",
        b"9b1f03aa5c7e2d41 HIT - 2\r\nabc\r\n",
        b"9b1f03aa5c7e2d41 PONG - 0\r\n\r\n",
    ],
)
def test_valid_answers_before_noise_count_and_excessive_lengths_are_not_awaited(noise):
    link = ln.InvokerLink(lambda: 0.0)
    run(link)
    link.probe("p1", True)
    write_all(link)
    answers = link.receive(b"p1 PONG meter=util:0.1 0\r\n\r\n" + noise, 0.0)
    assert [answer.tag for answer in answers] == ["p1"] and link.read_error
    fresh = ln.InvokerLink(lambda: 0.0)
    run(fresh)
    write_all(fresh)
    with pytest.raises(ln.LineError):
        fresh.receive(noise, 0.0)


@pytest.mark.parametrize("withdrawn", [False, True])
def test_an_answer_to_a_request_that_is_not_written_yet_does_not_end_it(withdrawn):
    """Guards against: such an answer was passed on, and the line was written for nobody or could not be withdrawn."""
    link = ln.InvokerLink(lambda: 0.0)
    run(link)
    answer = b"9b1f03aa5c7e2d41 HIT - 2\r\nok\r\n"
    assert link.receive(answer, 0.0) == [] and link.skipped == 1
    if withdrawn:
        assert link.give_up("9b1f03aa5c7e2d41") is False and link.outgoing() == (b"", [])
    else:
        assert link.outgoing()[0].startswith(b"exec 9b1f03aa5c7e2d41 ")
        assert [answer.body for answer in link.receive(answer, 0.0)] == [b"ok"]


def test_an_abandoned_request_is_never_written_and_no_id_is_used_twice():
    link = ln.InvokerLink(lambda: 0.0)
    run(link)
    assert link.give_up("9b1f03aa5c7e2d41") is False and link.outgoing()[0] == b""
    with pytest.raises(ln.SendNotAllowed):
        run(link)
    run(link, "e" * 16)
    link.outgoing()
    assert link.give_up("e" * 16) is True and link.outgoing()[0] == b"drop " + b"e" * 16 + b"\r\n"
    # A late answer to an abandoned request is ignored.
    assert link.receive(b"e" * 16 + b" HIT - 0\r\n\r\n", 0.0) == []


def host(name="s-1", dial="127.0.0.1:9", health="up", born=0):
    return {
        "host": name,
        "dial": dial,
        "site": "east",
        "class": "std",
        "block": 2,
        "health": health,
        "share": 4,
        "born_ms": born,
    }


def event(number, whole, *hosts):
    return {"cursor": number, "nodes": {"seq": number, "whole": whole, "hosts": list(hosts)}}


@given(CUTS, st.booleans())
def test_channel_events_are_the_same_however_cut_and_chunked(cuts, chunked):
    text = b': x\n\nid: 4\r\ndata: {"a":\r\ndata: 1}\r\n\r\n: y\n\nid:5\ndata:{}\n\nid: 6\ndata: {'
    body = b"".join(b"%x\r\n%b\r\n" % (len(text[n : n + 7]), text[n : n + 7]) for n in range(0, len(text), 7))
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    data = head + (b"Transfer-Encoding: chunked\r\n\r\n" + body if chunked else b"Connection: close\r\n\r\n" + text)
    link = FeedLink("127.0.0.1:1", 3, 2**20)
    assert b"GET /cmd/next HTTP/1.1\r\n" in (out := link.outgoing()[0]) and b"Last-Event-ID: 3\r\n" in out
    events = [event for piece in pieces(data, cuts) for event in link.receive(piece, 0.0)]
    assert events == [ChannelEvent(4, b'{"a":\n1}'), ChannelEvent(5, b"{}")]


def test_repeated_events_apply_once_gaps_are_requested_and_invalid_ones_change_nothing():
    roster = Roster()
    news = roster.restore(
        2, [event(1, True, host(), host("s-2")), event(2, False, host("s-2", health="draining"))], 0.0
    )
    assert [n.kind for n in news] == ["restored", "replace", "update"] and set(roster.places) == {"s-1", "s-2"}

    def apply(*args):
        return roster.apply(ChannelEvent(args[0], json.dumps(event(*args)).encode()), 5_000.0)

    assert apply(2, False, host("s-9")) == [] and apply(4, False, host("s-9")) is None and roster.last == 2
    with pytest.raises(EntryError, match="event 3: expected health"):
        apply(3, False, host(health="odd"))
    [news] = apply(3, False, host("s-2", health="removed"), host("s-3", dial="10.1.0.3:10080", born=4_000))
    assert [(row.invoker, row.status, row.age) for row in news.rows] == [
        ("s-2", "gone", None),
        ("s-3", "in service", 1000.0),
    ]
    # A new invoker at a known address, or a restarted process, is a different place than the previous one.
    before = roster.places["s-1"]
    apply(4, False, host(born=6_000))
    assert roster.places["s-1"] != before and "s-2" not in roster.places
    apply(9, True, host("s-4"))
    assert list(roster.places) == ["s-4"] and roster.last == 9


def test_settings_are_read_by_the_shared_parser_and_invalid_files_name_the_place():
    plan = read(json.dumps(configuration()).encode())
    assert [group.name for group in plan.deployment.groups] == ["call", "publish"] and plan.sockets == 256
    assert plan.deployment.groups[1].effect is it.Effect.DEDUPED and plan.deployment.may_order
    settings_without = {name: value for name, value in SETTINGS.items() if name != "tick"}
    for change, what in (
        ({"listen": "x"}, "listen"),
        ({"settings": settings_without}, "tick"),
        ({"known": 3}, "known"),
        ({"channel": None}, "channel"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
    ):
        with pytest.raises(ConfigurationError, match=what):
            read(json.dumps(configuration(**change)).encode())
    with pytest.raises(ConfigurationError, match="JSON"):
        read(b"{")


@pytest.mark.parametrize(
    "place, value, what",
    [
        ("balancers", 0, "balancers as a whole number of at least 1"),
        ("me", 1, "me below balancers"),
        ("tick", -4, "tick as a number of at least 0"),
        ("profiles.0.slo", 0, "profiles.0.slo as a number above 0"),
        ("profiles.1.dedupWindow", -1, "profiles.1.dedupWindow"),
        ("profiles.1.name", "call", "each of profiles"),
        ("rules.coldFrom", 1.5, "rules.coldFrom as a number of at least 0 and at most 1"),
        ("rules.stopSendingWithin", "soon", "rules.stopSendingWithin as a number"),
        ("ceilings.mostTries", 0, "ceilings.mostTries"),
        ("ceilings.streamsPerConn", -1, "ceilings.streamsPerConn"),
        ("specifics.idleLife", {"ms": 1}, "specifics.idleLife as one value"),
        ("specifics.ramMbByKind", ["much"], "specifics.ramMbByKind as a number"),
    ],
)
def test_a_setting_out_of_range_or_of_the_wrong_type_gives_a_one_line_error_that_names_it(place, value, what):
    # Accepted silently, each of these broke a rule or the controller only later, far from the cause.
    changed = json.loads(json.dumps(SETTINGS))
    *path, last = [int(name) if name.isdigit() else name for name in place.split(".")]
    inner = changed
    for name in path:
        inner = inner[name]
    inner[last] = value
    with pytest.raises(ConfigurationError, match=re.escape(what)) as error:
        read(json.dumps(configuration(settings=changed)).encode())
    assert "\n" not in str(error.value)


def test_an_object_in_place_of_a_list_of_names_is_rejected_and_unknown_settings_are_ignored():
    with pytest.raises(ConfigurationError, match="models"):
        read(json.dumps(configuration(settings={**SETTINGS, "models": {"std": 1}})).encode())
    known = read(json.dumps(configuration()).encode()).deployment
    more = read(json.dumps(configuration(settings={**SETTINGS, "novel": {"x": [1, {"y": -1}]}})).encode()).deployment
    assert more.tick == known.tick and [group.name for group in more.groups] == ["call", "publish"]


settings.register_profile("steady", derandomize=True, max_examples=60, deadline=None)
settings.load_profile("steady")


@pytest.mark.parametrize("line", [b"data:\n", b"data: 12345678\n", b"data: " + bytes(100_000) + b"\n", b"x" * 65_536])
def test_an_event_that_never_ends_is_refused_before_its_lines_take_more_than_the_limit(line):
    """Guards against: lines without data counted nothing, and the limit of 8 MB for each watch knew no memory limit."""
    link = FeedLink("127.0.0.1:1", 3, 2**20)
    link.receive(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 4\n", 0.0)
    lines = line * (65_536 // len(line) or 1)
    with pytest.raises(LinkError, match="at most 1048576 bytes"):
        for _ in range(200):
            link.receive(lines, 0.0)
            assert sum(map(sys.getsizeof, link.data)) + len(link.partial_line) <= 2**20
