"""Translates between the wire messages and the decision interface of one controller instance.

The wire refers to things by id, the decision interface by object.
"""

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


class _TrackedInference:
    """An inference of this controller, with its forwards in the numbering of the wire."""

    __slots__ = ("inference", "forwards", "in_flight", "ended")

    def __init__(self, inference: it.Inference):
        self.inference = inference
        # Indexed by the forward's number on the wire; None once the forward has ended.
        self.forwards: list[it.Forward | None] = []
        self.in_flight = 0
        self.ended = False


def deployment(settings: Settings) -> it.Deployment:
    """The deployment values of a CONFIGURE message. Raises Malformed."""
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
    _check_unique("profiles", [group.name for group in groups])
    tenants = [
        it.Tenant(
            settings.text(f"tenants.{n}.name"),
            settings.number(f"tenants.{n}.portion"),
            settings.number(f"tenants.{n}.quotaRps"),
        )
        for n in range(settings.count("tenants"))
    ]
    _check_unique("tenants", [tenant.name for tenant in tenants])
    controllers, own_number = settings.whole("balancers", min_value=1), settings.whole("me")
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
        cold_share=settings.number("rules.coldFrom", max_value=1.0),
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
        most_forwards=settings.whole("ceilings.mostTries", min_value=1),
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


def _check_unique(what: str, names: list[str]):
    if len(set(names)) < len(names):
        raise Malformed(f"expected a different name for each of {what}, got {', '.join(names)}")


class Translator:
    """One controller instance with the ids that the wire uses for its inferences, forwards, invokers and models."""

    __slots__ = (
        "controller",
        "deployment",
        "groups",
        "tenants",
        "inferences",
        "recently_ended",
        "invokers",
        "models",
        "forward_numbers",
        "ended_in_batch",
    )

    def __init__(self, settings: Settings, seed: int):
        self.deployment = deployment(settings)
        self.controller = Controller(self.deployment, seed)
        self.groups = {group.name: group for group in self.deployment.groups}
        self.tenants = {tenant.name: tenant for tenant in self.deployment.tenants}
        self.inferences: dict[str, _TrackedInference] = {}
        self.recently_ended: deque[str] = deque(maxlen=1024)
        self.invokers: dict[str, it.Invoker] = {}
        self.models: dict[str, it.Model] = {}
        self.forward_numbers: dict[it.Forward, int] = {}
        self.ended_in_batch: list[tuple[_TrackedInference, it.Forward | None]] = []

    # Wire messages to events

    def _invoker(self, fields: Fields) -> it.Invoker:
        name = fields.text("invoker")
        if name not in self.invokers:
            raise Malformed(f"expected an invoker named in an INVENTORY, got {name!r}")
        return self.invokers[name]

    def _forward(self, fields: Fields) -> tuple[_TrackedInference, it.Forward]:
        name, number = fields.text("msgId"), fields.whole("go")
        tracked = self.inferences.get(name)
        if tracked is None or number >= len(tracked.forwards):
            raise Malformed(f"expected the number of a forward that was sent, got {number} of {name!r}")
        forward = tracked.forwards[number]
        if forward is None or forward.invoker.name != fields.text("invoker"):
            raise Malformed(f"expected a pending forward to that invoker, got {number} of {name!r}")
        return tracked, forward

    def arrived(self, fields: Fields) -> it.Arrived:
        name, image, options = fields.text("msgId"), str(fields.whole("image")), fields.optional_whole("options") or 0
        if name in self.inferences:
            raise Malformed(f"expected a new msgId, got {name!r}")
        owner = fields.optional("owner")
        tenant = None if owner in (None, "0") else self.tenants.get(owner)
        if owner not in (None, "0") and tenant is None:
            raise Malformed(f"expected owner as in tenants, got {owner!r}")
        inference = it.Inference(
            name=name,
            group=fields.one_of("grade", self.groups),
            model=it.Model(image),
            tenant=tenant,
            ttl=fields.number("ttl"),
            work=fields.optional_number("weightHint") if options & 1 else None,
            memory_mb=fields.optional_number("ramMb"),
            lanes=fields.optional_whole("parallel"),
            load_time=fields.optional_number("loadMs"),
            repeat=bool(options & 2),
            write=bool(options & 4),
        )
        inference.model = self.models.setdefault(image, inference.model)
        self.inferences[name] = _TrackedInference(inference)
        return it.Arrived(inference)

    def lapsed(self, fields: Fields) -> it.Departed | None:
        name = fields.text("msgId")
        tracked = self.inferences.get(name)
        if tracked is None:
            if name not in self.recently_ended:
                raise Malformed(f"expected the msgId of a known inference, got {name!r}")
            return None
        if tracked.ended:
            return None
        tracked.ended = True
        self.ended_in_batch.append((tracked, None))
        return it.Departed(tracked.inference)

    def done(self, fields: Fields) -> it.Ended:
        tracked, forward = self._forward(fields)
        outcome, note = fields.one_of("reason", OUTCOMES), fields.optional_whole("note") or 0
        final, elapsed, report = fields.flag("terminal"), fields.number("elapsed"), fields.report("metrics")
        counts_same_model = self.deployment.tells_same_model and outcome in (it.Outcome.RETURNED, it.Outcome.FULL)
        found = FOUND[note & 7] if outcome is it.Outcome.RETURNED and note & 7 < LOAD_FAILED else FOUND[0]
        tracked.forwards[self.forward_numbers[forward]] = None
        tracked.in_flight -= 1
        tracked.ended = tracked.ended or final
        self.ended_in_batch.append((tracked, forward))
        return it.Ended(
            forward,
            outcome,
            final,
            elapsed,
            found,
            outcome is not it.Outcome.RETURNED and note & 7 == LOAD_FAILED,
            note >> 3 if counts_same_model else None,
            report,
        )

    def first(self, fields: Fields) -> it.Streaming:
        return it.Streaming(self._forward(fields)[1], fields.number("elapsed"))

    def sampled(self, fields: Fields) -> it.Probed:
        return it.Probed(
            self._invoker(fields), fields.one_of("reason", OUTCOMES), fields.number("elapsed"), fields.report("metrics")
        )

    def stands(self, fields: Fields) -> it.OrderSettled:
        image = str(fields.whole("image"))
        if image not in self.models:
            raise Malformed(f"expected an image of an earlier inference, got {image!r}")
        return it.OrderSettled(
            self._invoker(fields),
            self.models[image],
            fields.one_of("reason", OUTCOMES),
            fields.whole("howMany"),
            fields.number("elapsed"),
        )

    def alarm(self, fields: Fields) -> it.TimerDue:
        return it.TimerDue(fields.whole("handle"))

    def peer_data(self, fields: Fields) -> it.PeerSaid:
        return it.PeerSaid(fields.whole("who"), fields.octets("raw"))

    def topology(self, fields: Fields, tables: dict[int, list[Fields]]) -> it.RosterNews:
        kind, version = fields.one_of("kind", NEWS), fields.optional_whole("gen") or 0
        if kind is it.News.UNAVAILABLE:
            return it.RosterNews(kind, version, [])
        table = fields.whole("table")
        if table not in tables:
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
            for row in tables[table]
        ]
        return it.RosterNews(
            kind,
            version,
            [it.RosterEntry(self.invokers.setdefault(name, it.Invoker(name)), *values) for name, *values in entries],
        )

    def release_ended(self):
        """Releases the ids of inferences and forwards that ended in the batch.

        Called only after the batch is answered: all its events are decoded before the first is handled, so its actions
        may still refer to these ids.
        """
        for tracked, forward in self.ended_in_batch:
            if forward is not None:
                del self.forward_numbers[forward]
            if (
                tracked.ended
                and not tracked.in_flight
                and self.inferences.pop(tracked.inference.name, None) is not None
            ):
                self.recently_ended.append(tracked.inference.name)
        self.ended_in_batch.clear()

    # Actions to wire messages

    def encode(self, action) -> str:
        return ACTION_ENCODERS[type(action)](self, action)

    def _write_forward(self, action: it.Forward) -> str:
        tracked = self.inferences[action.inference.name]
        self.forward_numbers[action] = len(tracked.forwards)
        tracked.forwards.append(action)
        tracked.in_flight += 1
        return f"HAND_OFF msgId={action.inference.name} within={action.time_out:.3f} invoker={action.invoker.name}"

    def _mark_ended(self, inference: it.Inference):
        tracked = self.inferences[inference.name]
        tracked.ended = True
        self.ended_in_batch.append((tracked, None))

    def _write_shed(self, action: it.Shed) -> str:
        self._mark_ended(action.inference)
        return f"PUSH_BACK msgId={action.inference.name} notBeforeFor={action.retry_after:.3f}"

    def _write_fail(self, action: it.Fail) -> str:
        self._mark_ended(action.inference)
        return f"GIVE_UP msgId={action.inference.name}"

    def _write_call_off(self, action: it.CallOff) -> str:
        return f"CALL_OFF msgId={action.forward.inference.name} go={self.forward_numbers[action.forward]}"


def _single_line(text: str) -> str:
    return text.replace("\n", " ").replace("\r", " ")


ACTION_ENCODERS: dict[type, Callable[[Translator, Any], str]] = {
    it.Forward: Translator._write_forward,
    it.Shed: Translator._write_shed,
    it.Fail: Translator._write_fail,
    it.CallOff: Translator._write_call_off,
    it.Order: lambda _, action: (
        f"PIN_UP invoker={action.invoker.name} image={action.model.name} howMany={action.copies}"
    ),
    it.Unload: lambda _, action: f"FREE_UP invoker={action.invoker.name} image={action.model.name}",
    it.SetTimer: lambda _, action: f"NOTIFY_ME offset={action.after:.3f} handle={action.token}",
    it.Probe: lambda _, action: f"ASK_LOAD invoker={action.invoker.name}",
    it.CloseIdle: lambda _, action: f"SHUT_IDLE invoker={action.invoker.name}",
    it.Message: lambda _, action: (
        f"MEMO_TO recipient={'*' if action.peer is None else action.peer} raw={action.payload.hex() or '-'}"
    ),
    it.Subscribe: lambda _, action: f"OBSERVE active={int(action.active)}",
    it.FetchRoster: lambda _, action: "LIST_ALL",
    it.Log: lambda _, action: f"TRACE message={_single_line(action.text)}",
}
EVENT_DECODERS = {
    "ARRIVAL": Translator.arrived,
    "LAPSED": Translator.lapsed,
    "DONE": Translator.done,
    "FIRST": Translator.first,
    "SAMPLED": Translator.sampled,
    "STANDS": Translator.stands,
    "ALARM": Translator.alarm,
    "PEER_DATA": Translator.peer_data,
}
