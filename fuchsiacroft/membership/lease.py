"""The lease under which an entry owns backend servers.

It is renewed when another entry answers a probe and shows the same view, and
counts from when the probe was sent. An entry alone in its view needs none.
Clocks are trusted for rates only.
"""

from fuchsiacroft.utils import clock

OWNERSHIP_LEASE_S = 5.0


class ViewLease:
    """Tells until when our view is known to be shared, and since when."""

    def __init__(self) -> None:
        self._alone = True
        self._until = 0.0
        self._unbroken_since = 0.0

    @property
    def unbroken_since(self) -> float:
        """Return since when the lease has been held without a gap."""
        return self._unbroken_since

    def set_alone(self, alone: bool) -> None:
        """Note whether we are the only entry in our view."""
        if alone == self._alone:
            return
        now = clock.now()
        if alone and now > self._until:
            self._unbroken_since = now
        if not alone:
            self._until = now + OWNERSHIP_LEASE_S
        self._alone = alone

    def confirm(self, sent_at: float) -> None:
        """Renew the lease by a probe that was sent at `sent_at`."""
        now = clock.now()
        if now > self._until and not self._alone:
            self._unbroken_since = now
        self._until = max(self._until, sent_at + OWNERSHIP_LEASE_S)

    def confirmed_for(self) -> float:
        """Return for how many seconds the lease still holds."""
        if self._alone:
            return OWNERSHIP_LEASE_S
        return max(0.0, self._until - clock.now())
