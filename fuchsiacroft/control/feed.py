"""Serves the document to the processes that follow it."""

from dataclasses import dataclass

from fuchsiacroft.config.feed import Fetch, News
from fuchsiacroft.config.held import HeldDocument
from fuchsiacroft.control.configuration import ConfigurationState
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now

IN_FORCE_TTL_S = 30.0


@dataclass(frozen=True, slots=True)
class InForce:
    """The version that a process said it holds, and when it said so."""

    version: int
    heard_at: float


class Feed(Service):
    """Holds the committed document and answers fetches from it."""

    name = "feed"

    def __init__(self, state: ConfigurationState) -> None:
        self._state = state
        self._in_force: dict[str, InForce] = {}

    async def start(self, kernel: Kernel) -> None:
        """Follow the committed state and answer fetches."""
        self._held = kernel.get("document", HeldDocument)
        self._state.on_change(self._copy)
        kernel.get("bus", Bus).handle(Fetch, self._on_fetch)
        self._copy()

    def in_force(self) -> dict[str, int]:
        """Return the version held by each process heard of lately."""
        oldest = now() - IN_FORCE_TTL_S
        return {
            node: held.version
            for node, held in self._in_force.items()
            if held.heard_at >= oldest
        }

    def dump(self) -> dict:
        """Return who holds which version."""
        return {"in_force": self.in_force()}

    async def _on_fetch(self, sender: str, fetch: Fetch) -> News:
        for node, version in fetch.in_force.items():
            self._in_force[node] = InForce(version, now())
        return await self._held.wait_for_news(fetch)

    def _copy(self) -> None:
        records = self._state.since(self._held.version)
        if records is None:
            news = News(self._state.version, document=self._state.document)
        else:
            deltas = tuple(record.delta for record in records)
            first = self._held.version + 1
            news = News(self._state.version, first_version=first, deltas=deltas)
        self._held.take(news)


def create(state: ConfigurationState) -> Feed:
    """Return the feed of a control member."""
    return Feed(state)
