"""Updates an entry's route table to the highest version of any control member."""

import asyncio
from collections.abc import Callable
from functools import partial

from expression import Result

from fuchsiacroft.config import published_feed
from fuchsiacroft.config.published_feed import FetchPublishedUpdate, PublishedUpdate
from fuchsiacroft.config.route_source import RouteSource
from fuchsiacroft.config.route_table import RouteTable
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import lease_now, now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

FETCH_WAIT_S = 0.25
"""How long a control member may delay a reply, for each member: any of them sends an
update at once."""
MIN_FETCH_WAIT_S = 1.0
MAX_FETCH_WAIT_S = 2.0
FETCH_MARGIN_S = 0.6
"""Added to the wait for a slow link."""
RETRY_DELAY_S = 0.15
"""Delay after a control member did not reply."""
START_GRACE_S = 3.0
"""How long a starting entry waits for a confirmed version."""

Decode = Callable[[bytes], Result[RouteTable, object]]


class PublishedFollower(RouteSource):
    """Holds the route table in force; its version never decreases."""

    def __init__(self, decode: Decode) -> None:
        self._decode = decode
        self._table: RouteTable | None = None
        self._tasks = BackgroundTasks("route_table")
        self._follow_tasks: dict[str, asyncio.Task] = {}
        self._confirmed = False
        self._confirmed_at: float | None = None
        self._started_at = 0.0

    async def start(self, kernel: Kernel) -> None:
        """Start to fetch from every control member."""
        self._bus = kernel.get("bus", Bus)
        self._roster = kernel.get("roster", Roster)
        self._roster.on_control_members_change(self._update_follow_tasks)
        self._started_at = now()
        self._update_follow_tasks(self._roster.control_addresses)

    async def stop(self) -> None:
        """Stop fetching."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the version in force and its age."""
        return {"version": self.current_version, "age_s": round(self.age_s, 3)}

    @property
    def current_version(self) -> int:
        """Return the received version, even if not yet in force; 0 if there is none."""
        return self._table.version if self._table is not None else 0

    @property
    def table(self) -> RouteTable | None:
        """Return the table to route requests by, or None."""
        if self._confirmed or now() - self._started_at > START_GRACE_S:
            return self._table
        return None

    @property
    def age_s(self) -> float:
        """Return the seconds since a quorum last confirmed the version."""
        if self._confirmed_at is None:
            return float("inf")
        return lease_now() - self._confirmed_at

    def not_ready_reason(self) -> str | None:
        """Return why requests cannot be routed yet, or None."""
        return None if self.table is not None else "no route table yet"

    def _update_follow_tasks(self, addresses: tuple[str, ...]) -> None:
        for removed in self._follow_tasks.keys() - set(addresses):
            self._follow_tasks.pop(removed).cancel()
        for address in addresses:
            if address not in self._follow_tasks:
                name = f"follow-{address}"
                self._follow_tasks[address] = self._tasks.spawn_repeated(
                    partial(self._fetch, address), name
                )

    async def _fetch(self, address: str) -> None:
        wait_s = self._fetch_wait_s() if self._confirmed else 0.0
        fetch = FetchPublishedUpdate(self.current_version, wait_s)
        match await self._bus.request(address, fetch, wait_s + FETCH_MARGIN_S):
            case Result(tag="ok", ok=PublishedUpdate() as update):
                self._apply_update(update, address)
                if not wait_s:
                    await asyncio.sleep(RETRY_DELAY_S)
            case _:
                await asyncio.sleep(RETRY_DELAY_S)

    def _fetch_wait_s(self) -> float:
        """Return how long each member may wait for an update before it replies."""
        wait_s = FETCH_WAIT_S * len(self._follow_tasks)
        return min(max(wait_s, MIN_FETCH_WAIT_S), MAX_FETCH_WAIT_S)

    def _apply_update(self, update: PublishedUpdate, source: str) -> None:
        if update.body and update.version > self.current_version:
            self._replace_table(update, source)
        if (
            update.confirmed
            and update.version
            and self.current_version >= update.version
        ):
            self._confirmed = True
            self._confirmed_at = lease_now()

    def _replace_table(self, update: PublishedUpdate, source: str) -> None:
        match published_feed.decompress(update.body).bind(self._decode):
            case Result(tag="ok", ok=table):
                self._table = table
                event("info", "version_in_force", version=update.version, source=source)
            case Result(error=issues):
                event(
                    "error",
                    "published_body_unreadable",
                    version=update.version,
                    source=source,
                    reason=issues,
                )


def create(decode: Decode) -> PublishedFollower:
    """Return the follower of an entry; `decode` parses a published body."""
    return PublishedFollower(decode)
