"""Keeps the two sides of a split domain within one backend server's limit.

A side that lost active entries without their leave cannot tell death from a
cut. While the lost ones may still own, it hands out only its share of a limit:
its part of the entries there were, where only entries that have answered since
the loss count as its own. The shares of all sides add up to one. A backend
server whose announcements all arrive on our side announces to no other side,
which has then forgotten it, so its whole limit is ours.
"""

from collections import deque

from fuchsiacroft.membership.service import Membership
from fuchsiacroft.membership.table import MemberRecord
from fuchsiacroft.membership.wire import Status
from fuchsiacroft.utils import clock

ANNOUNCEMENTS_WANTED = 10
MAX_ANNOUNCEMENT_GAP_S = 1.8
SUSPICION_PATIENCE_S = 1.0


class SplitGuard:
    """Works out which part of a limit this side may hand out."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._heard: dict[str, deque[float]] = {}
        self._reached: frozenset[str] = frozenset()
        self._settled: frozenset[str] = frozenset()

    def unsettled(self) -> bool:
        """Tell whether we must ask who is on our side."""
        return _names(self._lost()) != self._settled

    def note_reached(self, nodes: frozenset[str], every: bool) -> None:
        """Note who answered, and whether that was every live entry."""
        self._reached = nodes
        self._settled = _names(self._lost()) if every else frozenset()

    def note_announcement(self, backend_server: str) -> None:
        """Note that an announcement arrived on our side."""
        times = self._heard.get(backend_server)
        if times is None:
            times = deque(maxlen=ANNOUNCEMENTS_WANTED)
            self._heard[backend_server] = times
        times.append(clock.now())

    def forget(self, backend_server: str) -> None:
        """Forget a backend server that is gone."""
        self._heard.pop(backend_server, None)

    def share(self, backend_server: str) -> float:
        """Return the part, up to 1, of a limit that we may hand out."""
        lost = self._lost()
        if not lost:
            return 1.0
        lost_at = max(self._membership.last_answered(record) for record in lost)
        if self._all_arrive_here(backend_server, lost_at):
            return 1.0
        first = min(record.since for record in lost)
        stayed = {
            record.update.node
            for record in self._membership.present()
            if record.joined_at <= first and record.update.active
        }
        ours = stayed & (self._reached | {self._membership.local_entry.node})
        every = stayed | _names(lost)
        return len(ours) / len(every)

    def _lost(self) -> list[MemberRecord]:
        """Return the active entries that died or have been suspected for long."""
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
        return suspected and suspected_for > SUSPICION_PATIENCE_S

    def _all_arrive_here(self, backend_server: str, since: float) -> bool:
        times = self._heard.get(backend_server, ())
        if len(times) < ANNOUNCEMENTS_WANTED or times[0] <= since:
            return False
        points = (*times, clock.now())
        gaps = (late - early for early, late in zip(points, points[1:], strict=False))
        return max(gaps) <= MAX_ANNOUNCEMENT_GAP_S


def _names(records: list[MemberRecord]) -> frozenset[str]:
    return frozenset(record.update.node for record in records)
