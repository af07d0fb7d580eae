"""Reports to the owners of a stream what began it, and asks them when it is taken up.

What isn't known is not guessed: a stream of unknown origin goes on only if all of the
region saw one version of its service in the time in which the stream can have begun.
"""

import asyncio
from collections.abc import Collection

from expression import Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.registry_wire import EntryRecord, ServerRecord
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.membership.server_notices import ServerInstance
from fuchsiacroft.streams import owners
from fuchsiacroft.streams.begun_streams import BegunStream, BegunStreams
from fuchsiacroft.streams.lookup import Lookup, OriginError
from fuchsiacroft.streams.messages import FindOrigin, OriginReply, StreamBegan
from fuchsiacroft.streams.origin import StreamOrigin, stream_key
from fuchsiacroft.streams.origin_store import OriginFact, OriginStore
from fuchsiacroft.streams.version_history import VersionHistory
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now, wall_time
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

ASK_TIMEOUT_S = 0.15
ASKS = 3
ASK_AGAIN_S = 0.04
"""A take-up may overtake the message about its stream by about this time."""
WATCH_PERIOD_S = 0.5


class StreamOrigins(Service):
    """The origins of this entry's streams, and of those whose owner it is."""

    name = "stream_origins"

    def __init__(self, settings: Settings) -> None:
        self._domain = settings.failure_domain
        self._store = OriginStore()
        self._begun = BegunStreams()
        self._history = VersionHistory(now())
        self._tasks = BackgroundTasks("stream-origins")

    async def start(self, kernel: Kernel) -> None:
        """Answer the other entries, and watch the versions of backend servers."""
        self._bus = kernel.get("bus", Bus)
        self._roster = kernel.get("roster", Roster)
        self._history.restart(now())
        self._roster.on_servers_change(self._on_servers)
        self._bus.register_handler(StreamBegan, self._on_began)
        self._bus.register_handler(FindOrigin, self._on_find)
        self._tasks.spawn_repeated(self._watch, "stream-origins-watch")

    async def stop(self) -> None:
        """Stop watching."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return how many streams are known, and the versions seen lately."""
        return {
            "streams": len(self._store),
            "begun_lately": len(self._begun),
            "versions": self._history.dump(),
        }

    def record(
        self,
        workspace: str,
        request_id: str,
        origin: StreamOrigin,
        kept_s: float,
        server: ServerInstance,
    ) -> None:
        """Record what began a stream on a server, and notify the owners of its key."""
        key = stream_key(workspace, request_id)
        born_ms = int(server.start) if server.start else 0
        fact = OriginFact(key, (origin,), kept_s, server.name, born_ms)
        self._merge(fact)
        entries = self._roster.entries()
        for owner in owners.owners_to_notify(fact.key, entries, self._domain):
            if owner.node != self._roster.local_entry.node:
                self._bus.send(owner.peers, StreamBegan(fact), probes=False)

    def is_ambiguous(self, workspace: str, request_id: str) -> bool:
        """Return whether two origins of a stream of this entry are known by now."""
        return len(self._store.find(stream_key(workspace, request_id), now())) > 1

    async def find(
        self,
        workspace: str,
        request_id: str,
        services: Collection[str],
        within_s: float,
    ) -> Result[StreamOrigin, OriginError]:
        """Return what began a stream, less than `within_s` seconds ago.

        `services` may have begun it; an unknown origin is inferred only if it is one.
        """
        only_service = next(iter(services)) if len(services) == 1 else None
        msg = FindOrigin(
            stream_key(workspace, request_id), only_service or "", within_s
        )
        lookup = Lookup(only_service)
        for number in range(ASKS):
            if number:
                await asyncio.sleep(ASK_AGAIN_S)
            await self._ask(msg, lookup)
            if lookup.is_known:
                break
        outcome = lookup.result(may_infer=self._roster.reaches_most_controls)
        self._log(request_id, lookup, outcome)
        return outcome

    async def _ask(self, msg: FindOrigin, lookup: Lookup) -> None:
        """Ask this entry and the owners of a key, until what they know is certain."""
        lookup.begin_round()
        lookup.add(self._domain, self._reply(msg))
        asked = owners.owners_to_query(msg.key, self._roster.entries())
        lookup.expect(asked)
        requests = [
            asyncio.ensure_future(self._ask_owner(entry, msg, lookup))
            for members in asked.values()
            for entry in members
            if entry.node != self._roster.local_entry.node
        ]
        try:
            for request in asyncio.as_completed(requests):
                await request
                if lookup.is_settled:
                    return
        finally:
            for request in requests:
                request.cancel()
            await asyncio.gather(*requests, return_exceptions=True)

    async def _ask_owner(
        self, entry: EntryRecord, msg: FindOrigin, lookup: Lookup
    ) -> None:
        match await self._bus.request(entry.peers, msg, ASK_TIMEOUT_S):
            case Result(tag="ok", ok=OriginReply() as reply):
                lookup.add(entry.failure_domain, reply)

    def _reply(self, msg: FindOrigin) -> OriginReply:
        at = now()
        since = at - msg.within_s
        return OriginReply(
            self._store.find(msg.key, at),
            tuple(sorted(self._history.versions(msg.service, since))),
            self._history.is_complete(since),
        )

    def _log(
        self,
        request_id: str,
        lookup: Lookup,
        outcome: Result[StreamOrigin, OriginError],
    ) -> None:
        match outcome:
            case Result(tag="ok", ok=origin):
                found = f"{origin.service}/{origin.version}"
            case Result(error=error):
                found = error.value
        event(
            "info",
            "stream_origin_sought",
            request_id=request_id,
            found=found,
            known=lookup.is_known,
            replies=lookup.replies,
            unanswered=",".join(sorted(lookup.unanswered)) or "-",
            versions=",".join(sorted(lookup.versions)) or "-",
        )

    def _merge(self, fact: OriginFact) -> None:
        """Keep a fact, and correct it if a later start of its server is known."""
        at = now()
        self._store.merge(fact, at)
        if len(fact.origins) != 1 or not fact.born_ms:
            return
        stream = BegunStream(fact.key, fact.origins[0].service, at)
        self._begun.add(fact.server, fact.born_ms, stream)
        record = self._roster.server(fact.server)
        if record is not None:
            self._correct(record)

    def _correct(self, record: ServerRecord) -> None:
        """Add the other origin of streams that an unknown start may have begun."""
        at = now()
        age_s = wall_time() - record.born_ms / 1000
        uncertain = self._begun.take_uncertain(record.name, record.born_ms, age_s, at)
        for stream in uncertain:
            version = record.announcement.version_of(stream.service)
            origin = StreamOrigin(stream.service, version)
            self._store.merge(OriginFact(stream.key, (origin,), 0.0), at)
        if uncertain:
            event(
                "info",
                "stream_origins_doubted",
                backend_server=record.name,
                start=record.born_ms,
                offers=record.announcement.offered,
                streams=len(uncertain),
            )

    def _on_servers(self, records: tuple[ServerRecord, ...]) -> None:
        self._history.update(self._roster.known_servers(), now())
        for record in records:
            self._correct(record)

    async def _watch(self) -> None:
        """Notice times in which this entry could not see all servers."""
        at = now()
        if not self._roster.reaches_most_controls:
            self._history.restart(at)
        self._history.update(self._roster.known_servers(), at)
        self._store.forget_ended(at)
        self._begun.forget_proven(at)
        await asyncio.sleep(WATCH_PERIOD_S)

    def _on_began(self, sender: str, msg: StreamBegan) -> None:
        self._merge(msg.fact)

    def _on_find(self, sender: str, msg: FindOrigin) -> OriginReply:
        return self._reply(msg)


def create(settings: Settings) -> StreamOrigins:
    """Return the service of an entry that knows the origins of streams."""
    return StreamOrigins(settings)
