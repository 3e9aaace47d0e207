"""The judge on small hand-written notes: each violation is reported once, and a similar lawful case is not."""

import pytest

from sprucespool.judge import RuleFacts, judge, score, seen
from sprucespool.judge.rules import GroupRule
from sprucespool.judge.score import GroupValue

FACTS = RuleFacts(
    {
        "free": GroupRule("retriable"),
        "once": GroupRule("non-retriable"),
        "all": GroupRule("deduped", "all", 1000.0),
        "zone": GroupRule("deduped", "zone", 1000.0),
    },
    drain_grace=500.0,
    may_duplicate=False,
    cold_share=0.25,
    warm_after=8000.0,
    fall_multiple=3.0,
    fall_window=1000.0,
    order_floor=1.0,
    order_share=0.1,
    order_window=1000.0,
)


def sent(id="a", t=0.0, group="free", ttl=1000.0):
    return seen.Sent(t, id, id, 0, group, ttl)


def came(t, n=1, id="a", invoker="w1", work=50.0):
    return seen.Came(t, invoker, invoker + "#", n, id, 0, work)


def went(t, how="returned", n=1, invoker="w1"):
    return seen.Went(t, invoker, invoker + "#", n, how)


def boot(invoker, zone, cold=False, t=-1e6):
    return seen.Booted(t, invoker, invoker + "#", 2, 1.0, cold, zone)


OK, SHED = seen.Answer(900.0, "a", 0), seen.Answer(900.0, "a", 8)
PLACES = [boot("w1", "x"), boot("w2", "x"), boot("w3", "y")]
LINK_PLACES = [seen.Booted(-1e6, f"w{n}", f"w{n}#", 2, 1.0, False, "x", "", f"i{n}") for n in (1, 2)]
CASES = {
    "answered in time": ([sent(), OK], []),
    "two answers": ([sent(), OK, seen.Answer(950.0, "a", 2)], [1]),
    "late": ([sent(), seen.Answer(1300.0, "a", 2)], [1]),
    "late by the sockets' slack only": ([sent(), seen.Answer(1200.0, "a", 2)], []),
    "late by what the machine kept its controller": (
        [sent(), seen.Starved(1100.0, 1000.0, {"c0": 60.0}, 0.0), seen.Answer(1300.0, "a", 2)],
        [],
    ),
    "late by what the host took from a core": (
        [sent(), seen.Starved(100.0, 0.0, {}, 60.0), seen.Answer(1300.0, "a", 2)],
        [],
    ),
    "late by more than the machine kept": (
        [sent(), seen.Starved(1100.0, 1000.0, {"c0": 40.0}, 0.0), seen.Answer(1300.0, "a", 2)],
        [1],
    ),
    "late while the machine kept another": (
        [sent(), seen.Starved(1100.0, 1000.0, {"c1": 90.0}, 0.0), seen.Answer(1300.0, "a", 2)],
        [1],
    ),
    "late, the machine busy long before": (
        [sent(), seen.Starved(600.0, 500.0, {"c0": 90.0}, 0.0), seen.Answer(1300.0, "a", 2)],
        [1],
    ),
    "late by more than a look can keep": (
        [sent(), seen.Starved(1100.0, 1000.0, {"c0": 90.0, "clients": 90.0}, 90.0), seen.Answer(1360.0, "a", 2)],
        [1],
    ),
    "called off in time, its word late on a bad link": (
        [
            sent(),
            *LINK_PLACES,
            came(0.0),
            seen.BadLink(50.0, 0, "i1", 400.0),
            came(100.0, 2, invoker="w2"),
            went(300.0, "cancelled"),
            OK,
        ],
        [],
    ),
    "called off late on a link that was bad before": (
        [
            sent(t=500.0),
            *LINK_PLACES,
            came(500.0),
            seen.BadLink(50.0, 0, "i1", 400.0),
            came(600.0, 2, invoker="w2"),
            went(800.0, "cancelled"),
            OK,
        ],
        [2],
    ),
    "called off late while another's link is bad": (
        [
            sent(),
            *LINK_PLACES,
            came(0.0),
            seen.BadLink(50.0, 1, "i1", 400.0),
            seen.BadLink(50.0, 0, "i2", 400.0),
            came(100.0, 2, invoker="w2"),
            went(300.0, "cancelled"),
            OK,
        ],
        [2],
    ),
    "never, on a busy machine": (
        [sent(), seen.Starved(2500.0, 0.0, {"c0": 2400.0}, 0.0), seen.NoAnswer(2500.0, "a")],
        [1],
    ),
    "never": ([sent(), seen.NoAnswer(1600.0, "a")], [1]),
    "never, of a killed controller": ([sent(), seen.Killed(500.0, 0), seen.NoAnswer(1600.0, "a")], []),
    "late, of a stalled controller": ([sent(), seen.Stalled(800.0, 0, 1700.0), seen.Answer(1800.0, "a", 4)], []),
    "later than the stall": ([sent(), seen.Stalled(800.0, 0, 1200.0), seen.Answer(1800.0, "a", 4)], [1]),
    "its connection broke": ([sent(), seen.Unreached(300.0, "a", True)], [1]),
    "no connection was had": ([sent(), seen.Unreached(300.0, "a", False)], []),
    "forwarded after its end": ([sent(), OK, came(1300.0)], [1]),
    "forwarded after its client left": ([sent(), seen.LeftEarly(100.0, "a"), came(600.0)], [1]),
    "free, again": ([sent(), came(10), went(50, "lost"), came(60, 2), went(90, n=2), OK], []),
    "once, again": ([sent(group="once"), came(10), went(50, "lost"), came(60, 2), went(90, n=2), OK], [2]),
    "once, again after a refusal": (
        [sent(group="once"), came(10), went(50, "refused"), came(60, 2), went(90, n=2), OK],
        [],
    ),
    "once, shed though it may have run": ([sent(group="once"), came(10), went(50, "lost"), SHED], [2]),
    "once, shed after a miss": ([sent(group="once"), came(10), went(50, "missed"), SHED], []),
    "all, again too late": (
        [
            sent(group="all", ttl=5000.0),
            came(10),
            went(50, "lost"),
            came(1400, 2),
            went(1500, n=2),
            seen.Answer(1500.0, "a", 0),
        ],
        [2],
    ),
    "all, shed": ([sent(group="all"), came(10), went(50, "lost"), SHED], []),
    "zone, again inside": (
        [*PLACES, sent(group="zone"), came(10), went(50, "lost"), came(60, invoker="w2"), went(90, invoker="w2"), OK],
        [],
    ),
    "zone, again outside": (
        [*PLACES, sent(group="zone"), came(10), went(50, "lost"), came(60, invoker="w3"), went(90, invoker="w3"), OK],
        [2],
    ),
    "zone, shed": ([sent(group="zone"), came(10), went(50, "lost"), SHED], [2]),
    "two at once": ([sent(), came(10), came(400, 1, invoker="w2"), went(500), went(600, invoker="w2"), OK], [2]),
    "one after the other's cancel": (
        [sent(), came(10), came(400, 1, invoker="w2"), went(420, "cancelled"), went(600, invoker="w2"), OK],
        [],
    ),
    "after the other's death": (
        [sent(), came(10), seen.Died(300, "w1", "w1#"), came(400, invoker="w2"), went(600, invoker="w2"), OK],
        [],
    ),
    "past the grace": ([seen.Told(0.0, 0, "w1", "w1#", "draining"), sent(), came(800.0), went(850.0), OK], [3]),
    "within the grace": ([seen.Told(0.0, 0, "w1", "w1#", "draining"), sent(), came(700.0), went(750.0), OK], []),
    "told again does not begin anew": (
        [seen.Told(0.0, 0, "w1", "", "draining"), seen.Told(600.0, 0, "w1", "", "gone"), sent(), came(800.0), OK],
        [3],
    ),
    "past the grace by what the machine kept the invoker": (
        [
            seen.Told(0.0, 0, "w1", "w1#", "draining"),
            sent(),
            seen.Starved(760.0, 660.0, {"w1#": 60.0}, 0.0),
            came(800.0),
            went(850.0),
            OK,
        ],
        [],
    ),
    "two at once by what the machine kept the cancelled": (
        [
            sent(),
            came(10),
            came(400, 1, invoker="w2"),
            seen.Starved(500.0, 400.0, {"w1#": 50.0}, 0.0),
            went(500),
            went(600, invoker="w2"),
            OK,
        ],
        [],
    ),
    "in service again": (
        [
            seen.Told(0.0, 0, "w1", "", "gone"),
            seen.Told(100.0, 0, "w1", "", "in service"),
            sent(),
            came(850.0),
            went(880.0),
            OK,
        ],
        [],
    ),
    "told another controller": ([seen.Told(0.0, 1, "w1", "", "gone"), sent(), came(850.0), went(880.0), OK], []),
    "an order past the grace": (
        [seen.Told(0.0, 0, "w1", "", "gone"), seen.Ordered(900.0, "w1", "w1#", 0, "m", 1)],
        [3],
    ),
    "a question past the grace": (
        [seen.Told(0.0, 0, "w1", "", "gone"), seen.Ordered(900.0, "w1", "w1#", 0, "m", 0)],
        [],
    ),
    "a cold one pushed": ([boot("w1", "x", True, 0.0), *[came(100.0 + n, n, f"z{n}") for n in range(32)]], [4]),
    "a cold one sent its part": ([boot("w1", "x", True, 0.0), *[came(100.0 + n, n, f"z{n}") for n in range(29)]], []),
    "a warm one sent the same": ([boot("w1", "x"), *[came(100.0 + n, n, f"z{n}") for n in range(40)]], []),
    "one that fell": ([seen.PushedOver(5.0, "w1", "w1#", 9.0, 8.0)], [4]),
    "orders beyond the ration": (
        [sent(), OK, *[seen.Ordered(100.0 + n, "w1", "w1#", 0, "m", 1) for n in range(3)]],
        [5],
    ),
    "one order": ([sent(), OK, seen.Ordered(100.0, "w1", "w1#", 0, "m", 1)], []),
}


@pytest.mark.parametrize("name", CASES)
def test_violation_is_reported_once_and_similar_lawful_case_is_not(name):
    notes, rules = CASES[name]
    assert [violation.rule for violation in judge(notes, FACTS)] == rules


def test_repeat_counts_with_its_first_try_and_slo_time_runs_from_the_first():
    groups = {"free": GroupValue(600.0, 1.0, 0.1)}
    repeat = seen.Sent(500.0, "a.1", "a", 0, "free", 1000.0, "", 1)
    late_answer = [sent(), seen.Answer(100.0, "a", 8), repeat, seen.Answer(700.0, "a.1", 0)]
    table = score(late_answer, groups)
    assert (table.taken, table.tries, table.late, table.in_slo_time, table.service) == (1, 2, 1, 0, 0.1)
    table = score(
        [
            sent(),
            seen.Answer(100.0, "a", 8),
            repeat,
            seen.Answer(550.0, "a.1", 0),
            sent("b"),
            seen.Answer(10.0, "b", 8),
        ],
        groups,
    )
    assert (table.in_slo_time, table.shed, table.service) == (1, 1, 0.5)


def test_notes_truncated_by_a_kill_are_read_up_to_the_truncation():
    lines = [seen.ENCODER.encode(sent()) + b"\n", seen.ENCODER.encode(OK)[:-4]]
    assert list(seen.read(lines)) == [sent()]


def test_drain_report_applies_to_the_process_it_names_or_to_every_process_if_it_names_none():
    def violated_rules(boot, reported_boot, *earlier):
        arrival = seen.Came(9_000.0, "w", boot, 1, "a", 0, 50.0)
        return [
            violation.rule
            for violation in judge([*earlier, seen.Told(5_000.0, 0, "w", reported_boot, "draining"), arrival], FACTS)
        ]

    in_service = seen.Told(1_000.0, 0, "w", "2", "in service")
    assert (
        violated_rules("1", "1") == [3]
        and violated_rules("2", "", in_service) == [3]
        and violated_rules("2", "2", in_service) == [3]
    )
    assert violated_rules("2", "1") == [3], "this controller received no report about the other process"
    assert violated_rules("2", "1", in_service) == [], "an old copy of a roster describes the previous process"
