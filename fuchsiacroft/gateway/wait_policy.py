"""How long a request may wait for the route table, and in the queue.

An entry that has just started has no route table. All entries may have started at
once, after a power loss, so a retry at another entry would be refused too, and
callers retry only a few times. Their requests wait for the table instead.

During a burst that exceeds the capacity of all backend servers, a request may
wait as long as it can still meet its latency target, and then for a share of
its remaining time, for capacity that becomes free after the burst.
"""

from collections import OrderedDict

from fuchsiacroft.config.route_table import Route
from fuchsiacroft.gateway.response_estimates import ResponseEstimates
from fuchsiacroft.gateway.routed_request import RoutedRequest
from fuchsiacroft.placing.placer import WaitLimits

LATE_WAIT_SHARE = 0.35
"""Share of the remaining time for a wait that misses the latency target."""
MIN_PATIENCE_S = 2.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0
"""Callers give up on a stream without a first event after `MIN_PATIENCE_S`, or that
many latency targets or gap targets, whichever is longest."""
PATIENCE_SHARE = 0.9
"""Share of that time within which a response should begin."""
START_WAIT_SHARE = 0.5
"""Share of a caller's time that its request waits for the route table."""
MAX_START_WAIT_S = 2.0
"""Longer than an election takes; callers give up on a silent entry after that."""
MAX_ROUTES = 10_000


def start_wait_s(deadline_s: float | None) -> float:
    """Return how long a request waits for the route table of a starting entry.

    `deadline_s` is how long its caller waits, None if unknown.
    """
    if deadline_s is None:
        return MAX_START_WAIT_S
    return min(START_WAIT_SHARE * deadline_s, MAX_START_WAIT_S)


class WaitPolicy:
    """Sets the queue wait limits, counting the time a request spent on other entries.

    Callers send their remaining deadline. The longest that was seen on a route
    is taken as a caller's total time, so a shorter one means that the request
    was sent to another entry before.
    """

    def __init__(self, estimates: ResponseEstimates) -> None:
        self._estimates = estimates
        self._total_s: OrderedDict[str, float] = OrderedDict()

    def limits(
        self, request: RoutedRequest, remaining_s: float, *, continues: bool = False
    ) -> WaitLimits:
        """Return the queue wait limits of a request with `remaining_s` left.

        One that `continues` a stream can't be late for its first event any more.
        """
        route = request.route
        used_s = self._used_s(request) + request.timeout_s - remaining_s
        run_s = self._estimates.expected_s(request.service, request.size.prompt_tokens)
        in_time_s = max(route.latency_target_s - run_s - used_s, 0.0)
        late_s = LATE_WAIT_SHARE * remaining_s
        if route.kind.is_stream:
            late_s = max(min(late_s, PATIENCE_SHARE * _patience_s(route) - run_s), 0.0)
        max_wait_s = max(late_s, in_time_s)
        if continues:
            in_time_s = max_wait_s
        return WaitLimits(in_time_s, max_wait_s, request.event_tokens)

    def _used_s(self, request: RoutedRequest) -> float:
        """Return the seconds that the caller spent before it sent this request."""
        total_s = max(self._total_s.get(request.route.name, 0.0), request.deadline_s)
        self._total_s[request.route.name] = total_s
        if len(self._total_s) > MAX_ROUTES:
            self._total_s.popitem(last=False)
        return total_s - request.deadline_s


def _patience_s(route: Route) -> float:
    """Return how long callers of a route wait for the first event of a stream."""
    return max(
        MIN_PATIENCE_S,
        PATIENCE_TARGETS * route.latency_target_s,
        PATIENCE_GAPS * route.gap_target_s,
    )
