"""Chooses the backend server on which a request is expected to finish first.

The expected time is that of its prefill, without the tokens likely to be cached
there, and of its output at the measured speed, slowed down by the concurrent runs. A
reported load counts only for runs that this entry does not know of, with a weight
that decays with its age, and up to a bound, so that a wrong report moves little work.
"""

from fuchsiacroft.routing.estimates import RunEstimates, is_model
from fuchsiacroft.routing.owned_server import OwnedServer
from fuchsiacroft.routing.permits import PermitRequest
from fuchsiacroft.routing.prefixes import PrefixIndex
from fuchsiacroft.routing.routing_policy import RoutingPolicy
from fuchsiacroft.utils.clock import now

MAX_UNKNOWN_SHARE = 0.25
REPORT_HALF_LIFE_S = 1.0
UTILIZATION_WEIGHT = 0.5


class ExpectedFinish(RoutingPolicy):
    """Weighs saved prefill against utilization, by this entry's measurements."""

    def __init__(self, estimates: RunEstimates, prefixes: PrefixIndex) -> None:
        self._estimates = estimates
        self._prefixes = prefixes

    def choose(
        self, request: PermitRequest, candidates: list[OwnedServer]
    ) -> OwnedServer:
        """Return the candidate with the least expected time to completion."""
        if len(candidates) == 1:
            return candidates[0]
        return min(candidates, key=lambda owned: self._expected_s(request, owned))

    def _expected_s(self, request: PermitRequest, owned: OwnedServer) -> float:
        speed = self._estimates.speed(request.service, owned.generation)
        utilization = 1.0 + UTILIZATION_WEIGHT * _utilization(owned)
        if not is_model(request):
            return speed.plain_run_s.value * utilization * owned.health.slowness
        cached = self._prefixes.cached_tokens(request, owned.name)
        ratio = self._estimates.output_ratio(request.service)
        run_s = speed.run_s(request, ratio, cached)
        run_s += speed.prefill_s(request, cached) * owned.prefill_count()
        return run_s * utilization * owned.health.slowness


def _utilization(owned: OwnedServer) -> float:
    limit = max(1, owned.limit.allowed())
    return (owned.load + _unknown_runs(owned, limit)) / limit


def _unknown_runs(owned: OwnedServer, limit: int) -> float:
    load = owned.server.announcement.load
    if load is None:
        return 0.0
    age_s = max(0.0, load.age_s) + now() - owned.server.announced_at
    unknown = load.running + load.waiting - len(owned.running)
    weight = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
    return min(max(0.0, unknown * weight), MAX_UNKNOWN_SHARE * limit)
