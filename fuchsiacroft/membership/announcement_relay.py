"""Relays announcements to other entries, shortened where little has changed."""

from dataclasses import dataclass

import msgspec

from fuchsiacroft.membership.announcement import (
    Announcement,
    RelayedAnnouncement,
    RelayedRenewal,
)

FULL_ANNOUNCEMENT_PERIOD_S = 10.0


@dataclass(frozen=True, slots=True)
class SentAnnouncement:
    """The last full announcement sent to one entry, and its time."""

    announcement: Announcement
    sent_at: float


class AnnouncementRelay:
    """Chooses between a full announcement and a short renewal."""

    def __init__(self) -> None:
        self._sent: dict[str, dict[str, SentAnnouncement]] = {}

    def next_message(self, node: str, announcement: Announcement, at: float):
        """Return the message for an entry at the time `at` in seconds.

        It is a full one after a change and `FULL_ANNOUNCEMENT_PERIOD_S` after the last
        full one, else a renewal.
        """
        static_part = msgspec.structs.replace(announcement, load=None, cache_events=())
        entries = self._sent.setdefault(announcement.name, {})
        last = entries.get(node)
        is_unchanged = last is not None and last.announcement == static_part
        if is_unchanged and at - last.sent_at < FULL_ANNOUNCEMENT_PERIOD_S:
            return RelayedRenewal(
                announcement.name,
                announcement.boot_id,
                announcement.load,
                announcement.cache_events,
            )
        entries[node] = SentAnnouncement(static_part, at)
        return RelayedAnnouncement(announcement)

    def remove(self, backend_server: str) -> None:
        """Remove a backend server."""
        self._sent.pop(backend_server, None)
