"""Tests of the expected time to a response, for engines of several speeds."""

from fuchsiacroft.gateway.response_estimates import ResponseEstimates
from fuchsiacroft.tests.base import TestCase


class ResponseEstimatesTests(TestCase):
    """The estimate follows the engines of each service."""

    def learn(self, estimates: ResponseEstimates, tokens_per_s: float) -> None:
        """Record runs that take 20 ms and the time of their prompts."""
        for number in range(300):
            tokens = 200 * (1 + number % 20)
            estimates.record("lens", tokens, 0.02 + tokens / tokens_per_s)

    def test_the_time_of_a_prompt_is_learned_at_any_speed(self):
        """Guards against an estimate that holds for engines of one speed."""
        for tokens_per_s in (10_000, 30_000, 300_000):
            estimates = ResponseEstimates()
            self.learn(estimates, tokens_per_s)
            for tokens in (0, 1_000, 10_000):
                expected_s = 0.02 + tokens / tokens_per_s
                found_s = estimates.expected_s("lens", tokens)
                self.assertAlmostEqual(expected_s, found_s, delta=0.01 + expected_s / 9)

    def test_the_estimate_follows_a_change_of_speed(self):
        estimates = ResponseEstimates()
        self.learn(estimates, 100_000)
        self.learn(estimates, 10_000)
        self.assertAlmostEqual(0.52, estimates.expected_s("lens", 5_000), delta=0.05)

    def test_a_plain_service_needs_no_prompts(self):
        estimates = ResponseEstimates()
        for _ in range(300):
            estimates.record("till", 0, 0.03)
        self.assertAlmostEqual(0.03, estimates.expected_s("till", 0), delta=0.005)

    def test_services_do_not_mix(self):
        estimates = ResponseEstimates()
        for _ in range(100):
            estimates.record("till", 0, 3.0)
        self.assertLess(estimates.expected_s("lens", 0), 0.2)
