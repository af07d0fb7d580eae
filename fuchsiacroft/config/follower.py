"""Updates this process's document to the newest reachable version."""

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
from fuchsiacroft.utils.clock import lease_now, now
from fuchsiacroft.utils.tasks import BackgroundTasks

FETCH_WAIT_S = 1.5
FETCH_TIMEOUT_S = 2.0
START_TIMEOUT_S = 1.0
MAX_SOURCE_AGE_S = 3.0
FALLBACK_SOURCE_PERIOD_S = 10.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5


class DocumentFollower(Service):
    """Fetches document updates from the best source and serves them to others."""

    name = "follower"

    def __init__(
        self, settings: Settings, live_peers: LivePeers, rng: random.Random
    ) -> None:
        self._node = settings.node
        self._rng = rng
        self._sources = Sources(settings, live_peers, rng)
        self._tasks = BackgroundTasks("follower")
        self._downstream_versions = NodeVersions()
        self._up_to_date_at: float | None = None
        self._source = ""
        self._started = False

    async def start(self, kernel: Kernel) -> None:
        """Start to fetch updates and to answer other followers."""
        self._document = kernel.get("document", CurrentDocument)
        self._bus = kernel.get("bus", Bus)
        self._bus.register_handler(FetchUpdate, self._on_fetch)
        self._tasks.spawn(self._fetch_newest_at_start(), "follower-start")
        self._tasks.spawn_critical(self._run(), "follower")

    async def stop(self) -> None:
        """Stop fetching."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the source and the age of the current version."""
        return {"source": self._source, "age_s": round(self.age_s, 3)}

    @property
    def age_s(self) -> float:
        """Return the seconds since the current version was known to be the newest."""
        if self._up_to_date_at is None:
            return float("inf")
        return lease_now() - self._up_to_date_at

    def not_ready_reason(self) -> str | None:
        """Return why requests cannot be admitted yet, or None."""
        if not self._started:
            return "looking for the newest document"
        return None if self._document.version else "no document yet"

    async def _on_fetch(self, sender: str, fetch: FetchUpdate) -> DocumentUpdate:
        self._downstream_versions.record(fetch.in_force)
        update = await self._document.wait_for_update(fetch)
        return msgspec.structs.replace(update, age_s=self.age_s)

    async def _run(self) -> None:
        while True:
            for peer in self._sources.ordered_addresses():
                await self._follow(peer)
            await asyncio.sleep(self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S))

    async def _fetch_newest_at_start(self) -> None:
        """Apply the newest version of any source, so that a restart reverts nothing."""
        fetch = FetchUpdate(0, 0.0)
        peers = self._sources.ordered_addresses()
        requests = [self._bus.request(peer, fetch, START_TIMEOUT_S) for peer in peers]
        for reply in asyncio.as_completed(requests):
            match await reply:
                case Result(tag="ok", ok=DocumentUpdate() as update):
                    self._document.apply_update(update)
        self._started = True

    async def _follow(self, peer: str) -> None:
        """Fetch from a peer while it is up to date.

        A peer that is not preferred is used for a limited time.
        """
        started_at = now()
        while await self._fetch(peer):
            self._source = peer
            if peer in self._sources.preferred_addresses():
                continue
            if now() - started_at > FALLBACK_SOURCE_PERIOD_S:
                return

    async def _fetch(self, peer: str) -> bool:
        """Fetch once; return whether the peer replied and is up to date."""
        versions = self._downstream_versions.versions() | {
            self._node: self._document.version
        }
        fetch = FetchUpdate(self._document.version, FETCH_WAIT_S, versions)
        match await self._bus.request(peer, fetch, FETCH_TIMEOUT_S):
            case Result(tag="ok", ok=DocumentUpdate() as update):
                return self._apply_update(update)
        return False

    def _apply_update(self, update: DocumentUpdate) -> bool:
        self._document.apply_update(update)
        if update.version < self._document.version or update.age_s > MAX_SOURCE_AGE_S:
            return False
        current_at = lease_now() - update.age_s
        self._up_to_date_at = max(self._up_to_date_at or current_at, current_at)
        return True


def create(
    settings: Settings,
    live_peers: LivePeers | None = None,
    rng: random.Random | None = None,
) -> DocumentFollower:
    """Return a follower; `live_peers` lists the live entries of its domain."""
    return DocumentFollower(
        settings, live_peers or static_live_peers(settings), rng or random.Random()
    )
