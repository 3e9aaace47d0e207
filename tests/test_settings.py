"""Settings files: decoding, writing, and errors that give file, line, node and expectation on one line."""

from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool.settings import Bytes, Duration, SettingsError, read, write
from sprucespool.settings.controller import ControllerPlan, Invokers, ModelFacts, ModelTable, deployment
from sprucespool.settings.kdl import _scan
from sprucespool.standin.schedule import schedule
from sprucespool.standin.script import Day

GOOD = """// a controller
listen "127.0.0.1:7700"
roster watch="127.0.0.1:7600"
model-group "line" slo-time="600ms" route-timeout="2.5s"
/- model-group "out" {
    slo-time "1s"
}
model-group "once" effect="non-retriable" {
    slo-time "1s"
    route-timeout "4s" /* over
    two lines */
}
tenant "nile" quota=50.0
model "subtitle-*" group="line" lanes=2 memory="600MB"
stop-within "3s"
"""


def test_valid_file_gives_the_deployment_facts():
    facts = deployment(read(ControllerPlan, GOOD, "f.kdl"))
    assert [(g.name, g.slo_time, g.route_timeout) for g in facts.groups] == [
        ("line", 600.0, 2500.0),
        ("once", 1000.0, 4000.0),
    ]
    assert facts.tenants[0].quota_per_s == 50.0 and facts.may_order and not facts.may_duplicate


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('"600ms"', "600", 'f.kdl:4: model-group: slo-time: expected a text such as "250ms"'),
        ('"600ms"', '"600 parsecs"', "f.kdl:4: model-group: slo-time: expected a text"),
        ('slo-time="600ms"', 'slo-tim="600ms"', "f.kdl:4: model-group: no property 'slo-tim' here, expected one of"),
        ('slo-time="600ms" ', "", "f.kdl:4: model-group: expected slo-time"),
        (
            '"2.5s"',
            '"0.5s"',
            "f.kdl:4: model-group: expected a slo-time above 0 and a route-timeout that is not shorter",
        ),
        ('"4s"', "4", 'f.kdl:10: model-group route-timeout: expected a text such as "250ms"'),
        ("quota=50.0", 'quota="many"', "f.kdl:13: tenant: quota: expected float, got str"),
        ('group="line"', 'group="lime"', "f.kdl: model 'subtitle-*': no model-group 'lime'"),
        ("stop-within", "stop-with", "f.kdl:15: stop-with: expected one of"),
        ('"127.0.0.1:7700"', '"10.0.0.1:7700"', "f.kdl: expected a loopback address"),
        ('"127.0.0.1:7700"', '"127.0.0.1"', "f.kdl: expected an address such as 127.0.0.1:7700"),
        ('watch="127.0.0.1:7600"', "", "f.kdl:3: roster: expected one of watch"),
        ('effect="non-retriable"', 'effect="never"', "f.kdl:8: model-group: effect: expected one of retriable"),
        ('tenant "nile"', 'tenant "nile" "delta"', "f.kdl:13: tenant: expected 1 value(s) (name), got 2"),
        ('tenant "nile"', 'tenant "nile" {', "f.kdl:13: expected a KDL document"),
        ('model-group "once"', 'model-group "line"', "f.kdl: model-group 'line' is given twice"),
    ],
)
def test_errors_give_the_line_and_the_expectation(old, new, message):
    assert GOOD.count(old) >= 1
    with pytest.raises(SettingsError) as caught:
        read(ControllerPlan, GOOD.replace(old, new, 1), "f.kdl")
    assert str(caught.value).startswith(message) and "\n" not in str(caught.value)


def test_node_lines_are_found_after_comments_strings_and_continuations():
    text = 'a "x;y{" /- 3 \\\n  2 // z {\n/* { /* } */ */ b { c; d "}" ; /- e { f }\n  g r#"1"2"# }\n/-\nh\ni'
    assert _scan(text)[0] == [1, 3, 3, 3, 4, 7]


class Inner(msgspec.Struct):
    __args__ = ("name",)
    name: str
    wait: Duration = 1.0
    size: Bytes | None = None
    ratio: float = 0.5
    on: bool = False


class Outer(msgspec.Struct):
    title: str
    words: list[str] = []
    inners: list[Inner] = []


TEXT = st.text(st.characters(blacklist_categories=("Cs", "Cc")), max_size=12)


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(
    st.builds(
        Outer,
        TEXT,
        st.lists(TEXT, max_size=3),
        st.lists(
            st.builds(
                Inner,
                TEXT,
                st.integers(0, 10**9).map(lambda us: us / 1000),
                st.none() | st.integers(0, 10**12),
                st.floats(0, 1e6),
                st.booleans(),
            ),
            max_size=3,
        ),
    )
)
def test_written_document_reads_back_as_an_equal_object(outer):
    assert read(Outer, write(outer), "x") == outer


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(st.text(max_size=80))
def test_any_text_is_read_or_raises_settings_error(text):
    for kind in (ControllerPlan, Invokers, Day):
        try:
            read(kind, text, "f")
        except SettingsError as error:
            assert str(error).startswith("f")


def test_first_matching_model_pattern_applies():
    table = ModelTable([ModelFacts("a-*", lanes=1), ModelFacts("*", lanes=2)])
    assert [table.of(name).lanes for name in ("a-1", "b", "a-1")] == [1, 2, 1]


GROUPED = """
listen "127.0.0.1:0"
roster file="i.kdl"
model-group "line" slo-time="600ms" route-timeout="2500ms"
"""


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ('group "g"', "expected mark"),
        ('group "g" mark=""', "a name and a mark"),
        ('group "g" mark="m" period="1ms"', "50ms to 60s"),
        ('group "g" mark="m" advertise="nowhere"', "an address"),
        ('group "g" mark="m" { seed "x" }', "an address"),
        ("learning members=true", "a group node"),
        ('source "10.0.0.1"', "loopback"),
    ],
)
def test_invalid_group_settings_raise_an_error_with_file_and_expectation(line, expected):
    with pytest.raises(SettingsError) as caught:
        read(ControllerPlan, GROUPED + line, "c.kdl")
    assert expected in str(caught.value) and "c.kdl" in str(caught.value)


DAY = Path(__file__).parent.parent / "days" / "partition.kdl"


def test_same_seed_gives_the_same_schedule_and_partitions_list_their_sides():
    text = DAY.read_text()
    one, other = (schedule(read(Day, text, "d.kdl")) for _ in range(2))
    assert one.steps == other.steps and len(one.steps) >= 15
    partition = next(step for step in one.steps if step.what == "link")
    assert len(partition.sides) == 3 and sum(map(len, partition.sides)) == 8 + 9
    for bad, expected in (
        ('between="hall-a,hall-b,coast"', 'between="hall-a" and="nowhere"'),
        ('what="coast"', 'what="beach"'),
        ('way="there"', 'way="up"'),
        ('group period="500ms"', ""),
    ):
        with pytest.raises(SettingsError):
            read(Day, text.replace(bad, expected), "d.kdl")
