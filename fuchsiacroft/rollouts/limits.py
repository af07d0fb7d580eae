"""Limits on the requests that a version may get before it is known to be good."""

from dataclasses import dataclass

USED_PART = 0.9
"""Part of the share that is used, as a retry may reach the new version uncounted."""


@dataclass(frozen=True, slots=True)
class RolloutLimits:
    """How many requests a bad version may get, and for how long.

    A bad version gets at most `canary_share` of the requests of its service and
    `canary_slack` more, and none once `rollback_s` has passed since its 50th bad
    response.
    """

    canary_share: float = 0.1
    canary_slack: float = 50.0
    rollback_s: float = 5.0

    @property
    def share(self) -> float:
        """Return the share of new requests that a canary gets."""
        return USED_PART * self.canary_share
