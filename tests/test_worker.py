"""The invoker and library models in virtual time: memory, lanes, loads, drains and overload during a slow start."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool.emulator import worker as wk
from sprucespool.emulator.library import Fetch, Library, LibraryFacts

CATALOG = {f"m{n}": wk.ModelInfo(400.0, 2, 100.0, 100.0) for n in range(4)} | {"big": wk.ModelInfo(9e9, 1, 1.0, 1.0)}


class Run:
    """Drives a worker; each fetch takes 100 ms and fails if `fails` is set."""

    def __init__(self, cold=False, **facts):
        self.worker = wk.Worker(wk.WorkerFacts(**{**dict(memory=1000.0, cores=2), **facts}), CATALOG, 0.0, cold)
        self.now, self.actions, self.fetches, self.fails = 0.0, [], [], False

    def take_actions(self):
        actions, self.worker.actions = self.worker.actions, []
        for action in actions:
            if isinstance(action, wk.FetchWanted):
                self.fetches.append((self.now + 100.0, action.load))
        self.actions += actions
        return actions

    def send(self, model="m0", work=50.0, key=""):
        job = wk.Job(None, model, work, key)
        self.worker.arrive(self.now, job)
        self.take_actions()
        return job

    def wait(self, duration):
        end = self.now + duration
        while True:
            due = min([self.worker.next_due(), *[at for at, _ in self.fetches]])
            if due > end:
                break
            self.now = max(self.now, due)
            for at, load in [fetch for fetch in self.fetches if fetch[0] <= self.now]:
                self.fetches.remove((at, load))
                self.worker.fetched(self.now, load, not self.fails)
            self.worker.advance(self.now)
            self.take_actions()
            assert self.worker.used() <= self.worker.facts.memory
        self.now = end

    def actions_of(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]


def test_first_inference_begins_the_load_later_ones_await_or_find_it():
    run = Run()
    jobs = [run.send(), run.send()]
    run.wait(260.0)
    jobs.append(run.send())
    run.wait(100.0)
    assert [job.found for job in jobs] == ["began-load", "awaited-load", "warm"]
    assert len(run.actions_of(wk.Finished)) == 3 and run.worker.tally.loads == 1


def test_longest_idle_copies_are_evicted_first_and_busy_ones_stay():
    run = Run(keep_alive=1e6)
    for model in ("m0", "m1"):
        run.send(model)
        run.wait(400.0)
    run.send("m0", 5000.0)
    run.send("m2")
    run.wait(400.0)
    assert sorted(run.worker.copies) == ["m0", "m2"] and run.worker.tally.evicted == 1


def test_copy_expires_after_the_keep_alive_and_an_order_renews_it():
    run = Run(keep_alive=1000.0)
    run.send()
    run.wait(800.0)
    run.worker.order(run.now, wk.LoadOrder(None, "m0", 1))
    run.wait(800.0)
    assert "m0" in run.worker.copies
    run.wait(600.0)
    assert "m0" not in run.worker.copies and run.actions_of(wk.Settled)[0].fulfilled


def test_without_loads_on_miss_only_an_order_loads_a_copy():
    run = Run(loads_on_miss=False)
    run.send()
    assert [action.load_failed for action in run.actions_of(wk.Missed)] == [False]
    run.worker.order(0.0, wk.LoadOrder("o", "m0", 2))
    run.take_actions()
    run.wait(500.0)
    assert [(action.fulfilled, action.loaded_copies) for action in run.actions_of(wk.Settled)] == [(True, 2)]
    run.send()
    run.wait(100.0)
    assert len(run.actions_of(wk.Finished)) == 1


def test_failed_load_ends_all_waiting_jobs_and_holds_no_memory():
    run = Run()
    run.fails = True
    run.send()
    run.send()
    run.worker.order(0.0, wk.LoadOrder("o", "m0", 1))
    run.wait(300.0)
    assert [action.load_failed for action in run.actions_of(wk.Missed)] == [True, True]
    assert [action.fulfilled for action in run.actions_of(wk.Settled)] == [False] and run.worker.used() == 0


def test_cold_worker_fails_once_overloaded_and_not_before():
    run = Run(cold=True, cold_share=0.25, warm_after=10_000.0, fall_multiple=3.0, fall_window=1000.0, queue=1000)
    for _ in range(14):
        run.send(work=100.0)
    assert not run.worker.overloaded
    for _ in range(3):
        run.send(work=100.0)
    assert run.worker.overloaded and len(run.actions_of(wk.Overloaded)) == 1
    run.send()
    run.wait(5000.0)
    assert not run.actions_of(wk.Finished)


def test_draining_worker_refuses_new_jobs_and_finishes_accepted_ones():
    run = Run()
    run.send()
    run.worker.draining = True
    run.send()
    run.wait(1000.0)
    assert len(run.actions_of(wk.Finished)) == 1 and len(run.actions_of(wk.Refused)) == 1 and run.worker.idle


def test_repeat_within_the_dedup_window_does_not_run_again():
    run = Run(dedup_window=1000.0)
    run.send(key="k")
    run.wait(600.0)
    run.send(key="k")
    run.wait(100.0)
    assert len(run.actions_of(wk.Finished)) == 2 and run.worker.tally.ran == 1
    run.wait(2000.0)
    run.send(key="k")
    run.wait(500.0)
    assert run.worker.tally.ran == 2


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["send", "cancel", "order", "unload", "flush", "still", "wait"]),
            st.integers(0, 4),
            st.integers(0, 3),
        ),
        max_size=60,
    ),
    st.booleans(),
)
def test_every_inference_and_order_ends_once_and_memory_stays_within_the_budget(steps, fails):
    run, jobs, orders, dropped = Run(queue=6, load_queue=3), [], 0, []
    run.fails = fails
    for step, which, value in steps:
        model = "big" if which == 4 else f"m{which}"
        if step == "send":
            jobs.append(run.send(model, 30.0 * (value + 1)))
        elif step == "cancel" and jobs:
            job = jobs[which % len(jobs)]
            run.worker.cancel(run.now, job)
            dropped += [job] if job.state == "dropped" and job not in dropped else []
        elif step == "order":
            run.worker.order(run.now, wk.LoadOrder(orders, model, value))
            orders += 1
        elif step == "unload":
            run.worker.unload(run.now, model)
        elif step == "flush":
            run.worker.flush()
        elif step == "still":
            run.worker.pause(run.now, 50.0 * value)
        elif step == "wait":
            run.wait(40.0 * value)
        run.take_actions()
    run.wait(60_000.0)
    ended = [action.job for action in run.actions if isinstance(action, (wk.Finished, wk.Refused, wk.Missed))]
    assert len(ended) == len(set(map(id, ended))) and len(ended) + len(dropped) == len(jobs)
    assert len(run.actions_of(wk.Settled)) == orders
    assert run.worker.next_due() == math.inf and not run.worker.loading


def test_busy_library_shares_evenly_and_rejects_fetches_past_its_limit():
    library = Library(LibraryFacts(smooth=2, most=4))
    accepted = [library.begin(Fetch(n, 100.0)) for n in range(5)]
    assert accepted == [True] * 4 + [False] and library.next_due() == 200.0
    assert library.advance(199.0) == [] and len(library.advance(200.0)) == 4
    library.begin(Fetch("a", 100.0))
    library.slowdown = 3.0
    assert library.next_due() == 500.0
    library.down = True
    assert library.next_due() == math.inf and library.advance(900.0) == []
