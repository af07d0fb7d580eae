"""Keeps the sides of a network partition within a backend server's limit.

A side that lost active entries without a leave notice cannot distinguish a
crash from a partition. While the lost entries may still be owners, it grants
only its share of a limit: its fraction of the entries before the loss, where
only entries that have replied since the loss count as its own. The shares of
all sides add up to one. If all announcements of a backend server arrive on
this side, none arrive on another side, which has removed the backend server
by then, so this side may grant the whole limit.
"""

from collections import deque

from fuchsiacroft.membership.service import Membership
from fuchsiacroft.membership.table import MemberRecord
from fuchsiacroft.membership.wire import Status
from fuchsiacroft.utils import clock

MIN_ANNOUNCEMENTS = 10
MAX_ANNOUNCEMENT_GAP_S = 1.8
SUSPICION_GRACE_S = 1.0


class SplitGuard:
    """Computes the fraction, at most 1, of a limit that this side may grant."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._announcement_times: dict[str, deque[float]] = {}
        self._responders: frozenset[str] = frozenset()
        self._resolved_losses: frozenset[str] = frozenset()

    def needs_inquiry(self) -> bool:
        """Return whether the entries on this side have to be queried again."""
        return _names(self._lost()) != self._resolved_losses

    def record_responses(self, nodes: frozenset[str], is_complete: bool) -> None:
        """Record which entries replied, and whether those are all live ones."""
        self._responders = nodes
        self._resolved_losses = _names(self._lost()) if is_complete else frozenset()

    def record_announcement(self, backend_server: str) -> None:
        """Record that an announcement arrived on this side."""
        times = self._announcement_times.get(backend_server)
        if times is None:
            times = deque(maxlen=MIN_ANNOUNCEMENTS)
            self._announcement_times[backend_server] = times
        times.append(clock.now())

    def remove(self, backend_server: str) -> None:
        """Remove a backend server."""
        self._announcement_times.pop(backend_server, None)

    def limit_share(self, backend_server: str) -> float:
        """Return the fraction, at most 1, of a limit that this side may grant."""
        lost = self._lost()
        if not lost:
            return 1.0
        lost_at = max(self._membership.last_ack_sent_at(record) for record in lost)
        if self._receives_all_announcements(backend_server, lost_at):
            return 1.0
        first = min(record.since for record in lost)
        remaining = {
            record.update.node
            for record in self._membership.present()
            if record.joined_at <= first and record.update.active
        }
        own_side = remaining & (self._responders | {self._membership.local_entry.node})
        all_entries = remaining | _names(lost)
        return len(own_side) / len(all_entries)

    def _lost(self) -> list[MemberRecord]:
        """Return the active entries that died or were suspected past a grace time."""
        return [
            record
            for record in self._membership.records()
            if record.update.active and self._may_be_lost(record)
        ]

    def _may_be_lost(self, record: MemberRecord) -> bool:
        if record.update.status is Status.DEAD:
            return True
        suspected_for = clock.now() - record.since
        suspected = record.update.status is Status.SUSPECT
        return suspected and suspected_for > SUSPICION_GRACE_S

    def _receives_all_announcements(self, backend_server: str, since: float) -> bool:
        times = self._announcement_times.get(backend_server, ())
        if len(times) < MIN_ANNOUNCEMENTS or times[0] <= since:
            return False
        points = (*times, clock.now())
        gaps = (late - early for early, late in zip(points, points[1:], strict=False))
        return max(gaps) <= MAX_ANNOUNCEMENT_GAP_S


def _names(records: list[MemberRecord]) -> frozenset[str]:
    return frozenset(record.update.node for record in records)
