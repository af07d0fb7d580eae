"""Keeps an entry's route table at the highest version that any control tells."""

import asyncio
import zlib
from collections.abc import Callable

from expression import Result

from fuchsiacroft.config.published_feed import FetchPublishedUpdate, PublishedUpdate
from fuchsiacroft.config.route_source import RouteSource
from fuchsiacroft.config.route_table import RouteTable
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

FETCH_WAIT_S = 1.0
"""How long a control member holds a fetch; news cuts it short."""
FETCH_TIMEOUT_S = 1.6
"""The wait and a slow link's way back."""
PAUSE_S = 0.15
"""After a control member that did not answer."""
START_PATIENCE_S = 3.0
"""For how long a starting entry waits for a confirmed version."""

Decode = Callable[[bytes], Result[RouteTable, object]]


class PublishedFollower(RouteSource):
    """Holds the route table in force; its version never goes down."""

    def __init__(self, decode: Decode) -> None:
        self._decode = decode
        self._table: RouteTable | None = None
        self._tasks = BackgroundTasks("route_table")
        self._following: dict[str, asyncio.Task] = {}
        self._confirmed = False
        self._confirmed_at: float | None = None
        self._started_at = 0.0

    async def start(self, kernel: Kernel) -> None:
        """Follow every control member."""
        self._bus = kernel.get("bus", Bus)
        self._roster = kernel.get("roster", Roster)
        self._roster.on_control_members_change(self._follow_all)
        self._started_at = now()
        self._follow_all(self._roster.control_addresses)

    async def stop(self) -> None:
        """Stop following."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the version in force and its age."""
        return {"version": self.held_version, "age_s": round(self.age_s, 3)}

    @property
    def held_version(self) -> int:
        """Return the version held, in force or not yet; 0 if there is none."""
        return self._table.version if self._table is not None else 0

    @property
    def table(self) -> RouteTable | None:
        """Return the table that requests may be decided by, if any."""
        if self._confirmed or now() - self._started_at > START_PATIENCE_S:
            return self._table
        return None

    @property
    def age_s(self) -> float:
        """Return the seconds since a quorum was behind the version."""
        if self._confirmed_at is None:
            return float("inf")
        return now() - self._confirmed_at

    def not_ready_reason(self) -> str | None:
        """Return why requests cannot be routed yet, or None."""
        return None if self.table is not None else "no route table yet"

    def _follow_all(self, addresses: tuple[str, ...]) -> None:
        for gone in self._following.keys() - set(addresses):
            self._following.pop(gone).cancel()
        for address in addresses:
            if address not in self._following:
                name = f"follow-{address}"
                self._following[address] = self._tasks.spawn_critical(
                    self._follow(address), name
                )

    async def _follow(self, address: str) -> None:
        while True:
            wait_s = FETCH_WAIT_S if self._confirmed else 0.0
            fetch = FetchPublishedUpdate(self.held_version, wait_s)
            match await self._bus.request(address, fetch, FETCH_TIMEOUT_S):
                case Result(tag="ok", ok=PublishedUpdate() as news):
                    self._take(news, address)
                    if not wait_s:
                        await asyncio.sleep(PAUSE_S)
                case _:
                    await asyncio.sleep(PAUSE_S)

    def _take(self, news: PublishedUpdate, source: str) -> None:
        if news.body and news.version > self.held_version:
            self._replace(news, source)
        if news.confirmed and news.version and self.held_version >= news.version:
            self._confirmed = True
            self._confirmed_at = now()

    def _replace(self, news: PublishedUpdate, source: str) -> None:
        match self._decode(zlib.decompress(news.body)):
            case Result(tag="ok", ok=table):
                self._table = table
                event("info", "version_in_force", version=news.version, source=source)
            case Result(error=faults):
                event(
                    "error",
                    "published_body_unreadable",
                    version=news.version,
                    source=source,
                    reason=faults,
                )


def create(decode: Decode) -> PublishedFollower:
    """Return the follower of an entry; `decode` reads a published body."""
    return PublishedFollower(decode)
