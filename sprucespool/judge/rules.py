"""Checks rules 1 to 5 in a simple, unoptimised way. Shares no code with the implementation that follows the rules."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field

from sprucespool.judge.seen import (
    Answer,
    BadLink,
    Booted,
    Came,
    Died,
    Killed,
    LeftEarly,
    NoAnswer,
    Ordered,
    PushedOver,
    Seen,
    Sent,
    Stalled,
    Starved,
    Told,
    Unreached,
    Went,
)

OK, SHED = 0, 8
NEVER_RAN = ("refused", "missed")


@dataclass(frozen=True, slots=True)
class GroupRule:
    """The settings of a model group that rule 2 depends on."""

    effect: str
    scope: str = "all"
    dedup_window: float = 0.0


@dataclass(frozen=True, slots=True)
class RuleFacts:
    """Parameters of the rules; times in ms. `tolerance` allows for the delay between the sockets of two processes."""

    groups: dict[str, GroupRule]
    drain_grace: float
    may_duplicate: bool
    cold_share: float
    warm_after: float
    fall_multiple: float
    fall_window: float
    order_floor: float = 0.0
    order_share: float = 0.0
    order_window: float = 0.0
    tolerance: float = 250.0
    # Delay allowed between a cancel on one connection and a forward on another.
    overlap: float = 60.0


@dataclass(frozen=True, slots=True)
class BrokenRule:
    """A violation of rule `rule` at `at` ms."""

    rule: int
    at: float
    what: str


class _MachineLoad:
    """How long a busy machine delayed processes, so that such delays are not reported as violations. Without this, an
    answer was reported as late by 12 ms beyond the tolerance about once in a thousand plays, next to forty other
    processes on eight cores."""

    def __init__(self, events: list[Seen]):
        self.samples = [event for event in events if isinstance(event, Starved)]
        self.ends = [event.t for event in self.samples]

    def delay_ms(self, begin: float, end: float, *processes: str) -> float:
        """Upper bound in ms of the delay, between `begin` and `end`, of something that passed through these processes.
        Within one sample the delays of several processes add up, but to no more than the length of the sample."""
        delay = 0.0
        for sample in self.samples[bisect_right(self.ends, begin) :]:
            if sample.since >= end:
                break
            delay += min(
                sample.t - sample.since, sample.stolen + sum(sample.waits.get(name, 0.0) for name in processes)
            )
        return delay


@dataclass(slots=True)
class _Forward:
    arrival: Came
    end: Went | None = None


@dataclass(slots=True)
class _Try:
    sent: Sent
    answers: list[Answer] = field(default_factory=list)
    ended_at: float | None = None
    unreached: bool = False
    wait_over_at: float | None = None
    forwards: list[_Forward] = field(default_factory=list)


def judge(events: list[Seen], facts: RuleFacts) -> list[BrokenRule]:
    """Returns all violations in order of time."""
    events = sorted(events, key=lambda event: event.t)
    tries, machine_load = _tries(events), _MachineLoad(events)
    violations = [
        *_answers(events, tries, facts, machine_load),
        *_effects(events, tries, facts, machine_load),
        *_drains(events, facts, machine_load),
        *_cold_invokers(events, facts),
        *_order_limit(events, facts),
    ]
    return sorted(violations, key=lambda violation: violation.at)


def _tries(events: list[Seen]) -> dict[str, _Try]:
    """Collects the answers and forwards of each client try."""
    tries: dict[str, _Try] = {}
    forwards: dict[tuple[str, str, int], _Forward] = {}
    for event in events:
        if isinstance(event, Sent):
            tries[event.id] = _Try(event)
    for event in events:
        if isinstance(event, Answer):
            tries[event.id].answers.append(event)
        elif isinstance(event, LeftEarly):
            tries[event.id].ended_at = event.t
        elif isinstance(event, Unreached):
            tries[event.id].unreached = True
            tries[event.id].ended_at = event.t
        elif isinstance(event, NoAnswer):
            tries[event.id].wait_over_at = event.t
        elif isinstance(event, Came):
            forward = forwards[event.invoker, event.boot, event.n] = _Forward(event)
            if event.id in tries:
                tries[event.id].forwards.append(forward)
        elif isinstance(event, Went) and (event.invoker, event.boot, event.n) in forwards:
            forwards[event.invoker, event.boot, event.n].end = event
    return tries


def _answers(
    events: list[Seen], tries: dict[str, _Try], facts: RuleFacts, machine_load: _MachineLoad
) -> list[BrokenRule]:
    """Rule 1: one final answer within the ttl, and no forward after it."""
    violations = []
    stalls = [event for event in events if isinstance(event, Stalled)]
    kills = [event for event in events if isinstance(event, Killed)]
    # A set of id and time, so that a day with thousands of unreached tries does not need a scan for each of them.
    broken_connections = {(event.id, event.t) for event in events if isinstance(event, Unreached) and event.sent}
    for client_try in tries.values():
        sent, due = client_try.sent, client_try.sent.t + client_try.sent.ttl
        # A stalled controller may answer after its stall instead; a killed one owes no answer.
        for stall in stalls:
            if stall.controller == sent.controller and stall.t <= due and stall.until >= sent.t:
                due = max(due, stall.until)
        controller_killed = any(
            kill.controller == sent.controller and sent.t - facts.tolerance <= kill.t <= due + facts.tolerance
            for kill in kills
        )
        if len(client_try.answers) > 1:
            violations.append(
                BrokenRule(1, client_try.answers[1].t, f"{sent.id}: {len(client_try.answers)} final answers")
            )
        processes = "clients", f"c{sent.controller}"
        if client_try.answers and client_try.answers[0].t > due + facts.tolerance:
            # Delays by the machine count while the try travelled to the controller, and from when its answer was due.
            answered_at, late = client_try.answers[0].t, client_try.answers[0].t - due
            delay = machine_load.delay_ms(sent.t, sent.t + facts.tolerance, *processes) + machine_load.delay_ms(
                due - facts.tolerance, answered_at, *processes
            )
            if late > facts.tolerance + delay:
                violations.append(
                    BrokenRule(
                        1,
                        answered_at,
                        f"{sent.id}: answered {late:.0f} ms after its ttl"
                        + (f", the machine delayed it up to {delay:.0f} ms" if delay else ""),
                    )
                )
        if (
            not client_try.answers
            and client_try.wait_over_at is not None
            and client_try.wait_over_at > due + facts.tolerance
            and not controller_killed
        ):
            violations.append(BrokenRule(1, due, f"{sent.id}: never answered"))
        if client_try.unreached and not controller_killed and (sent.id, client_try.ended_at) in broken_connections:
            violations.append(
                BrokenRule(1, client_try.ended_at or due, f"{sent.id}: its connection broke, no controller died")
            )
        ended_at = client_try.answers[0].t if client_try.answers else client_try.ended_at
        if ended_at is not None:
            for forward in client_try.forwards:
                arrival, late = forward.arrival, forward.arrival.t - ended_at
                if (
                    not controller_killed
                    and late > facts.tolerance
                    and late
                    > facts.tolerance + machine_load.delay_ms(ended_at, arrival.t, *processes, "stage", arrival.boot)
                ):
                    violations.append(
                        BrokenRule(
                            1, arrival.t, f"{sent.id}: a forward to {arrival.invoker} {late:.0f} ms after its end"
                        )
                    )
    return violations


def _known_not_run(forward: _Forward, at: float, tolerance: float) -> bool:
    """Whether it was known by `at` that the forward did not run."""
    end = forward.end
    return end is not None and end.how in NEVER_RAN and end.t <= at + tolerance


def _effects(
    events: list[Seen], tries: dict[str, _Try], facts: RuleFacts, machine_load: _MachineLoad
) -> list[BrokenRule]:
    """Rule 2: no effect twice."""
    violations = []
    places = {event.invoker: (event.zone, event.cell) for event in events if isinstance(event, Booted)}
    link_names = {event.boot: event.place for event in events if isinstance(event, Booted)}
    links = [event for event in events if isinstance(event, BadLink)]
    for client_try in tries.values():
        group = facts.groups[client_try.sent.group]
        forwards = sorted(client_try.forwards, key=lambda forward: forward.arrival.t)
        for n, later in enumerate(forwards):
            for earlier in forwards[:n]:
                gap = later.arrival.t - earlier.arrival.t
                earlier_place, later_place = (
                    places.get(earlier.arrival.invoker, ("", "")),
                    places.get(later.arrival.invoker, ("", "")),
                )
                # A controller cannot call off a forward in time over a link that delays or loses its messages.
                if (
                    not facts.may_duplicate
                    and not _link_was_bad(links, earlier.arrival, link_names, later.arrival.t)
                    and (
                        earlier.end is None
                        and gap > facts.overlap
                        and _alive(events, earlier, later.arrival.t)
                        or earlier.end is not None
                        and earlier.end.t
                        > later.arrival.t
                        + facts.overlap
                        + machine_load.delay_ms(
                            later.arrival.t - facts.overlap, earlier.end.t, "stage", earlier.arrival.boot
                        )
                    )
                ):
                    violations.append(
                        BrokenRule(2, later.arrival.t, f"{client_try.sent.id}: two forwards in flight at once")
                    )
                if _known_not_run(earlier, later.arrival.t, 1.0):
                    continue
                if group.effect == "non-retriable":
                    violations.append(
                        BrokenRule(
                            2,
                            later.arrival.t,
                            f"{client_try.sent.id}: non-retriable, forwarded again to {later.arrival.invoker}",
                        )
                    )
                elif group.effect == "deduped":
                    if gap >= group.dedup_window + facts.tolerance:
                        violations.append(
                            BrokenRule(2, later.arrival.t, f"{client_try.sent.id}: forwarded again after {gap:.0f} ms")
                        )
                    in_scope = (
                        group.scope == "all"
                        or earlier_place[0] == later_place[0]
                        and (group.scope == "zone" or earlier_place == later_place)
                    )
                    if not in_scope:
                        violations.append(
                            BrokenRule(
                                2, later.arrival.t, f"{client_try.sent.id}: forwarded again outside its dedup scope"
                            )
                        )
        for answer in client_try.answers:
            if answer.code != SHED or group.effect == "retriable":
                continue
            possibly_run = [
                forward
                for forward in forwards
                if forward.arrival.t <= answer.t and not _known_not_run(forward, answer.t, 1.0)
            ]
            if possibly_run and not (group.effect == "deduped" and group.scope == "all"):
                violations.append(BrokenRule(2, answer.t, f"{client_try.sent.id}: shed though it may have run"))
    return violations


def _link_was_bad(links: list[BadLink], arrival: Came, link_names: dict[str, str], at: float) -> bool:
    """Whether the link between the forward's controller and its invoker was bad at some moment up to `at`."""
    return any(
        link.controller == arrival.controller
        and link.place == link_names.get(arrival.boot)
        and link.t <= at
        and link.until >= arrival.t
        for link in links
    )


def _alive(events: list[Seen], forward: _Forward, at: float) -> bool:
    """Whether the process that holds the forward was still running at `at`; a forward ends with its process."""
    return not any(
        isinstance(event, (Died, PushedOver)) and event.boot == forward.arrival.boot and event.t <= at
        for event in events
    )


def _drains(events: list[Seen], facts: RuleFacts, machine_load: _MachineLoad) -> list[BrokenRule]:
    """Rule 3: no new forward or order once the grace period after a report of draining or gone is over."""
    violations = []
    reported: dict[tuple[int, str], tuple[float, str, str]] = {}
    last_status: dict[tuple[int, str], str] = {}
    # Processes that were reported to a controller as in service; an old copy of a roster may still describe an
    # earlier process at the same address.
    in_service: set[tuple[int, str, str]] = set()
    for event in events:
        if isinstance(event, Told):
            key = event.controller, event.invoker
            if event.status == "in service":
                reported.pop(key, None)
                in_service.add((*key, event.boot))
            elif key not in reported or last_status.get(key) == "in service":
                reported[key] = event.t, event.status, event.boot
            last_status[key] = event.status
        elif isinstance(event, Killed):
            # The process that succeeds it has received no reports yet.
            for key in [key for key in reported if key[0] == event.controller]:
                del reported[key]
            in_service = {process for process in in_service if process[0] != event.controller}
        elif isinstance(event, Came) or isinstance(event, Ordered) and event.copies:
            key = event.controller, event.invoker
            if key in reported and reported[key][2] not in ("", event.boot) and (*key, event.boot) in in_service:
                continue  # the report was about another process than the one reached
            due = reported[key][0] + facts.drain_grace if key in reported else event.t
            if event.t > due + facts.tolerance and event.t > due + facts.tolerance + machine_load.delay_ms(
                due, event.t, f"c{event.controller}", "stage", event.boot
            ):
                kind = "a forward" if isinstance(event, Came) else "an order"
                violations.append(
                    BrokenRule(
                        3,
                        event.t,
                        f"{kind} of controller {event.controller} to {event.invoker} "
                        f"{event.t - reported[key][0]:.0f} ms after it was told {reported[key][1]}",
                    )
                )
    return violations


def _cold_invokers(events: list[Seen], facts: RuleFacts) -> list[BrokenRule]:
    """Rule 4: the work that all controllers together send a cold invoker within the window stays under its multiple."""
    violations = []
    boots = {event.boot: event for event in events if isinstance(event, Booted) and event.cold}
    arrivals: dict[str, list[Came]] = {boot: [] for boot in boots}
    for event in events:
        if isinstance(event, Came) and event.boot in boots and event.t <= boots[event.boot].t + facts.warm_after:
            arrivals[event.boot].append(event)
        elif isinstance(event, PushedOver):
            violations.append(
                BrokenRule(
                    4,
                    event.t,
                    f"{event.invoker} was overloaded: {event.sent:.0f} ms of work sent, {event.allowed:.0f} allowed",
                )
            )
    for boot, sequence in arrivals.items():
        booted = boots[boot]
        for latest in sequence:
            progress = min(1.0, (latest.t - booted.t) / facts.warm_after)
            share = facts.cold_share + (1 - facts.cold_share) * progress
            allowed_ms = facts.fall_multiple * share * booted.cores * booted.speed * facts.fall_window
            work_ms = sum(event.work for event in sequence if latest.t - facts.fall_window <= event.t <= latest.t)
            if work_ms > allowed_ms:
                violations.append(
                    BrokenRule(
                        4,
                        latest.t,
                        f"{booted.invoker}: {work_ms:.0f} ms of work within "
                        f"{facts.fall_window:.0f} ms, {allowed_ms:.0f} allowed",
                    )
                )
                break
    return violations


def _order_limit(events: list[Seen], facts: RuleFacts) -> list[BrokenRule]:
    """Rule 5: load orders stay within the limit, if one is set."""
    if facts.order_window <= 0:
        return []
    violations = []
    controllers = {event.controller for event in events if isinstance(event, Sent)}
    for controller in sorted(controllers):
        inferences = [event.t for event in events if isinstance(event, Sent) and event.controller == controller]
        orders = [
            event.t
            for event in events
            if isinstance(event, Ordered) and event.controller == controller and event.copies
        ]
        for at in orders:
            # Allows for socket delays: the window is slightly shorter for orders and slightly longer for inferences.
            since = at - facts.order_window
            count = sum(since + facts.overlap <= other <= at for other in orders)
            limit = facts.order_floor + facts.order_share * sum(
                since - facts.overlap <= other <= at + facts.overlap for other in inferences
            )
            if count > limit + 1e-9:
                violations.append(
                    BrokenRule(5, at, f"controller {controller}: {count} orders within the window, {limit:.1f} allowed")
                )
                break
    return violations
