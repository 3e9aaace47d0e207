"""One controller behind its door: ids outside, objects inside."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from sprucespool import interface as it
from sprucespool.adapter.wire import OUTCOMES, STATUSES, Fields, Malformed, Settings
from sprucespool.policy import Controller

EFFECTS = {
    "idempotent": it.Effect.RETRIABLE,
    "deduplicated": it.Effect.DEDUPED,
    "at_most_once": it.Effect.NON_RETRIABLE,
}
SCOPES = {scope.value: scope for scope in it.Scope}
NEWS = {kind.value: kind for kind in it.News}
FOUND = (it.Found.UNTOLD, it.Found.WARM, it.Found.BEGAN_LOAD, it.Found.AWAITED_LOAD)
LOAD_FAILED = 4


class _Ticket:
    """An inference of this controller with its forwards as the wire numbers them."""

    __slots__ = ("inference", "forwards", "out", "ended")

    def __init__(self, inference: it.Inference):
        self.inference = inference
        # None in place of one that has ended.
        self.forwards: list[it.Forward | None] = []
        self.out = 0
        self.ended = False


def deployment(settings: Settings) -> it.Deployment:
    groups = []
    for n in range(settings.count("profiles")):
        at = f"profiles.{n}."
        effect = settings.one_of(at + "effect", EFFECTS)
        deduped = effect is it.Effect.DEDUPED
        groups.append(
            it.ModelGroup(
                name=settings.text(at + "name"),
                slo_time=settings.number(at + "slo", positive=True),
                slo_per_work=settings.number(at + "aimStretch", 0.0),
                route_timeout=settings.number(at + "deadline", positive=True),
                value=settings.number(at + "credit"),
                late_value=settings.number(at + "lateWorth", 0.0),
                effect=effect,
                scope=settings.one_of(at + "group", SCOPES) if deduped else it.Scope.ALL,
                dedup_window=settings.number(at + "dedupWindow") if deduped else 0.0,
                streamed=settings.flag(at + "streamed", False),
            )
        )
    if not groups:
        raise Malformed("expected at least one of profiles")
    _told_once("profiles", [group.name for group in groups])
    tenants = [
        it.Tenant(
            settings.text(f"tenants.{n}.name"),
            settings.number(f"tenants.{n}.portion"),
            settings.number(f"tenants.{n}.quotaRps"),
        )
        for n in range(settings.count("tenants"))
    ]
    _told_once("tenants", [tenant.name for tenant in tenants])
    controllers, own_number = settings.whole("balancers", least=1), settings.whole("me")
    if own_number >= controllers:
        raise Malformed(f"expected me below balancers ({controllers}), got {own_number}")
    asked = settings.one_of("registryMode", {"automatic": False, "subscribe": True})
    kinds, memory = settings.names("models"), settings.numbers("specifics.ramMbByKind")
    return it.Deployment(
        controllers=controllers,
        own_number=own_number,
        own_zone=settings.text("myZone"),
        groups=groups,
        tenants=tenants,
        over_share_value=settings.number("overShareWorth", 1.0),
        tick=settings.number("tick"),
        answer_slack=settings.number("rules.answerSlack"),
        drain_grace=settings.number("rules.stopSendingWithin"),
        cold_share=settings.number("rules.coldFrom", most=1.0),
        warm_after=settings.number("rules.warmAfter"),
        fall_multiple=settings.number("rules.fallMultiple"),
        fall_window=settings.number("rules.fall"),
        roster_asked=asked,
        ask_every=settings.number("rules.askEvery", None if asked else 0.0),
        may_call_off=settings.flag("ceilings.cancel"),
        may_probe=settings.flag("ceilings.probes"),
        may_duplicate=settings.flag("ceilings.mayDuplicate"),
        may_message=settings.flag("ceilings.peers"),
        may_order=settings.flag("specifics.loadControl", False),
        tells_retry_after=settings.flag("ceilings.retryAfter", False),
        longest_retry_after=settings.number("ceilings.maxRetryAfter", 0.0),
        most_forwards=settings.whole("ceilings.mostTries", least=1),
        connect_timeout=settings.number("ceilings.connectTimeout"),
        keep_alive=settings.number("specifics.idleLife", 0.0),
        loads_on_miss=settings.one_of("specifics.ifCold", {"load": True, "miss": False}),
        order_timeout=settings.number("specifics.answerWithin", 0.0),
        order_floor=settings.number("specifics.loadFloor", 0.0),
        order_share=settings.number("specifics.loadPart", 0.0),
        order_window=settings.number("specifics.loadPeriod", 0.0),
        tells_found=settings.flag("specifics.saysWarm", False),
        tells_same_model=settings.flag("specifics.notesPeersInHand", False),
        valued_by_work=settings.one_of("countedBy", {"request": False, "work": True}),
        report_fields=settings.names("feedback.fields"),
        report_meanings={name: settings.pairs.get("specifics.report" + name.upper(), "") for name in ("x0", "x1")},
        memory_mb=dict(zip(kinds, memory, strict=False)),
        crossing_price=settings.number("prices.crossZone", 0.0),
        handshake_price=settings.number("prices.handshake", 0.0),
    )


def _told_once(what: str, names: list[str]):
    if len(set(names)) < len(names):
        raise Malformed(f"expected each of {what} under a name of its own, got {', '.join(names)}")


class Translator:
    __slots__ = (
        "controller",
        "deployment",
        "groups",
        "tenants",
        "tickets",
        "settled",
        "invokers",
        "models",
        "numbers",
        "leaving",
    )

    def __init__(self, settings: Settings, seed: int):
        self.deployment = deployment(settings)
        self.controller = Controller(self.deployment, seed)
        self.groups = {group.name: group for group in self.deployment.groups}
        self.tenants = {tenant.name: tenant for tenant in self.deployment.tenants}
        self.tickets: dict[str, _Ticket] = {}
        self.settled: deque[str] = deque(maxlen=1024)
        self.invokers: dict[str, it.Invoker] = {}
        self.models: dict[str, it.Model] = {}
        self.numbers: dict[it.Forward, int] = {}
        self.leaving: list[tuple[_Ticket, it.Forward | None]] = []

    # What came in

    def _invoker(self, f: Fields) -> it.Invoker:
        name = f.text("invoker")
        if name not in self.invokers:
            raise Malformed(f"expected an invoker that a list has named, got {name!r}")
        return self.invokers[name]

    def _forward(self, f: Fields) -> tuple[_Ticket, it.Forward]:
        name, number = f.text("msgId"), f.whole("go")
        ticket = self.tickets.get(name)
        if ticket is None or number >= len(ticket.forwards):
            raise Malformed(f"expected a forward that is out, got {number} of {name!r}")
        forward = ticket.forwards[number]
        if forward is None or forward.invoker.name != f.text("invoker"):
            raise Malformed(f"expected an open forward to that invoker, got {number} of {name!r}")
        return ticket, forward

    def arrived(self, f: Fields) -> it.Arrived:
        name, image, options = f.text("msgId"), str(f.whole("image")), f.optional_whole("options") or 0
        if name in self.tickets:
            raise Malformed(f"expected a new msgId, got {name!r}")
        owner = f.optional("owner")
        tenant = None if owner in (None, "0") else self.tenants.get(owner)
        if owner not in (None, "0") and tenant is None:
            raise Malformed(f"expected owner as in tenants, got {owner!r}")
        inference = it.Inference(
            name=name,
            group=f.one_of("grade", self.groups),
            model=it.Model(image),
            tenant=tenant,
            ttl=f.number("ttl"),
            work=f.optional_number("weightHint") if options & 1 else None,
            memory_mb=f.optional_number("ramMb"),
            lanes=f.optional_whole("parallel"),
            load_time=f.optional_number("loadMs"),
            repeat=bool(options & 2),
            write=bool(options & 4),
        )
        inference.model = self.models.setdefault(image, inference.model)
        self.tickets[name] = _Ticket(inference)
        return it.Arrived(inference)

    def lapsed(self, f: Fields) -> it.Departed | None:
        name = f.text("msgId")
        ticket = self.tickets.get(name)
        if ticket is None:
            if name not in self.settled:
                raise Malformed(f"expected the msgId of an inference held here, got {name!r}")
            return None
        if ticket.ended:
            return None
        ticket.ended = True
        self.leaving.append((ticket, None))
        return it.Departed(ticket.inference)

    def done(self, f: Fields) -> it.Ended:
        ticket, forward = self._forward(f)
        outcome, note = f.one_of("reason", OUTCOMES), f.optional_whole("note") or 0
        final, elapsed, report = f.flag("terminal"), f.number("elapsed"), f.report("metrics")
        crowd = self.deployment.tells_same_model and outcome in (it.Outcome.RETURNED, it.Outcome.FULL)
        found = FOUND[note & 7] if outcome is it.Outcome.RETURNED and note & 7 < LOAD_FAILED else FOUND[0]
        ticket.forwards[self.numbers[forward]] = None
        ticket.out -= 1
        ticket.ended = ticket.ended or final
        self.leaving.append((ticket, forward))
        return it.Ended(
            forward,
            outcome,
            final,
            elapsed,
            found,
            outcome is not it.Outcome.RETURNED and note & 7 == LOAD_FAILED,
            note >> 3 if crowd else None,
            report,
        )

    def first(self, f: Fields) -> it.Streaming:
        return it.Streaming(self._forward(f)[1], f.number("elapsed"))

    def sampled(self, f: Fields) -> it.Probed:
        return it.Probed(self._invoker(f), f.one_of("reason", OUTCOMES), f.number("elapsed"), f.report("metrics"))

    def stands(self, f: Fields) -> it.OrderSettled:
        image = str(f.whole("image"))
        if image not in self.models:
            raise Malformed(f"expected an image that was ordered, got {image!r}")
        return it.OrderSettled(
            self._invoker(f), self.models[image], f.one_of("reason", OUTCOMES), f.whole("howMany"), f.number("elapsed")
        )

    def alarm(self, f: Fields) -> it.TimerDue:
        return it.TimerDue(f.whole("handle"))

    def peer_data(self, f: Fields) -> it.PeerSaid:
        return it.PeerSaid(f.whole("who"), f.octets("raw"))

    def topology(self, f: Fields, lists: dict[int, list[Fields]]) -> it.RosterNews:
        kind, version = f.one_of("kind", NEWS), f.optional_whole("gen") or 0
        if kind is it.News.UNAVAILABLE:
            return it.RosterNews(kind, version, [])
        table = f.whole("table")
        if table not in lists:
            raise Malformed(f"expected the number of an INVENTORY, got {table}")
        entries = [
            (
                row.text("invoker"),
                row.text("dc"),
                row.text("type"),
                row.text("bay"),
                row.one_of("state", STATUSES),
                row.number("nominal"),
                row.optional_number("bootTime") or 0.0,
            )
            for row in lists[table]
        ]
        return it.RosterNews(
            kind,
            version,
            [it.RosterEntry(self.invokers.setdefault(name, it.Invoker(name)), *facts) for name, *facts in entries],
        )

    def tidy(self):
        """Ids stay good until their batch is answered: its events are fixed before any of them is."""
        for ticket, forward in self.leaving:
            if forward is not None:
                del self.numbers[forward]
            if ticket.ended and not ticket.out and self.tickets.pop(ticket.inference.name, None) is not None:
                self.settled.append(ticket.inference.name)
        self.leaving.clear()

    # What goes out

    def line(self, action) -> str:
        return WRITERS[type(action)](self, action)

    def _write_forward(self, a: it.Forward) -> str:
        ticket = self.tickets[a.inference.name]
        self.numbers[a] = len(ticket.forwards)
        ticket.forwards.append(a)
        ticket.out += 1
        return f"HAND_OFF msgId={a.inference.name} within={a.time_out:.3f} invoker={a.invoker.name}"

    def _close(self, inference: it.Inference):
        ticket = self.tickets[inference.name]
        ticket.ended = True
        self.leaving.append((ticket, None))

    def _write_shed(self, a: it.Shed) -> str:
        self._close(a.inference)
        return f"PUSH_BACK msgId={a.inference.name} notBeforeFor={a.retry_after:.3f}"

    def _write_fail(self, a: it.Fail) -> str:
        self._close(a.inference)
        return f"GIVE_UP msgId={a.inference.name}"

    def _write_call_off(self, a: it.CallOff) -> str:
        return f"CALL_OFF msgId={a.forward.inference.name} go={self.numbers[a.forward]}"


def _plain(text: str) -> str:
    return text.replace("\n", " ").replace("\r", " ")


WRITERS: dict[type, Callable[[Translator, Any], str]] = {
    it.Forward: Translator._write_forward,
    it.Shed: Translator._write_shed,
    it.Fail: Translator._write_fail,
    it.CallOff: Translator._write_call_off,
    it.Order: lambda _, a: f"PIN_UP invoker={a.invoker.name} image={a.model.name} howMany={a.copies}",
    it.Unload: lambda _, a: f"FREE_UP invoker={a.invoker.name} image={a.model.name}",
    it.SetTimer: lambda _, a: f"NOTIFY_ME offset={a.after:.3f} handle={a.token}",
    it.Probe: lambda _, a: f"ASK_LOAD invoker={a.invoker.name}",
    it.CloseIdle: lambda _, a: f"SHUT_IDLE invoker={a.invoker.name}",
    it.Message: lambda _, a: f"MEMO_TO recipient={'*' if a.peer is None else a.peer} raw={a.payload.hex() or '-'}",
    it.Subscribe: lambda _, a: f"OBSERVE active={int(a.active)}",
    it.FetchRoster: lambda _, a: "LIST_ALL",
    it.Log: lambda _, a: f"TRACE message={_plain(a.text)}",
}
READERS = {
    "ARRIVAL": Translator.arrived,
    "LAPSED": Translator.lapsed,
    "DONE": Translator.done,
    "FIRST": Translator.first,
    "SAMPLED": Translator.sampled,
    "STANDS": Translator.stands,
    "ALARM": Translator.alarm,
    "PEER_DATA": Translator.peer_data,
}
