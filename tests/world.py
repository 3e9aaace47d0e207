"""A hand-driven controller for the tests, and the five rules told plainly."""

from __future__ import annotations

from sprucespool import interface as it
from sprucespool.policy import Controller

PROVES_NOT_RUN = {it.Outcome.FULL, it.Outcome.UNCONNECTED, it.Outcome.NOT_SENT, it.Outcome.MISS}


def group(name="line", effect=it.Effect.RETRIABLE, scope=it.Scope.ALL, **over):
    facts = dict(
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
    return it.ModelGroup(**{**facts, **over})


def deployment(*groups, **over):
    facts = dict(
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
    return it.Deployment(**{**facts, **over})


class World:
    """Hands events to a controller, keeps what it does, and checks each act against the rules as it comes."""

    def __init__(self, dep: it.Deployment, seed=7):
        self.dep, self.now, self.controller = dep, 1000.0, Controller(dep, seed)
        self.invokers: dict[str, it.Invoker] = {}
        self.models: dict[str, it.Model] = {}
        self.status: dict[it.Invoker, tuple] = {}
        self.open: dict[it.Inference, float] = {}
        self.out: dict[it.Forward, float] = {}
        self.ran: dict[it.Inference, list] = {}
        self.orders: list[it.Order] = []
        self.order_times: list[float] = []
        self.arrival_times: list[float] = []
        self.timers: list[tuple[float, int]] = []
        self.cold_work: list[tuple[float, it.Invoker]] = []

    def tell(self, *events):
        actions = self.controller.handle(self.now, list(events))
        for action in actions:
            self._judge(action)
        return actions

    def roster(self, *names, kind=it.News.UPDATE, status=it.Status.IN_SERVICE, started=0.0, zone="a", cell="1"):
        entries = []
        for name in names:
            invoker = self.invokers.setdefault(name, it.Invoker(name))
            entries.append(it.RosterEntry(invoker, zone, "std", cell, status, 1.0, started))
        if kind is not it.News.UPDATE:
            for invoker, facts in self.status.items():
                self.status[invoker] = (it.Status.GONE, *facts[1:])
        for entry in entries:
            self.status[entry.invoker] = (entry.status, entry.zone, entry.cell, entry.started)
        return self.tell(it.RosterNews(kind, 1, entries))

    def arrive(self, model="m", grp=None, ttl=2500.0, lanes=1, **over):
        mdl = self.models.setdefault(model, it.Model(model))
        facts = dict(
            name=f"i{len(self.arrival_times)}",
            group=grp or self.dep.groups[0],
            model=mdl,
            tenant=None,
            ttl=ttl,
            work=None,
            memory_mb=500.0,
            lanes=lanes,
            load_time=800.0,
            repeat=False,
            write=False,
        )
        inf = it.Inference(**{**facts, **over})
        self.open[inf] = self.now + ttl
        self.ran[inf] = []
        self.arrival_times.append(self.now - inf.waited)
        return inf, self.tell(it.Arrived(inf))

    def end(self, forward, outcome=it.Outcome.RETURNED, found=it.Found.WARM, load_failed=False):
        inf, sent = forward.inference, self.out.pop(forward)
        final = inf not in self.open or outcome is it.Outcome.RETURNED
        if final:
            self.open.pop(inf, None)
        if outcome not in PROVES_NOT_RUN:
            self.ran[inf].append((forward.invoker, sent))
        return self.tell(it.Ended(forward, outcome, final, self.now - sent, found, load_failed, 0, {}))

    def settle(self, order, outcome=it.Outcome.RETURNED, standing=1):
        self.orders.remove(order)
        return self.tell(it.OrderSettled(order.invoker, order.model, outcome, standing, 800.0))

    def depart(self, inf):
        self.open.pop(inf)
        return self.tell(it.Departed(inf))

    def wait(self, span):
        """Time passes; timers come when they are due, and a forward past its time-out ends."""
        done, end = [], self.now + span
        while True:
            due = min(
                [at for at, _ in self.timers] + [sent + f.time_out for f, sent in self.out.items()], default=end + 1
            )
            if due > end:
                break
            self.now = max(self.now, due)
            for forward, sent in list(self.out.items()):
                if sent + forward.time_out <= self.now:
                    done += self.end(forward, it.Outcome.TIMED_OUT)
            for timer in [timer for timer in self.timers if timer[0] <= self.now]:
                self.timers.remove(timer)
                done += self.tell(it.TimerDue(timer[1]))
            for inf, until in self.open.items():
                assert self.now <= until + self.dep.answer_slack, f"{inf.name} was never answered"
        self.now = end
        return done

    def _judge(self, action):
        if isinstance(action, it.Forward):
            self._judge_forward(action)
        elif isinstance(action, (it.Shed, it.Fail)):
            inf = action.inference
            assert inf in self.open, "a second final answer"
            if isinstance(action, it.Shed):
                maybe = self.ran[inf] or [f for f in self.out if f.inference is inf]
                assert (
                    inf.group.effect is it.Effect.RETRIABLE
                    or not maybe
                    or inf.group.effect is it.Effect.DEDUPED
                    and inf.group.scope is it.Scope.ALL
                )
            del self.open[inf]
        elif isinstance(action, it.Order):
            self.orders.append(action)
            if action.copies:
                assert self.status[action.invoker][0] is it.Status.IN_SERVICE, "an order to a drained invoker"
                self.order_times.append(self.now)
                if self.dep.order_window:
                    since = self.now - self.dep.order_window
                    taken = sum(at > since for at in self.arrival_times)
                    most = self.dep.order_floor + self.dep.order_share * taken
                    assert sum(t >= since for t in self.order_times) <= most, "orders beyond the ration"
        elif isinstance(action, it.SetTimer):
            self.timers.append((self.now + max(action.after, 0.001), action.token))

    def _judge_forward(self, forward):
        inf, invoker = forward.inference, forward.invoker
        status, zone, cell, started = self.status[invoker]
        assert inf in self.open, "a forward after the answer"
        assert self.now < self.open[inf], "a forward after the client's time"
        assert status is it.Status.IN_SERVICE, "a forward to a drained invoker"
        out = [(f.invoker, sent) for f, sent in self.out.items() if f.inference is inf]
        assert self.dep.may_duplicate or not out, "two forwards at once"
        maybe = self.ran[inf] + out
        if inf.group.effect is it.Effect.NON_RETRIABLE:
            assert not maybe, "a non-retriable inference that may have run was sent again"
        if inf.group.effect is it.Effect.DEDUPED:
            for other, sent in maybe:
                _, its_zone, its_cell, _ = self.status[other]
                assert self.now - sent < inf.group.dedup_window, "a repeat after it is forgotten"
                assert (
                    inf.group.scope is it.Scope.ALL
                    or its_zone == zone
                    and (inf.group.scope is it.Scope.ZONE or its_cell == cell)
                ), "a repeat outside its group"
        assert len(inf.forwards) <= self.dep.most_forwards
        if started and self.now < started + self.dep.warm_after:
            self.cold_work.append((self.now, invoker))
        self.out[forward] = self.now
