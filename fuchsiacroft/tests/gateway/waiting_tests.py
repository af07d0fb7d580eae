"""Tests of how long requests may wait, by what their callers say."""

from fuchsiacroft.config.route_table import RequestKind, Route, Target
from fuchsiacroft.gateway.routed_request import RoutedRequest
from fuchsiacroft.gateway.waiting import Waiting
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


def call(deadline_s: float) -> RoutedRequest:
    """Return a call whose caller waits so long."""
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


class WaitingTests(TestCase):
    """A request waits while it can be in time; late ones a part of their time."""

    def test_a_fresh_request_may_wait_until_its_run_would_be_late(self):
        patience = Waiting().patience(call(8.0), 8.0)
        self.assertTrue(0.1 < patience.in_time_s < 0.3)
        self.assertTrue(patience.in_time_s < patience.max_wait_s < 4.0)

    def test_one_that_comes_back_is_late_already(self):
        waiting = Waiting()
        waiting.patience(call(8.0), 8.0)
        patience = waiting.patience(call(5.5), 5.5)
        self.assertEqual(0.0, patience.in_time_s)
        self.assertGreater(patience.max_wait_s, 1.0)

    def test_time_that_passed_here_counts_too(self):
        patience = Waiting().patience(call(8.0), 7.7)
        self.assertEqual(0.0, patience.in_time_s)

    def test_a_route_with_more_time_than_its_callers_makes_nobody_late(self):
        patience = Waiting().patience(call(4.0), 4.0)
        self.assertGreater(patience.in_time_s, 0.1)
