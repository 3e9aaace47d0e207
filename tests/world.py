"""A controller driven by hand for the tests, and plain checks of the five rules for its actions."""

from __future__ import annotations

from sprucespool import interface as it
from sprucespool.policy import Controller

PROVES_NOT_RUN = {it.Outcome.FULL, it.Outcome.UNCONNECTED, it.Outcome.NOT_SENT, it.Outcome.MISS}


def group(name="line", effect=it.Effect.RETRIABLE, scope=it.Scope.ALL, **overrides):
    fields = dict(
        name=name,
        slo_time=600.0,
        slo_per_work=0.0,
        route_timeout=2500.0,
        value=1.0,
        late_value=0.1,
        effect=effect,
        scope=scope,
        dedup_window=1000.0,
        streamed=False,
    )
    return it.ModelGroup(**{**fields, **overrides})


def deployment(*groups, **overrides):
    fields = dict(
        controllers=2,
        own_number=0,
        own_zone="a",
        groups=list(groups) or [group()],
        tenants=[],
        over_share_value=0.1,
        tick=4.0,
        answer_slack=16.0,
        drain_grace=500.0,
        cold_share=0.2,
        warm_after=10000.0,
        fall_multiple=3.0,
        fall_window=1500.0,
        roster_asked=False,
        ask_every=10000.0,
        may_call_off=True,
        may_probe=False,
        may_duplicate=False,
        may_message=False,
        may_order=True,
        tells_retry_after=True,
        longest_retry_after=2000.0,
        most_forwards=4,
        connect_timeout=250.0,
        keep_alive=8000.0,
        loads_on_miss=True,
        order_timeout=10000.0,
        order_floor=0.0,
        order_share=0.0,
        order_window=0.0,
        tells_found=True,
        tells_same_model=True,
        valued_by_work=False,
        report_fields=[],
        report_meanings={},
        memory_mb={},
        crossing_price=0.0,
        handshake_price=0.0,
    )
    return it.Deployment(**{**fields, **overrides})


class World:
    """Sends events to a controller, records its actions, and checks each action against the rules at once."""

    def __init__(self, dep: it.Deployment, seed=7):
        self.dep, self.now, self.controller = dep, 1000.0, Controller(dep, seed)
        self.invokers: dict[str, it.Invoker] = {}
        self.models: dict[str, it.Model] = {}
        self.status: dict[it.Invoker, tuple] = {}
        self.unanswered: dict[it.Inference, float] = {}
        self.in_flight: dict[it.Forward, float] = {}
        self.ran: dict[it.Inference, list] = {}
        self.orders: list[it.Order] = []
        self.order_times: list[float] = []
        self.arrival_times: list[float] = []
        self.timers: list[tuple[float, int]] = []
        self.cold_forwards: list[tuple[float, it.Invoker]] = []

    def send(self, *events):
        actions = self.controller.handle(self.now, list(events))
        for action in actions:
            self._check_action(action)
        return actions

    def roster(self, *names, kind=it.News.UPDATE, status=it.Status.IN_SERVICE, started=0.0, zone="a", cell="1"):
        entries = []
        for name in names:
            invoker = self.invokers.setdefault(name, it.Invoker(name))
            entries.append(it.RosterEntry(invoker, zone, "std", cell, status, 1.0, started))
        if kind is not it.News.UPDATE:
            for invoker, state in self.status.items():
                self.status[invoker] = (it.Status.GONE, *state[1:])
        for entry in entries:
            self.status[entry.invoker] = (entry.status, entry.zone, entry.cell, entry.started)
        return self.send(it.RosterNews(kind, 1, entries))

    def arrive(self, model="m", model_group=None, ttl=2500.0, lanes=1, **overrides):
        model_object = self.models.setdefault(model, it.Model(model))
        fields = dict(
            name=f"i{len(self.arrival_times)}",
            group=model_group or self.dep.groups[0],
            model=model_object,
            tenant=None,
            ttl=ttl,
            work=None,
            memory_mb=500.0,
            lanes=lanes,
            load_time=800.0,
            repeat=False,
            write=False,
        )
        inference = it.Inference(**{**fields, **overrides})
        self.unanswered[inference] = self.now + ttl
        self.ran[inference] = []
        self.arrival_times.append(self.now - inference.waited)
        return inference, self.send(it.Arrived(inference))

    def end(self, forward, outcome=it.Outcome.RETURNED, found=it.Found.WARM, load_failed=False):
        inference, sent = forward.inference, self.in_flight.pop(forward)
        final = inference not in self.unanswered or outcome is it.Outcome.RETURNED
        if final:
            self.unanswered.pop(inference, None)
        if outcome not in PROVES_NOT_RUN:
            self.ran[inference].append((forward.invoker, sent))
        return self.send(it.Ended(forward, outcome, final, self.now - sent, found, load_failed, 0, {}))

    def settle(self, order, outcome=it.Outcome.RETURNED, standing=1):
        self.orders.remove(order)
        return self.send(it.OrderSettled(order.invoker, order.model, outcome, standing, 800.0))

    def depart(self, inference):
        self.unanswered.pop(inference)
        return self.send(it.Departed(inference))

    def wait(self, duration):
        """Let time pass: timers fire when they are due, and forwards end at their timeout."""
        done, end = [], self.now + duration
        while True:
            due = min(
                [at for at, _ in self.timers] + [sent + f.time_out for f, sent in self.in_flight.items()],
                default=end + 1,
            )
            if due > end:
                break
            self.now = max(self.now, due)
            for forward, sent in list(self.in_flight.items()):
                if sent + forward.time_out <= self.now:
                    done += self.end(forward, it.Outcome.TIMED_OUT)
            for timer in [timer for timer in self.timers if timer[0] <= self.now]:
                self.timers.remove(timer)
                done += self.send(it.TimerDue(timer[1]))
            for inference, until in self.unanswered.items():
                assert self.now <= until + self.dep.answer_slack, f"{inference.name} was never answered"
        self.now = end
        return done

    def _check_action(self, action):
        if isinstance(action, it.Forward):
            self._check_forward(action)
        elif isinstance(action, (it.Shed, it.Fail)):
            inference = action.inference
            assert inference in self.unanswered, "a second final answer"
            if isinstance(action, it.Shed):
                perhaps_run = self.ran[inference] or [f for f in self.in_flight if f.inference is inference]
                assert (
                    inference.group.effect is it.Effect.RETRIABLE
                    or not perhaps_run
                    or inference.group.effect is it.Effect.DEDUPED
                    and inference.group.scope is it.Scope.ALL
                )
            del self.unanswered[inference]
        elif isinstance(action, it.Order):
            self.orders.append(action)
            if action.copies:
                assert self.status[action.invoker][0] is it.Status.IN_SERVICE, "an order to a drained invoker"
                self.order_times.append(self.now)
                if self.dep.order_window:
                    since = self.now - self.dep.order_window
                    requests = sum(at > since for at in self.arrival_times)
                    allowed = self.dep.order_floor + self.dep.order_share * requests
                    assert sum(t >= since for t in self.order_times) <= allowed, "more load orders than allowed"
        elif isinstance(action, it.SetTimer):
            self.timers.append((self.now + max(action.after, 0.001), action.token))

    def _check_forward(self, forward):
        inference, invoker = forward.inference, forward.invoker
        status, zone, cell, started = self.status[invoker]
        assert inference in self.unanswered, "a forward after the answer"
        assert self.now < self.unanswered[inference], "a forward after the client's timeout"
        assert status is it.Status.IN_SERVICE, "a forward to a drained invoker"
        in_flight = [(f.invoker, sent) for f, sent in self.in_flight.items() if f.inference is inference]
        assert self.dep.may_duplicate or not in_flight, "two forwards at once"
        perhaps_run = self.ran[inference] + in_flight
        if inference.group.effect is it.Effect.NON_RETRIABLE:
            assert not perhaps_run, "a non-retriable inference that may have run was sent again"
        if inference.group.effect is it.Effect.DEDUPED:
            for other, sent in perhaps_run:
                _, other_zone, other_cell, _ = self.status[other]
                assert self.now - sent < inference.group.dedup_window, "a repeat after the deduplication window"
                assert (
                    inference.group.scope is it.Scope.ALL
                    or other_zone == zone
                    and (inference.group.scope is it.Scope.ZONE or other_cell == cell)
                ), "a repeat outside its deduplication scope"
        assert len(inference.forwards) <= self.dep.most_forwards
        if started and self.now < started + self.dep.warm_after:
            self.cold_forwards.append((self.now, invoker))
        self.in_flight[forward] = self.now
