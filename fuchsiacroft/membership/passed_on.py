"""What was passed on of each backend server, so that repeats can be short."""

from dataclasses import dataclass

import msgspec

from fuchsiacroft.membership.announcement import (
    Announcement,
    RelayedAnnouncement,
    RelayedRenewal,
)

WHOLE_PERIOD_S = 10.0


@dataclass(frozen=True, slots=True)
class Passed:
    """The last whole announcement sent to one entry, and when."""

    announcement: Announcement
    passed_at: float


class PassedOn:
    """Chooses between the whole announcement and a short renewal."""

    def __init__(self) -> None:
        self._passed: dict[str, dict[str, Passed]] = {}

    def message(self, node: str, announcement: Announcement, at: float):
        """Return what to send to an entry; whole ones repeat every 10 s."""
        steady = msgspec.structs.replace(announcement, load=None, cache_events=())
        entries = self._passed.setdefault(announcement.name, {})
        last = entries.get(node)
        known = last is not None and last.announcement == steady
        if known and at - last.passed_at < WHOLE_PERIOD_S:
            return RelayedRenewal(
                announcement.name,
                announcement.boot_id,
                announcement.load,
                announcement.cache_events,
            )
        entries[node] = Passed(steady, at)
        return RelayedAnnouncement(announcement)

    def forget(self, backend_server: str) -> None:
        """Forget a backend server that is gone."""
        self._passed.pop(backend_server, None)
