"""How long a request may wait for a place to run.

The load that this answers is a burst past the places of all backend servers: a
request may wait as long as it can then be answered in time, and a part of the
rest of its time for a place that comes free when the burst is over.
"""

from collections import OrderedDict

from fuchsiacroft.gateway.routed_request import RoutedRequest
from fuchsiacroft.placing.placer import WaitLimits

FIRST_EVENT_S = 0.12
"""Until a run's first event: the prompt is read beside others' tokens."""
PLAIN_RUN_S = 0.04
LATE_SHARE = 0.35
"""Of the time that a request has, for a wait that makes it late."""
SILENCE_S = 1.8
"""Callers give up on an answer that has not begun after two seconds or more."""
MAX_ROUTES = 10_000


class Waiting:
    """Knows how much of its time each request has used before it came here.

    Callers say how long they still wait. The longest that was said on a route
    is taken for the whole time; one that says less has been elsewhere before.
    """

    def __init__(self) -> None:
        self._whole_s: OrderedDict[str, float] = OrderedDict()

    def patience(self, call: RoutedRequest, left_s: float) -> WaitLimits:
        """Return how long a request with so much time left may wait."""
        route = call.route
        used_s = self._used_s(call) + call.timeout_s - left_s
        run_s = FIRST_EVENT_S if route.kind.is_stream else PLAIN_RUN_S
        in_time_s = max(route.latency_target_s - run_s - used_s, 0.0)
        late_s = min(LATE_SHARE * left_s, SILENCE_S - run_s)
        return WaitLimits(in_time_s, max(late_s, in_time_s), call.event_tokens)

    def _used_s(self, call: RoutedRequest) -> float:
        whole_s = max(self._whole_s.get(call.route.name, 0.0), call.deadline_s)
        self._whole_s[call.route.name] = whole_s
        if len(self._whole_s) > MAX_ROUTES:
            self._whole_s.popitem(last=False)
        return whole_s - call.deadline_s
