"""Tests of which requests an entry that stops still runs."""

import asyncio

from fuchsiacroft.entry.planned_stop import PlannedStop
from fuchsiacroft.entry.run_durations import RunDurations
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.utils.clock import now

GRACE_S = 7.0


class PlannedStopTests(PausedTestCase):
    """Runs of a route take 2 s; its timeout lies beyond the stop."""

    def stop(self, run_s: float | None) -> PlannedStop:
        """Return a stop that begins now, after runs of some seconds."""
        durations = RunDurations()
        for _ in range(40):
            if run_s is not None:
                durations.record("report", run_s)
        return PlannedStop(now() + GRACE_S, durations)

    def accepts(self, stop: PlannedStop, timeout_s: float = 15.0) -> bool:
        """Return whether a request that comes now is accepted."""
        return stop.accepts("report", now() + timeout_s, may_repeat=True)

    def test_a_request_that_can_end_is_refused(self):
        async def run():
            stop = self.stop(2.0)
            self.assertTrue(self.accepts(stop))
            await asyncio.sleep(GRACE_S - 2.5)
            self.assertTrue(self.accepts(stop))
            self.assertTrue(self.accepts(self.stop(None)))

        self.run_paused(run())

    def test_a_request_that_can_not_end_is_accepted(self):
        async def run():
            self.assertFalse(self.accepts(self.stop(8.0)))
            stop = self.stop(2.0)
            await asyncio.sleep(GRACE_S - 1.9)
            self.assertFalse(self.accepts(stop))
            self.assertTrue(self.accepts(stop, timeout_s=1.5))

        self.run_paused(run())

    def test_a_request_is_accepted_by_guess_once_others_take_it(self):
        async def run():
            stop = self.stop(0.1)
            stop.is_noticed = True
            self.assertFalse(self.accepts(stop))
            self.assertTrue(stop.can_run("report", now() + 15.0, may_repeat=True))

        self.run_paused(run())

    def test_an_unrepeatable_request_is_cut_as_often_as_others(self):
        async def run():
            durations = RunDurations()
            for number in range(40):
                durations.record("report", 2.0 + number % 3)
            stop = PlannedStop(now() + GRACE_S, durations)
            until_s = [stop.starts_within_s("report", may) for may in (True, False)]
            self.assertGreater(until_s[0], until_s[1] + 1.0)

        self.run_paused(run())


class RunDurationsTests(PausedTestCase):
    """Durations are learned for each route, within bounds."""

    def test_a_route_that_turns_slow_counts_as_fast(self):
        durations = RunDurations()
        for _ in range(40):
            durations.record("report", 0.1)
        for _ in range(16):
            durations.record("report", 5.0)
        self.assertGreater(durations.upper_s("report", 2.0), 4.9)

    def test_a_route_takes_the_durations_of_another(self):
        durations = RunDurations()
        durations.record("report", 9.0)
        self.assertEqual(0.0, durations.upper_s("advice", 2.0))
