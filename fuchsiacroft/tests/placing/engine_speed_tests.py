"""Tests of the learned speeds of engines."""

from fuchsiacroft.placing.engine_speed import EngineSpeeds
from fuchsiacroft.placing.fleet import Fleet
from fuchsiacroft.placing.messages import PlaceRequest
from fuchsiacroft.routing.permits import (
    PermitRequest,
    RunOutcome,
    RunReport,
    WorkSize,
)
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.membership.server_table_tests import record

PROMPT_TOKENS = 3_000
OUTPUT_TOKENS = 50


def request(number: int, prompt_tokens: int) -> PlaceRequest:
    """Return a request with a prompt."""
    size = WorkSize(prompt_tokens, OUTPUT_TOKENS)
    permit_request = PermitRequest(f"r-{number}", "lens", 0, 8.0, "tills", size=size)
    return PlaceRequest(f"run-{number}", permit_request, 0.0, False, 1.0, 2.0, 3)


class EngineSpeedTests(TestCase):
    """Run times are estimated right for engines of any speed."""

    def test_run_times_are_learned_at_any_speed(self):
        """Guards against estimates that hold for one generation of engines."""
        for tokens_per_s, gap_s in ((140_000, 0.0022), (30_900, 0.0062), (8_000, 0.05)):
            fleet = Fleet()
            fleet.replace_servers([record("i-1", address="10.0.0.1:80")], 0.0)
            run_s = PROMPT_TOKENS / tokens_per_s + OUTPUT_TOKENS * gap_s
            for number in range(200):
                tokens = PROMPT_TOKENS * (1 + number % 3) // 2
                req, at = request(number, tokens), number * 5.0
                load = fleet.choice.choose(req, at)
                fleet.begin(req, load, at, at)
                first_s = tokens / tokens_per_s
                report = RunReport(RunOutcome.COMPLETED, first_s, gap_s, run_s)
                fleet.end(req.run_id, report, at + run_s)
            found_s = fleet.choice.median_run_s(request(0, PROMPT_TOKENS).ask)
            self.assertAlmostEqual(run_s, found_s, delta=0.1 * run_s)

    def test_prompts_read_at_the_same_time_do_not_change_the_prefill_speed(self):
        """Guards against engines that look slow under load, and then are left idle."""
        fleet = Fleet()
        fleet.replace_servers([record("i-1", address="10.0.0.1:80")], 0.0)
        before_s = fleet.choice.median_run_s(request(0, PROMPT_TOKENS).ask)
        for number in range(100):
            pair, at = (request(2 * number, 9_000), request(2 * number + 1, 500)), 5.0
            for req in pair:
                fleet.begin(
                    req, fleet.choice.choose(req, at * number), at * number, 0.0
                )
            for req in pair:
                report = RunReport(RunOutcome.COMPLETED, 1.0, 0.0025, 1.2)
                fleet.end(req.run_id, report, at * number + 1.2)
        after_s = fleet.choice.median_run_s(request(0, PROMPT_TOKENS).ask)
        self.assertAlmostEqual(before_s, after_s, delta=0.01 * before_s)

    def test_a_new_engine_counts_as_the_median_of_the_others(self):
        speeds = EngineSpeeds()
        for gap_s in (0.006, 0.006, 0.02):
            speeds.record_gap(gap_s)
        self.assertEqual(0.006, speeds.median_gap_s())

    def test_delays_that_all_prompts_have_do_not_change_the_prefill_speed(self):
        """Guards against engines that look slow since short prompts are common."""
        speeds = EngineSpeeds()
        for number in range(200):
            tokens = 100 * (1 + number % 10)
            speeds.record_prefill(tokens, 0.1 + tokens / 30_900, 0.0062)
        self.assertAlmostEqual(30_900, speeds.prefill_tokens_per_s(0.0062), delta=3_000)
