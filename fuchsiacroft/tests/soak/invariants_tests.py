"""Tests of the soak's judge: what must not pass does not."""

from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.soak import invariants, schedule
from fuchsiacroft.tests.soak.observations import Attempt, Observations, Read, Run

WHOLE = list(range(1, invariants.EVENTS + 1))


def attempt(**changes) -> Attempt:
    """Return an attempt that was answered after the last fault."""
    fields = {
        "attempt_id": "a",
        "route": "unsafe",
        "entry": "127.1.2.1",
        "sent_at": 10.0,
        "timeout_s": 1.0,
        "status": 200,
        "whole": True,
        "ended_at": 10.1,
    }
    return Attempt(**(fields | changes))


def run(**changes) -> Run:
    """Return a run of that attempt."""
    fields = {"attempt_id": "a", "server": "i1-1", "at": 10.0, "body": b""}
    return Run(**(fields | changes))


class InvariantsTests(TestCase):
    """Each promise, kept and broken."""

    def broken(self, attempts=(), runs=(), **more) -> str:
        seen = Observations([*attempts, attempt(attempt_id="z")], list(runs), **more)
        return "; ".join(invariants.violations(seen))

    def test_what_is_right_passes(self):
        self.assertEqual("", self.broken([attempt()], [run()]))
        refused = attempt(status=503, sent_at=-1.0, ended_at=-0.9)
        self.assertEqual("", self.broken([refused]))
        stream = attempt(route="stream", events=WHOLE)
        self.assertEqual("", self.broken([stream], [run()]))

    def test_a_second_run(self):
        self.assertIn("ran 2 times", self.broken([attempt()], [run(), run()]))
        safe = attempt(route="safe")
        self.assertEqual("", self.broken([safe], [run(), run()]))

    def test_a_refusal_that_is_not_true(self):
        for status in (408, 421, 429, 503):
            seen = self.broken([attempt(status=status, sent_at=-1.0)], [run()])
            self.assertIn(f"refused with {status} and ran", seen)

    def test_another_answer_and_torn_streams(self):
        self.assertIn("not its answer", self.broken([attempt(genuine=False)]))
        for events in ([1, 3], [2, 3], [1, 2, 2]):
            torn = attempt(route="stream", events=events)
            self.assertIn("got events", self.broken([torn]))
        short = attempt(route="stream", events=WHOLE[:-1])
        self.assertIn("ended as whole after", self.broken([short]))

    def test_an_end_that_comes_late(self):
        self.assertIn("ended 4.0 s later", self.broken([attempt(ended_at=14.0)]))

    def test_a_run_without_an_answer(self):
        lost = attempt(status=None, sent_at=-1.0, ended_at=-0.5)
        self.assertIn("lost in calm", self.broken([lost], [run()]))
        near = self.broken([lost], [run()], fault_spans=[(-3.0, -2.0)])
        self.assertEqual("", near)
        gone = attempt(status=None, sent_at=-1.0, ended_at=-0.5, abandoned=True)
        self.assertEqual("", self.broken([gone], [run()]))

    def test_runs_that_nobody_asked_for(self):
        self.assertIn("nobody asked", self.broken([], [run(attempt_id="b")]))
        self.assertIn("another body", self.broken([attempt()], [run(body=b"x")]))

    def test_work_after_an_acknowledged_leave(self):
        left_at = 10.0 - invariants.LEAVE_S - 0.1
        seen = self.broken([attempt()], [run()], leaves=[("i1-1", left_at)])
        self.assertIn("after its leave", seen)
        seen = self.broken([attempt()], [run()], leaves=[("i1-1", left_at + 0.2)])
        self.assertEqual("", seen)

    def test_versions_that_go_back_or_are_gone(self):
        reads = [Read("core", 9.0, 3), Read("core", 10.0, 2)]
        seen = self.broken(acknowledged=[(5.0, 3)], reads=reads)
        self.assertIn("told version 2", seen)
        self.assertIn("never read back", self.broken(acknowledged=[(5.0, 3)]))

    def test_programs_and_service_afterwards(self):
        self.assertIn("ended by itself", self.broken(unexpected_exits=["entry with 1"]))
        refused = [attempt(status=503) for _ in range(2)]
        self.assertIn("1 of 3 were served", self.broken(refused))


class ScheduleTests(TestCase):
    """Faults by seed."""

    def test_a_seed_plays_the_same_faults_again(self):
        self.assertEqual(schedule.generate(5, 20.0), schedule.generate(5, 20.0))
        self.assertNotEqual(schedule.generate(5, 20.0), schedule.generate(6, 20.0))

    def test_fifty_seeds_play_every_kind_and_some_overlap(self):
        drawn = [schedule.generate(seed, 20.0) for seed in range(50)]
        kinds = {fault.kind for faults in drawn for fault in faults}
        self.assertEqual(set(schedule.KINDS), kinds)
        overlaps = sum(
            later.at_s < fault.at_s + fault.duration_s
            for faults in drawn
            for fault, later in zip(faults, faults[1:], strict=False)
        )
        self.assertGreater(overlaps, 50)
