"""Adaptive limits, stragglers, cached prefixes, retries and spillover."""

import asyncio
import random

from fuchsiacroft.membership.announcement import CacheEvent
from fuchsiacroft.routing.adaptive_limit import (
    SHRINK_FACTOR,
    AdaptiveLimit,
    LearnedLimits,
)
from fuchsiacroft.routing.estimates import ReferenceSpeed, RunEstimates
from fuchsiacroft.routing.health import PROBE_PERIOD_S, MeasuredHealth, is_overdue
from fuchsiacroft.routing.permits import RunOutcome, RunReport
from fuchsiacroft.routing.prefixes import TOKENS_PER_BLOCK, PrefixIndex
from fuchsiacroft.routing.retry_budgets import RetryBudgets
from fuchsiacroft.routing.spillover import START_AFTER_S, STOP_AFTER_S, Spillover
from fuchsiacroft.routing.wait_estimates import WaitEstimates, jittered_retry_s
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.routing_domain import RoutingDomain, permit_request

REFERENCE = ReferenceSpeed(0.03, 0.05)
FAST = RunReport(RunOutcome.COMPLETED, 0.1, 0.03, 1.0, 30)
SLOW = RunReport(RunOutcome.COMPLETED, 0.8, 0.24, 8.0, 30)
FAILED = RunReport(RunOutcome.FAILED, None, None, 0.001)


class MeasurementTests(PausedTestCase):
    """Adaptation to measurements, on a virtual clock."""

    def play(self, scenario):
        self.run_paused(scenario())

    def test_a_limit_shrinks_until_the_token_gap_is_met_and_grows_back(self):
        async def scenario():
            limit = AdaptiveLimit(LearnedLimits(RunEstimates()), "lens", "g", 32, None)
            for _ in range(200):
                await asyncio.sleep(0.2)
                gap_s = 0.002 * limit.allowed()
                report = RunReport(RunOutcome.COMPLETED, 0.1, gap_s, 0.1, 30)
                limit.record_run(permit_request(), limit.allowed(), report)
            self.assertAlmostEqual(22, limit.allowed(), delta=3)
            for _ in range(200):
                await asyncio.sleep(0.2)
                report = RunReport(RunOutcome.COMPLETED, 0.1, 0.01, 0.1, 30)
                limit.record_run(permit_request(), limit.allowed(), report)
            self.assertGreater(limit.allowed(), 40)

        self.play(scenario)

    def test_runs_under_an_earlier_limit_do_not_count(self):
        async def scenario():
            limit = AdaptiveLimit(LearnedLimits(RunEstimates()), "lens", "g", 32, None)
            first = limit.allowed()
            await asyncio.sleep(100.0)
            slow = RunReport(RunOutcome.COMPLETED, 0.1, 0.2, 50.0, 30)
            for _ in range(40):
                limit.record_run(permit_request(), 32, slow)
            self.assertEqual(int(first * SHRINK_FACTOR), limit.allowed())

        self.play(scenario)

    def test_a_new_server_starts_from_the_limit_of_its_generation(self):
        async def scenario():
            limits = LearnedLimits(RunEstimates())
            first = AdaptiveLimit(limits, "lens", "g", 32, None)
            for _ in range(200):
                await asyncio.sleep(0.2)
                gap_s = 0.004 * first.allowed()
                report = RunReport(RunOutcome.COMPLETED, 0.1, gap_s, 0.1, 30)
                first.record_run(permit_request(), first.allowed(), report)
            second = AdaptiveLimit(limits, "lens", "g", 32, None)
            self.assertLess(second.allowed(), 20)

        self.play(scenario)

    def test_a_slow_server_is_ejected_and_readmitted_by_probes(self):
        async def scenario():
            health = MeasuredHealth(lambda: True)
            for _ in range(8):
                health.record_run(permit_request(), REFERENCE, 1.0, SLOW)
            self.assertTrue(health.is_ejected)
            self.assertEqual(0, health.effective_limit(16))
            probes = 0
            while health.is_ejected and probes < 50:
                await asyncio.sleep(PROBE_PERIOD_S)
                self.assertEqual(1, health.effective_limit(16))
                health.record_start()
                self.assertEqual(0, health.effective_limit(16))
                health.record_run(permit_request(), REFERENCE, 1.0, FAST)
                probes += 1
            self.assertEqual(16, health.effective_limit(16))

        self.play(scenario)

    def test_fast_errors_a_freeze_and_refused_connections_are_detected(self):
        async def scenario():
            failing, frozen, unreachable = (
                MeasuredHealth(lambda: True) for _ in range(3)
            )
            for _ in range(5):
                failing.record_run(permit_request(), REFERENCE, 1.0, FAILED)
            frozen.record_overdue(sum(is_overdue(9.0, 1.0) for _ in range(3)))
            for _ in range(2):
                unreachable.record_run(
                    permit_request(),
                    REFERENCE,
                    1.0,
                    RunReport(RunOutcome.NOT_DISPATCHED),
                )
            self.assertEqual(
                [0, 0, 0],
                [h.effective_limit(9) for h in (failing, frozen, unreachable)],
            )

        self.play(scenario)

    def test_no_server_is_ejected_when_all_are_slow(self):
        async def scenario():
            health = MeasuredHealth(lambda: False)
            for _ in range(20):
                health.record_run(permit_request(), REFERENCE, 1.0, SLOW)
            self.assertEqual(16, health.effective_limit(16))

        self.play(scenario)

    def test_a_straggler_is_detected_by_measurements_of_other_entries(self):
        async def scenario():
            estimates = RunEstimates()
            for _ in range(50):
                estimates.record_run(permit_request(), "g", 0, SLOW)
            for node in ("a", "b"):
                estimates.record_peer_speed(node, ("lens", "g"), REFERENCE)
            self.assertEqual(0.03, estimates.reference("lens", "g").token_gap_s)

        self.play(scenario)

    def test_late_missing_and_reordered_cache_events(self):
        async def scenario():
            index = PrefixIndex()
            request = permit_request(prefixes=(1, 2, 3))
            index.record_events("s", tuple(CacheEvent(i, i, True) for i in (1, 2, 3)))
            complete = index.cached_tokens(request, "s")
            self.assertEqual(3 * TOKENS_PER_BLOCK, complete)
            index.record_events("s", (CacheEvent(9, 7, True),))
            self.assertLess(index.cached_tokens(request, "s"), complete)
            index.record_events("s", (CacheEvent(2, 3, False),))
            self.assertGreater(index.cached_tokens(request, "s"), 0)
            index.record_events("s", (CacheEvent(10, 3, False),))
            self.assertLess(index.cached_tokens(request, "s"), 2 * TOKENS_PER_BLOCK)
            index.remove_server("s")
            self.assertEqual(0, index.cached_tokens(request, "s"))

        self.play(scenario)

    def test_retries_are_counted_by_workspace(self):
        async def scenario():
            budgets = RetryBudgets()
            requests = [permit_request(f"r{i}", retries_per_s=1.0) for i in range(20)]
            for request in requests:
                self.assertTrue(budgets.allows(request))
                budgets.record_refusal(request)
            allowed = sum(budgets.allows(request) for request in requests)
            self.assertEqual(5, allowed)
            other = permit_request("r1", workspace="other", retries_per_s=1.0)
            self.assertTrue(budgets.allows(other))
            await asyncio.sleep(2.0)
            self.assertTrue(budgets.allows(requests[0]))

        self.play(scenario)

    def test_retry_delays_follow_the_wait_and_are_jittered(self):
        async def scenario():
            rng = random.Random(1)
            times = [jittered_retry_s(10.0, rng) for _ in range(200)]
            self.assertGreater(min(times), 7.0)
            self.assertGreater(max(times) - min(times), 8.0)
            estimates = WaitEstimates()
            for _ in range(100):
                await asyncio.sleep(0.1)
                estimates.record_start(1)
            self.assertAlmostEqual(2.0, estimates.wait_s(1, 20, 1.0), delta=0.3)

        self.play(scenario)

    def test_spillover_starts_and_stops_with_hysteresis(self):
        async def scenario():
            domain = await RoutingDomain().start()
            spillover = domain.entries[0].kernel.get("spilling", Spillover)
            self.assertFalse(spillover.record_wait("lens", waits=True))
            await asyncio.sleep(START_AFTER_S)
            self.assertTrue(spillover.record_wait("lens", waits=True))
            self.assertTrue(spillover.record_wait("lens", waits=False))
            await asyncio.sleep(STOP_AFTER_S)
            self.assertFalse(spillover.record_wait("lens", waits=False))
            await domain.stop()

        self.play(scenario)
