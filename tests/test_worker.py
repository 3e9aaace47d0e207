"""The invoker and library models in virtual time: memory, lanes, loads, drains and falls."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool.emulator import worker as wk
from sprucespool.emulator.library import Fetch, Library, LibraryFacts

CATALOG = {f"m{n}": wk.ModelInfo(400.0, 2, 100.0, 100.0) for n in range(4)} | {"big": wk.ModelInfo(9e9, 1, 1.0, 1.0)}


class Run:
    """Drives a worker; each fetch takes 100 ms or, where told, fails."""

    def __init__(self, cold=False, **facts):
        self.worker = wk.Worker(wk.WorkerFacts(**{**dict(memory=1000.0, cores=2), **facts}), CATALOG, 0.0, cold)
        self.now, self.acts, self.fetches, self.fails = 0.0, [], [], False

    def take(self):
        acts, self.worker.actions = self.worker.actions, []
        for act in acts:
            if isinstance(act, wk.FetchWanted):
                self.fetches.append((self.now + 100.0, act.load))
        self.acts += acts
        return acts

    def send(self, model="m0", work=50.0, key=""):
        job = wk.Job(None, model, work, key)
        self.worker.arrive(self.now, job)
        self.take()
        return job

    def wait(self, span):
        end = self.now + span
        while True:
            due = min([self.worker.next_due(), *[at for at, _ in self.fetches]])
            if due > end:
                break
            self.now = max(self.now, due)
            for at, load in [fetch for fetch in self.fetches if fetch[0] <= self.now]:
                self.fetches.remove((at, load))
                self.worker.fetched(self.now, load, not self.fails)
            self.worker.advance(self.now)
            self.take()
            assert self.worker.used() <= self.worker.facts.memory
        self.now = end

    def ends(self, kind):
        return [act for act in self.acts if isinstance(act, kind)]


def test_a_first_inference_begins_the_load_a_second_awaits_it_a_third_finds_it():
    run = Run()
    jobs = [run.send(), run.send()]
    run.wait(260.0)
    jobs.append(run.send())
    run.wait(100.0)
    assert [job.found for job in jobs] == ["began-load", "awaited-load", "warm"]
    assert len(run.ends(wk.Finished)) == 3 and run.worker.tally.loads == 1


def test_idle_copies_make_room_the_longest_idle_first_and_busy_ones_stay():
    run = Run(keep_alive=1e6)
    for model in ("m0", "m1"):
        run.send(model)
        run.wait(400.0)
    run.send("m0", 5000.0)
    run.send("m2")
    run.wait(400.0)
    assert sorted(run.worker.copies) == ["m0", "m2"] and run.worker.tally.evicted == 1


def test_a_copy_expires_after_the_keep_alive_and_an_order_renews_it():
    run = Run(keep_alive=1000.0)
    run.send()
    run.wait(800.0)
    run.worker.order(run.now, wk.LoadOrder(None, "m0", 1))
    run.wait(800.0)
    assert "m0" in run.worker.copies
    run.wait(600.0)
    assert "m0" not in run.worker.copies and run.ends(wk.Settled)[0].fulfilled


def test_without_loads_on_demand_only_an_order_brings_a_copy():
    run = Run(loads_on_miss=False)
    run.send()
    assert [act.load_failed for act in run.ends(wk.Missed)] == [False]
    run.worker.order(0.0, wk.LoadOrder("o", "m0", 2))
    run.take()
    run.wait(500.0)
    assert [(act.fulfilled, act.loaded_copies) for act in run.ends(wk.Settled)] == [(True, 2)]
    run.send()
    run.wait(100.0)
    assert len(run.ends(wk.Finished)) == 1


def test_a_failed_load_tells_all_who_wait_and_holds_no_memory():
    run = Run()
    run.fails = True
    run.send()
    run.send()
    run.worker.order(0.0, wk.LoadOrder("o", "m0", 1))
    run.wait(300.0)
    assert [act.load_failed for act in run.ends(wk.Missed)] == [True, True]
    assert [act.fulfilled for act in run.ends(wk.Settled)] == [False] and run.worker.used() == 0


def test_a_cold_one_falls_over_when_pushed_and_not_before():
    run = Run(cold=True, cold_share=0.25, warm_after=10_000.0, fall_multiple=3.0, fall_window=1000.0, queue=1000)
    for _ in range(14):
        run.send(work=100.0)
    assert not run.worker.overloaded
    for _ in range(3):
        run.send(work=100.0)
    assert run.worker.overloaded and len(run.ends(wk.Overloaded)) == 1
    run.send()
    run.wait(5000.0)
    assert not run.ends(wk.Finished)


def test_a_draining_one_refuses_what_is_new_and_finishes_what_it_has():
    run = Run()
    run.send()
    run.worker.draining = True
    run.send()
    run.wait(1000.0)
    assert len(run.ends(wk.Finished)) == 1 and len(run.ends(wk.Refused)) == 1 and run.worker.idle


def test_a_repeat_within_the_window_does_not_run_again():
    run = Run(dedup_window=1000.0)
    run.send(key="k")
    run.wait(600.0)
    run.send(key="k")
    run.wait(100.0)
    assert len(run.ends(wk.Finished)) == 2 and run.worker.tally.ran == 1
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
def test_every_inference_and_order_ends_once_and_memory_holds(steps, fails):
    run, jobs, orders, cancelled = Run(queue=6, load_queue=3), [], 0, []
    run.fails = fails
    for step, which, figure in steps:
        model = "big" if which == 4 else f"m{which}"
        if step == "send":
            jobs.append(run.send(model, 30.0 * (figure + 1)))
        elif step == "cancel" and jobs:
            job = jobs[which % len(jobs)]
            run.worker.cancel(run.now, job)
            cancelled += [job] if job.state == "dropped" and job not in cancelled else []
        elif step == "order":
            run.worker.order(run.now, wk.LoadOrder(orders, model, figure))
            orders += 1
        elif step == "unload":
            run.worker.unload(run.now, model)
        elif step == "flush":
            run.worker.flush()
        elif step == "still":
            run.worker.pause(run.now, 50.0 * figure)
        elif step == "wait":
            run.wait(40.0 * figure)
        run.take()
    run.wait(60_000.0)
    ended = [act.job for act in run.acts if isinstance(act, (wk.Finished, wk.Refused, wk.Missed))]
    assert len(ended) == len(set(map(id, ended))) and len(ended) + len(cancelled) == len(jobs)
    assert len(run.ends(wk.Settled)) == orders
    assert run.worker.next_due() == math.inf and not run.worker.loading


def test_a_crowded_library_gives_each_an_even_part_and_turns_away_past_its_limit():
    library = Library(LibraryFacts(smooth=2, most=4))
    taken = [library.begin(Fetch(n, 100.0)) for n in range(5)]
    assert taken == [True] * 4 + [False] and library.next_due() == 200.0
    assert library.advance(199.0) == [] and len(library.advance(200.0)) == 4
    library.begin(Fetch("a", 100.0))
    library.slowdown = 3.0
    assert library.next_due() == 500.0
    library.down = True
    assert library.next_due() == math.inf and library.advance(900.0) == []
