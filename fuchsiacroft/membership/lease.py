"""The lease under which an entry owns backend servers.

It is renewed when another entry acknowledges a probe with the same view hash,
and runs from the time the probe was sent. An entry that is alone in its view
needs no lease. Clocks may differ in time, but are assumed to run at the same
rate. The lease also runs out while the VM is suspended.
"""

from fuchsiacroft.utils import clock

OWNERSHIP_LEASE_S = 5.0


class ViewLease:
    """Tracks how long this entry's view is known to be shared by another entry."""

    def __init__(self) -> None:
        self._alone = True
        self._expires_at = 0.0
        self._continuous_since = 0.0

    @property
    def continuous_since(self) -> float:
        """Return since when the lease is held without a gap, by the lease clock."""
        return self._continuous_since

    def set_alone(self, alone: bool) -> None:
        """Set whether this entry is the only one in its view."""
        if alone == self._alone:
            return
        now = clock.lease_now()
        if alone and now > self._expires_at:
            self._continuous_since = now
        if not alone:
            self._expires_at = now + OWNERSHIP_LEASE_S
        self._alone = alone

    def renew(self, sent_at: float) -> None:
        """Renew the lease after a probe was acknowledged.

        The probe was sent at `sent_at` of the lease clock.
        """
        now = clock.lease_now()
        if now > self._expires_at and not self._alone:
            self._continuous_since = now
        self._expires_at = max(self._expires_at, sent_at + OWNERSHIP_LEASE_S)

    def remaining_s(self) -> float:
        """Return the remaining time of the lease in seconds."""
        if self._alone:
            return OWNERSHIP_LEASE_S
        return max(0.0, self._expires_at - clock.lease_now())
