"""Reports to the entries of a server's failure domain whether its start is certain.

Each of them may be asked to place requests there, or become the coordinator.
"""

import asyncio
from collections.abc import Callable

import msgspec

from fuchsiacroft.config.bounds import Age
from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.membership.server_notices import ServerInstance
from fuchsiacroft.membership.server_starts import ServerStarts
from fuchsiacroft.membership.start_probe import StartProbe
from fuchsiacroft.routing.permits import RunOutcome
from fuchsiacroft.transport import codec
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

ASK_PAUSE_S = 0.2
MAX_ASKS = 5


@codec.message("placing.start_doubted")
class StartDoubted(msgspec.Struct, frozen=True):
    """The start of a server is not certain, as a run there was lost.

    The server was alive `alive_age_s` seconds ago, and the run lost `lost_age_s` ago.
    """

    backend_server: str
    start: str
    alive_age_s: Age
    lost_age_s: Age


@codec.message("placing.start_proven")
class StartProven(msgspec.Struct, frozen=True):
    """A run on a server went on `progress_age_s` seconds ago.

    Its request was sent `sent_age_s` seconds ago.
    """

    backend_server: str
    start: str
    sent_age_s: Age
    progress_age_s: Age


@codec.message("placing.start_alive")
class StartAlive(msgspec.Struct, frozen=True):
    """A start of a server answered a question that was sent `asked_age_s` ago."""

    backend_server: str
    start: str
    asked_age_s: Age


class StartExchange:
    """What this entry sees of the starts of servers, and passes on.

    `probe`, if there is one, asks a server whose start is doubted. `on_proven` is
    called with each run for which it told the known start.
    """

    def __init__(
        self,
        bus: Bus,
        roster: Roster,
        starts: ServerStarts,
        probe: StartProbe | None,
        tasks: BackgroundTasks,
    ) -> None:
        self._bus = bus
        self._roster = roster
        self._starts = starts
        self._probe = probe
        self._tasks = tasks
        self._waiting: dict[ServerInstance, set[str]] = {}
        self.on_proven: Callable[[str], None] = lambda run_id: None
        bus.register_handler(StartAlive, self._on_alive)
        bus.register_handler(StartDoubted, self._on_doubted)
        bus.register_handler(StartProven, self._on_proven)

    def record_loss(
        self, server: ServerInstance, alive_at: float, run_id: str, outcome: RunOutcome
    ) -> None:
        """Record that a run of this entry was lost, or a connection refused."""
        at = now()
        is_known = self._starts.covers(server, at)
        if self._starts.record_loss(server, alive_at, at):
            _log("server_start_doubted", server, run_id=run_id, outcome=outcome.value)
        if not is_known:
            msg = StartDoubted(server.name, server.start, at - alive_at, 0.0)
            self._notify(server, msg)

    def record_progress(self, server: ServerInstance, sent_at: float) -> None:
        """Record that a run of this entry goes on, of a request sent at `sent_at`."""
        at = now()
        if not self._starts.is_proof(server, sent_at, at):
            return
        if self._starts.record_progress(server, sent_at, at):
            _log("server_start_proven", server)
        self._notify(server, StartProven(server.name, server.start, at - sent_at, 0.0))

    def ask(self, server: ServerInstance, run_id: str) -> None:
        """Ask a server for its start, as a run there needs it to be certain.

        If it tells the same start, `on_proven` is called with the run.
        """
        if self._probe is None or not server.may_start_again:
            return
        if server in self._waiting:
            self._waiting[server].add(run_id)
            return
        self._waiting[server] = {run_id}
        self._tasks.spawn(self._ask_until_certain(server), "ask-start")

    async def _ask_until_certain(self, server: ServerInstance) -> None:
        """Ask a few times, as answers are lost where runs are."""
        try:
            for number in range(MAX_ASKS):
                if number:
                    await asyncio.sleep(ASK_PAUSE_S)
                if await self._ask(server):
                    return
        finally:
            del self._waiting[server]

    async def _ask(self, server: ServerInstance) -> bool:
        """Return whether a server has told the same start for all runs that wait.

        The answer says nothing of runs that came to wait after the question.
        """
        record = self._roster.server(server.name)
        if record is None:
            return False
        asked_at = now()
        run_ids = frozenset(self._waiting[server])
        address = record.announcement.address
        if await self._probe.ask(server.name, address) != server.start:
            return False
        if self._starts.record_alive(server, asked_at):
            _log("server_start_proven", server)
        age_s = now() - asked_at
        self._notify(server, StartAlive(server.name, server.start, age_s))
        for run_id in run_ids:
            self.on_proven(run_id)
        self._waiting[server] -= run_ids
        return not self._waiting[server]

    def _notify(
        self, server: ServerInstance, msg: StartDoubted | StartProven | StartAlive
    ) -> None:
        for entry in self._entries_for(server.name):
            if entry.node != self._roster.local_entry.node:
                self._bus.send(entry.peers, msg)

    def _entries_for(self, backend_server: str) -> tuple[EntryRecord, ...]:
        """Return the entries of a server's domain, all if there are none."""
        entries = self._roster.entries()
        record = self._roster.server(backend_server)
        if record is None:
            return entries
        domain = record.announcement.failure_domain
        return tuple(e for e in entries if e.failure_domain == domain) or entries

    def _on_doubted(self, sender: str, msg: StartDoubted) -> None:
        at = now()
        self._starts.record_loss(
            ServerInstance(msg.backend_server, msg.start),
            at - msg.alive_age_s,
            at - msg.lost_age_s,
        )

    def _on_proven(self, sender: str, msg: StartProven) -> None:
        at = now()
        self._starts.record_progress(
            ServerInstance(msg.backend_server, msg.start),
            at - msg.sent_age_s,
            at - msg.progress_age_s,
        )

    def _on_alive(self, sender: str, msg: StartAlive) -> None:
        server = ServerInstance(msg.backend_server, msg.start)
        self._starts.record_alive(server, now() - msg.asked_age_s)


def _log(name: str, server: ServerInstance, **fields: str) -> None:
    event("info", name, backend_server=server.name, start=server.start, **fields)
