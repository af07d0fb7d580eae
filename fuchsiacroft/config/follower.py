"""Keeps the held document at the newest version that can be reached."""

import asyncio
import random

from expression import Result

from fuchsiacroft.config.feed import Fetch, News
from fuchsiacroft.config.held import HeldDocument
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.tasks import TaskGroup

FETCH_WAIT_S = 1.0
FETCH_TIMEOUT_S = 2.0
PAUSE_S = 0.2


class Follower(Service):
    """Fetches news from a control member, or from neighbours without one."""

    name = "follower"

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._tasks = TaskGroup("follower")
        self._random = random.Random()
        self._heard_at: float | None = None
        self._in_force: dict[str, int] = {}

    async def start(self, kernel: Kernel) -> None:
        """Begin to fetch, and to answer neighbours."""
        self._held = kernel.get("document", HeldDocument)
        self._bus = kernel.get("bus", Bus)
        self._bus.handle(Fetch, self._on_fetch)
        self._tasks.spawn(self._run(), "follower")

    async def stop(self) -> None:
        """Stop fetching."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return how long ago a source was last heard."""
        age = None if self._heard_at is None else round(now() - self._heard_at, 3)
        return {"heard_s_ago": age}

    async def _on_fetch(self, sender: str, fetch: Fetch) -> News:
        return await self._held.wait_for_news(fetch)

    async def _run(self) -> None:
        while True:
            for peer in self._sources():
                if await self._fetch(peer):
                    break
            else:
                await asyncio.sleep(PAUSE_S)

    def _sources(self) -> list[str]:
        control = [member.peers for member in self._settings.control]
        neighbours = [
            member.peers
            for member in self._settings.entries
            if member.node != self._settings.node
        ]
        self._random.shuffle(control)
        self._random.shuffle(neighbours)
        return control + neighbours

    async def _fetch(self, peer: str) -> bool:
        fetch = Fetch(
            self._held.version,
            FETCH_WAIT_S,
            {self._settings.node: self._held.version},
        )
        match await self._bus.request(peer, fetch, FETCH_TIMEOUT_S):
            case Result(tag="ok", ok=News() as news):
                self._heard_at = now()
                self._held.take(news)
                return True
        return False


def create(settings: Settings) -> Follower:
    """Return the follower for a process."""
    return Follower(settings)
