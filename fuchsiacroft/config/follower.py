"""Keeps the held document at the newest version that can be reached."""

import asyncio
import random

import msgspec
from expression import Result

from fuchsiacroft.config.current_document import CurrentDocument
from fuchsiacroft.config.feed import DocumentUpdate, FetchUpdate
from fuchsiacroft.config.node_versions import NodeVersions
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.config.sources import LivePeers, Sources, static_live_peers
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.tasks import BackgroundTasks

FETCH_WAIT_S = 1.5
FETCH_TIMEOUT_S = 2.0
START_TIMEOUT_S = 1.0
STALE_S = 3.0
FALLBACK_S = 10.0
PAUSE_S = 0.1
PAUSE_MAX_S = 0.5


class DocumentFollower(Service):
    """Fetches news from the best source, and serves it to others."""

    name = "follower"

    def __init__(
        self, settings: Settings, alive: LivePeers, rng: random.Random
    ) -> None:
        self._node = settings.node
        self._rng = rng
        self._sources = Sources(settings, alive, rng)
        self._tasks = BackgroundTasks("follower")
        self._below = NodeVersions()
        self._current_at: float | None = None
        self._source = ""
        self._started = False

    async def start(self, kernel: Kernel) -> None:
        """Begin to fetch, and to answer neighbours."""
        self._held = kernel.get("document", CurrentDocument)
        self._bus = kernel.get("bus", Bus)
        self._bus.register_handler(FetchUpdate, self._on_fetch)
        self._tasks.spawn(self._start_from_newest(), "follower-start")
        self._tasks.spawn_critical(self._run(), "follower")

    async def stop(self) -> None:
        """Stop fetching."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the source, and how old the held version may be."""
        return {"source": self._source, "age_s": round(self.age_s, 3)}

    @property
    def age_s(self) -> float:
        """Return the seconds since the held version was known to be newest."""
        if self._current_at is None:
            return float("inf")
        return now() - self._current_at

    def not_ready_reason(self) -> str | None:
        """Return why requests cannot be admitted yet, or None."""
        if not self._started:
            return "looking for the newest document"
        return None if self._held.version else "no document yet"

    async def _on_fetch(self, sender: str, fetch: FetchUpdate) -> DocumentUpdate:
        self._below.record(fetch.in_force)
        news = await self._held.wait_for_update(fetch)
        return msgspec.structs.replace(news, age_s=self.age_s)

    async def _run(self) -> None:
        while True:
            for peer in self._sources.order():
                await self._follow(peer)
            await asyncio.sleep(self._rng.uniform(PAUSE_S, PAUSE_MAX_S))

    async def _start_from_newest(self) -> None:
        """Take the newest version among all sources, so that none is reverted."""
        fetch = FetchUpdate(0, 0.0)
        peers = self._sources.order()
        asked = [self._bus.request(peer, fetch, START_TIMEOUT_S) for peer in peers]
        for answer in asyncio.as_completed(asked):
            match await answer:
                case Result(tag="ok", ok=DocumentUpdate() as news):
                    self._held.apply_update(news)
        self._started = True

    async def _follow(self, peer: str) -> None:
        """Fetch from one peer for as long as it is the right source."""
        began_at = now()
        while await self._fetch(peer):
            self._source = peer
            if peer in self._sources.preferred():
                continue
            if now() - began_at > FALLBACK_S:
                return

    async def _fetch(self, peer: str) -> bool:
        """Return whether the peer answered and is up to date."""
        versions = self._below.versions() | {self._node: self._held.version}
        fetch = FetchUpdate(self._held.version, FETCH_WAIT_S, versions)
        match await self._bus.request(peer, fetch, FETCH_TIMEOUT_S):
            case Result(tag="ok", ok=DocumentUpdate() as news):
                return self._take(news)
        return False

    def _take(self, news: DocumentUpdate) -> bool:
        self._held.apply_update(news)
        if news.version < self._held.version or news.age_s > STALE_S:
            return False
        current_at = now() - news.age_s
        self._current_at = max(self._current_at or current_at, current_at)
        return True


def create(
    settings: Settings, alive: LivePeers | None = None, rng: random.Random | None = None
) -> DocumentFollower:
    """Return the follower of a process; `alive` lists the domain's entries."""
    return DocumentFollower(
        settings, alive or static_live_peers(settings), rng or random.Random()
    )
