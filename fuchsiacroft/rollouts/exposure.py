"""How many new requests of a service may begin on the new version of a rollout.

The load is one of bursts and of many entries that each place few requests: the rule
holds after each request and at each entry, so the sum over all entries keeps to the
share without any exchange between them.
"""

import math
from collections import Counter


class Exposure:
    """The requests of a service that began since its rollout became known here.

    A new request may begin on the new version if `began(new) + 1 <= share * began(all)`
    holds before it is counted. Requests whose slots were returned unused don't count.
    """

    def __init__(self) -> None:
        self._all: Counter[str] = Counter()
        self._new: Counter[str] = Counter()
        self._began = 0
        self._began_new = 0

    @property
    def began(self) -> int:
        """Return how many requests began."""
        return self._began

    @property
    def began_new(self) -> int:
        """Return how many requests began on the new version."""
        return self._began_new

    def allowance(self, share: float) -> int:
        """Return how many more requests may begin on the new version now."""
        return max(math.floor(share * self._began) - self._began_new, 0)

    def is_route_due(self, route: str, share: float) -> bool:
        """Return whether the new version has no more than its share of a route.

        Each route gets its part of the allowance, as a version may be bad on one only.
        """
        return self._new[route] <= share * self._all[route]

    def record(self, route: str, *, is_new: bool, change: int = 1) -> None:
        """Count a request that begins, or with -1 one that didn't begin after all."""
        self._all[route] += change
        self._began += change
        if is_new:
            self._new[route] += change
            self._began_new += change
