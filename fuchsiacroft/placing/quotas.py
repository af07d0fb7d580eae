"""Quotas of workspaces: token buckets that one process keeps for many."""

from collections.abc import Callable
from dataclasses import dataclass

from fuchsiacroft.config.route_table import Quota, Workspace

TAKEOVER_SHARE = 0.25
"""Of a full bucket, what a new keeper has: the one before may have spent it."""


TOLERANCE_USED = 0.6
"""Of the tolerance, the part used; the rest is for two keepers at a time."""


@dataclass(frozen=True, slots=True)
class Tolerance:
    """What may be spent above a quota in any window of so many seconds.

    `overshoot` is a part of the window's quota, `slack` in its units.
    """

    window_s: float = 8.0
    overshoot: float = 0.0
    slack: float = 0.0

    def room(self, quota: Quota) -> float:
        """Return the units by which a bucket may be larger than its burst."""
        window = quota.units_per_s * self.window_s + quota.burst
        return TOLERANCE_USED * (self.overshoot * window + self.slack)


@dataclass(slots=True)
class Bucket:
    """What is left of one workspace's quota, of at most `capacity` units."""

    quota: Quota
    capacity: float
    units: float
    filled_at: float


class Quotas:
    """The buckets of every workspace that has a quota.

    `share_of` tells the part of a workspace's quota that may be spent here,
    while other processes spend the rest.
    """

    def __init__(self, tolerance: Tolerance) -> None:
        self._tolerance = tolerance
        self._buckets: dict[str, Bucket] = {}
        self._workspaces: dict[str, Workspace] = {}
        self.share_of: Callable[[str], float] = lambda workspace: 1.0

    def replace(self, workspaces: dict[str, Workspace]) -> None:
        """Take over new limits; what a workspace has left is cut to them."""
        self._workspaces = workspaces
        for name in list(self._buckets):
            workspace = workspaces.get(name)
            if workspace is None or workspace.quota is None:
                del self._buckets[name]
                continue
            bucket = self._buckets[name]
            bucket.quota = workspace.quota
            bucket.capacity = self._capacity(workspace.quota)
            bucket.units = min(bucket.units, bucket.capacity)

    def take(self, workspace: str, units: float, at: float) -> float:
        """Take units if they are there; return 0, or the seconds until they are."""
        share = self.share_of(workspace)
        bucket = self._bucket(workspace, share, at)
        if bucket is None or units <= 0:
            return 0.0
        self._fill(bucket, share, at)
        # A request above the capacity passes with a full bucket and overdraws it.
        needed = min(units, bucket.capacity * share)
        if bucket.units >= needed:
            bucket.units -= units
            return 0.0
        rate = max(bucket.quota.units_per_s * share, 1e-9)
        return (needed - bucket.units) / rate

    def give_back(self, workspace: str, units: float) -> None:
        """Return the units of a request that did not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.units = min(bucket.units + units, bucket.capacity)

    def dump(self) -> dict:
        """Return what each workspace has left."""
        return {name: round(bucket.units) for name, bucket in self._buckets.items()}

    def _bucket(self, name: str, share: float, at: float) -> Bucket | None:
        bucket = self._buckets.get(name)
        if bucket is None:
            workspace = self._workspaces.get(name)
            if workspace is None or workspace.quota is None:
                return None
            capacity = self._capacity(workspace.quota)
            units = capacity * TAKEOVER_SHARE * share
            bucket = Bucket(workspace.quota, capacity, units, at)
            self._buckets[name] = bucket
        return bucket

    def _fill(self, bucket: Bucket, share: float, at: float) -> None:
        grown = (at - bucket.filled_at) * bucket.quota.units_per_s * share
        bucket.units = min(bucket.capacity * share, bucket.units + grown)
        bucket.filled_at = at

    def _capacity(self, quota: Quota) -> float:
        return quota.burst + self._tolerance.room(quota)
