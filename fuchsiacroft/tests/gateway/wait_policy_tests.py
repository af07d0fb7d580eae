"""Tests for the queue wait limits, given the deadlines that callers send."""

from dataclasses import replace

from fuchsiacroft.config.route_table import RequestKind, Route, Target
from fuchsiacroft.gateway.response_estimates import ResponseEstimates
from fuchsiacroft.gateway.routed_request import RoutedRequest
from fuchsiacroft.gateway.wait_policy import (
    MAX_START_WAIT_S,
    WaitPolicy,
    start_wait_s,
)
from fuchsiacroft.routing.permits import WorkSize
from fuchsiacroft.tests.base import TestCase

ROUTE = Route(
    name="advice",
    host="shop.example",
    path_prefix="/",
    kind=RequestKind.STREAM,
    timeout_s=8.0,
    latency_target_s=0.3,
    gap_target_s=0.3,
    rank=1,
    targets=(Target("lens", 1.0),),
    attempts=1,
    is_public=False,
)


def routed_request(deadline_s: float) -> RoutedRequest:
    """Return a request whose caller waits for `deadline_s`."""
    return RoutedRequest(
        request_id="a",
        method="POST",
        target="/",
        host="shop.example",
        headers=(),
        route=ROUTE,
        service="lens",
        workspace="tills",
        rank=1,
        deadline_s=deadline_s,
        timeout_s=min(deadline_s, ROUTE.timeout_s),
        size=WorkSize(600, 100),
        charge=0.0,
        last_event_id=None,
        event_tokens=9,
        table_version=1,
    )


class StartWaitTests(TestCase):
    """A request that waits for the route table leaves its caller time for a retry."""

    def test_half_of_the_callers_time_remains(self):
        self.assertAlmostEqual(0.75, start_wait_s(1.5))

    def test_a_patient_caller_gets_an_answer_before_it_gives_up(self):
        self.assertEqual(MAX_START_WAIT_S, start_wait_s(15.0))
        self.assertEqual(MAX_START_WAIT_S, start_wait_s(None))


class WaitPolicyTests(TestCase):
    """A request waits while it can meet its target, a late one for a share."""

    def test_first_attempt_waits_within_latency_target(self):
        limits = WaitPolicy(ResponseEstimates()).limits(routed_request(8.0), 8.0)
        self.assertTrue(0.1 < limits.in_time_s < 0.3)
        self.assertTrue(limits.in_time_s < limits.max_wait_s < 4.0)

    def test_retried_request_is_already_late(self):
        policy = WaitPolicy(ResponseEstimates())
        policy.limits(routed_request(8.0), 8.0)
        limits = policy.limits(routed_request(5.5), 5.5)
        self.assertEqual(0.0, limits.in_time_s)
        self.assertGreater(limits.max_wait_s, 1.0)

    def test_time_spent_in_this_entry_counts(self):
        limits = WaitPolicy(ResponseEstimates()).limits(routed_request(8.0), 7.7)
        self.assertEqual(0.0, limits.in_time_s)

    def test_route_timeout_above_caller_deadline_is_not_late(self):
        limits = WaitPolicy(ResponseEstimates()).limits(routed_request(4.0), 4.0)
        self.assertGreater(limits.in_time_s, 0.1)

    def test_a_long_prompt_on_slow_engines_leaves_less_time_to_wait(self):
        """Guards against waits that were right for one speed of engine only.

        Engines read 5 tokens in a ms, so a prompt of 600 tokens takes 0.12 s and one
        of 100 tokens 0.02 s.
        """
        estimates = ResponseEstimates()
        for number in range(200):
            tokens = 100 * (1 + number % 8)
            estimates.record("lens", tokens, tokens / 5_000)
        limits = WaitPolicy(estimates).limits(routed_request(8.0), 8.0)
        self.assertAlmostEqual(0.3 - 0.12, limits.in_time_s, delta=0.01)
        quick = replace(routed_request(8.0), size=WorkSize(100, 100))
        limits = WaitPolicy(estimates).limits(quick, 8.0)
        self.assertAlmostEqual(0.3 - 0.02, limits.in_time_s, delta=0.01)

    def test_a_late_request_waits_as_long_as_its_caller_does(self):
        """Guards against a limit for streams of one latency target only."""
        patient = replace(ROUTE, latency_target_s=2.0, timeout_s=15.0)
        request = replace(
            routed_request(15.0), route=patient, deadline_s=15.0, timeout_s=15.0
        )
        limits = WaitPolicy(ResponseEstimates()).limits(request, 15.0)
        self.assertTrue(4.0 < limits.max_wait_s < 8.0, limits)
