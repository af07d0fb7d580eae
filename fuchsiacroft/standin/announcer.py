"""Announces a stand-in to the entries of its failure domain."""

import asyncio
import uuid
from collections.abc import Callable

import aiohttp
import msgspec

from fuchsiacroft.membership.announcement import Announcement, Offer, ReportedLoad

Describe = Callable[[Announcement], Announcement]

ANNOUNCE_PERIOD_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0


class Announcer:
    """Posts an announcement every second to the first entry that accepts it."""

    def __init__(
        self, announcement: Announcement, entries: list[str], describe: Describe
    ) -> None:
        self._announcement = announcement
        self._entries = entries
        self._describe = describe
        self._next_entry = 0
        self.leaving = False
        self.changed = asyncio.Event()

    async def run(self) -> None:
        """Announce until cancelled."""
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._announce(session)
                self.changed.clear()
                try:
                    async with asyncio.timeout(ANNOUNCE_PERIOD_S):
                        await self.changed.wait()
                except TimeoutError:
                    continue

    def leave(self) -> None:
        """Announce at once that this backend server is leaving."""
        self.leaving = True
        self.changed.set()

    async def _announce(self, session: aiohttp.ClientSession) -> None:
        described = self._describe(self._announcement)
        announcement = msgspec.structs.replace(described, leaving=self.leaving)
        body = msgspec.json.encode(announcement)
        for _ in self._entries:
            entry = self._entries[self._next_entry % len(self._entries)]
            try:
                async with session.post(f"http://{entry}/announce", data=body) as res:
                    if res.status < 300:
                        return
            except (aiohttp.ClientError, OSError, TimeoutError):
                pass
            self._next_entry += 1


def create_announcement(
    *, name: str, domain: str, address: str, service: str, slots: int, generation: str
) -> Announcement:
    """Return an initial announcement with a new boot id."""
    return Announcement(
        name=name,
        boot_id=uuid.uuid4().hex,
        failure_domain=domain,
        address=address,
        offers=(Offer(service),),
        slots=slots,
        generation=generation,
        load=ReportedLoad(),
    )
