"""Serves the committed document to the processes that subscribe to it."""

import asyncio

import msgspec
from expression import Result

from fuchsiacroft.config.current_document import CurrentDocument
from fuchsiacroft.config.feed import (
    DocumentUpdate,
    FetchUpdate,
    VersionsReply,
    VersionsRequest,
)
from fuchsiacroft.config.node_versions import NodeVersions
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.control.configuration import ConfigurationState
from fuchsiacroft.control.log import ReplicatedLog
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import lease_now
from fuchsiacroft.utils.tasks import BackgroundTasks

CONFIRM_PERIOD_S = 1.0
CONFIRM_TIMEOUT_S = 1.0
VERSIONS_TIMEOUT_S = 1.0


class Feed(Service):
    """Keeps the committed document and answers requests for updates."""

    name = "feed"

    def __init__(self, settings: Settings, state: ConfigurationState) -> None:
        self._other_members = [
            member.peers for member in settings.control if member.node != settings.node
        ]
        self._state = state
        self._node_versions = NodeVersions()
        self._tasks = BackgroundTasks("feed")
        self._confirmed_at: float | None = None

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to the committed state and register the request handlers."""
        self._document = kernel.get("document", CurrentDocument)
        self._log = kernel.get("log", ReplicatedLog)
        self._bus = kernel.get("bus", Bus)
        self._state.on_change(self._update_document)
        self._bus.register_handler(FetchUpdate, self._on_fetch)
        self._bus.register_handler(VersionsRequest, self._on_versions_request)
        self._update_document()
        self._tasks.spawn_critical(self._confirm_forever(), "feed-confirm")

    async def stop(self) -> None:
        """Stop the background task."""
        await self._tasks.cancel()

    @property
    def age_s(self) -> float:
        """Return the seconds since this member was last known to be up to date."""
        if self._confirmed_at is None:
            return float("inf")
        return lease_now() - self._confirmed_at

    async def in_force(self) -> dict[str, int]:
        """Return the version in force at each process that reported recently."""
        replies = await asyncio.gather(
            *(self._request_versions(peer) for peer in self._other_members)
        )
        versions = self._node_versions.versions()
        for reply in replies:
            for node, version in reply.items():
                versions[node] = max(version, versions.get(node, 0))
        return versions

    def dump(self) -> dict:
        """Return the versions in force at the subscribed processes, and the age."""
        return {
            "in_force": self._node_versions.versions(),
            "age_s": round(self.age_s, 3),
        }

    async def _on_fetch(self, sender: str, fetch: FetchUpdate) -> DocumentUpdate:
        self._node_versions.record(fetch.in_force)
        update = await self._document.wait_for_update(fetch)
        return msgspec.structs.replace(update, age_s=self.age_s)

    def _on_versions_request(self, sender: str, msg: VersionsRequest) -> VersionsReply:
        return VersionsReply(self._node_versions.versions())

    async def _request_versions(self, peer: str) -> dict[str, int]:
        match await self._bus.request(peer, VersionsRequest(), VERSIONS_TIMEOUT_S):
            case Result(tag="ok", ok=VersionsReply(versions=versions)):
                return versions
        return {}

    async def _confirm_forever(self) -> None:
        """Record when a read barrier last showed that this member is up to date."""
        while True:
            requested_at = lease_now()
            if (await self._log.read_barrier(CONFIRM_TIMEOUT_S)).is_ok():
                self._confirmed_at = requested_at
            await asyncio.sleep(CONFIRM_PERIOD_S)

    def _update_document(self) -> None:
        records = self._state.records_since(self._document.version)
        if records is None:
            update = DocumentUpdate(self._state.version, document=self._state.document)
        else:
            deltas = tuple(record.delta for record in records)
            first = self._document.version + 1
            update = DocumentUpdate(
                self._state.version, first_version=first, deltas=deltas
            )
        self._document.apply_update(update)


def create(settings: Settings, state: ConfigurationState) -> Feed:
    """Return the feed of a control member."""
    return Feed(settings, state)
