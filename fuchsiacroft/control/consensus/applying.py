"""Applies committed entries to the state machines and takes snapshots."""

import asyncio
from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.configurations import CONFIGURATION_KIND
from fuchsiacroft.control.consensus.leadership import NOOP_KIND
from fuchsiacroft.control.consensus.member import Member
from fuchsiacroft.control.log import Applied, ProposeError, StateMachine
from fuchsiacroft.control.records import Entry, Snapshot
from fuchsiacroft.exceptions import InvariantError
from fuchsiacroft.transport import codec
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

APPLY_BATCH_ENTRIES = 200

Outcome = Result[Applied, ProposeError]


@dataclass(slots=True)
class _PendingProposal:
    term: int
    fut: asyncio.Future


@dataclass(slots=True)
class _PendingRead:
    index: int
    fut: asyncio.Future


class Applying:
    """Applies committed entries to the state machines of one member."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._machines: dict[str, StateMachine] = {}
        self._by_command: dict[type[msgspec.Struct], StateMachine] = {}
        self._pending_proposals: dict[int, _PendingProposal] = {}
        self._pending_reads: list[_PendingRead] = []
        self._tasks = BackgroundTasks("applying")
        self._entries_since_snapshot = 0
        self._bytes_since_snapshot = 0
        self._is_saving_snapshot = False

    def add_state_machine(self, name: str, machine: StateMachine) -> None:
        """Add a state machine for its command types."""
        if name in self._machines:
            raise InvariantError(f"two state machines are named {name}")
        self._machines[name] = machine
        for command in machine.commands:
            self._by_command[command] = machine

    async def run(self) -> None:
        """Apply entries as they are committed; an error halts the member."""
        member = self._member
        try:
            while True:
                await member.commit_advanced.wait()
                member.commit_advanced.clear()
                await self._apply_committed()
        except Exception as exc:
            member.halt(f"applying entry {member.applied_index + 1} failed: {exc!r}")
            raise

    async def stop(self) -> None:
        """Stop, and fail pending proposals with an unknown outcome."""
        await self._tasks.cancel()
        for proposal in self._pending_proposals.values():
            set_result_if_pending(proposal.fut, Error(ProposeError.UNKNOWN))
        self._pending_proposals.clear()

    def expect_outcome(self, index: int) -> asyncio.Future:
        """Return a future for the outcome of the entry that was just appended."""
        fut = asyncio.get_running_loop().create_future()
        self._pending_proposals[index] = _PendingProposal(self._member.term, fut)
        return fut

    async def wait_applied(self, index: int) -> None:
        """Wait until an index is applied."""
        if self._member.applied_index >= index:
            return
        fut = asyncio.get_running_loop().create_future()
        self._pending_reads.append(_PendingRead(index, fut))
        await fut

    def restore(self, snapshot: Snapshot) -> None:
        """Restore all state machines from a snapshot newer than the applied index.

        The outcome of pending proposals that it covers becomes unknown.
        """
        if snapshot.index <= self._member.applied_index:
            return
        for name, machine in self._machines.items():
            data = snapshot.machines.get(name)
            if data is not None:
                machine.restore(data)
        self._member.applied_index = snapshot.index
        self._fail_proposals(snapshot.index)
        self._complete_reads()

    async def install_snapshot(self, snapshot: Snapshot) -> bool:
        """Install a snapshot from the leader; return False if the disk is full.

        A snapshot that is already covered by the commit index is ignored.
        """
        member = self._member
        if snapshot.index <= member.commit_index:
            return True
        matches = member.log.term_at(snapshot.index) == snapshot.term
        member.is_installing_snapshot = True
        try:
            saved = await member.storage.save_snapshot(snapshot, reset=not matches)
        finally:
            member.is_installing_snapshot = False
        if saved.is_error():
            return False
        member.install_snapshot(snapshot)
        self.restore(snapshot)
        member.commit_advanced.set()
        event("info", "snapshot_installed", index=snapshot.index)
        return True

    def dump(self) -> dict:
        """Return the applied index and the number of pending proposals and reads.

        `since_snapshot` is the number of entries applied since the last snapshot.
        """
        return {
            "applied": self._member.applied_index,
            "proposers": len(self._pending_proposals),
            "readers": len(self._pending_reads),
            "since_snapshot": self._entries_since_snapshot,
        }

    async def _apply_committed(self) -> None:
        member = self._member
        while member.applied_index < member.commit_index and member.verified:
            self._apply_batch()
            await asyncio.sleep(0)

    def _apply_batch(self) -> None:
        member = self._member
        last = min(member.commit_index, member.applied_index + APPLY_BATCH_ENTRIES)
        while member.applied_index < last:
            entry = member.log.entry(member.applied_index + 1)
            result = self._apply(entry)
            member.applied_index = entry.index
            self._complete_proposal(entry, result)
        self._complete_reads()
        self._maybe_save_snapshot()

    def _apply(self, entry: Entry) -> msgspec.Struct | None:
        self._entries_since_snapshot += 1
        self._bytes_since_snapshot += len(entry.body)
        if entry.kind in (NOOP_KIND, CONFIGURATION_KIND):
            return None
        decoded = codec.unpack(entry.kind, entry.body)
        if decoded.is_error():
            raise InvariantError(f"entry {entry.index}: {entry.kind} {decoded.error}")
        machine = self._by_command.get(type(decoded.ok))
        if machine is None:
            raise InvariantError(f"no state machine handles {entry.kind}")
        return machine.apply(entry.index, decoded.ok)

    def _complete_proposal(self, entry: Entry, result: msgspec.Struct | None) -> None:
        proposal = self._pending_proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            set_result_if_pending(proposal.fut, Ok(Applied(entry.index, result)))
        else:
            set_result_if_pending(proposal.fut, Error(ProposeError.NOT_LEADER))

    def _fail_proposals(self, index: int) -> None:
        for covered in [i for i in self._pending_proposals if i <= index]:
            set_result_if_pending(
                self._pending_proposals.pop(covered).fut, Error(ProposeError.UNKNOWN)
            )

    def _complete_reads(self) -> None:
        still_pending = []
        for read in self._pending_reads:
            if read.index > self._member.applied_index:
                still_pending.append(read)
            else:
                set_result_if_pending(read.fut, None)
        self._pending_reads = still_pending

    def _maybe_save_snapshot(self) -> None:
        entries, size = self._entries_since_snapshot, self._bytes_since_snapshot
        due = (
            entries >= timing.SNAPSHOT_INTERVAL_ENTRIES
            or size >= timing.SNAPSHOT_INTERVAL_BYTES
        )
        if (
            due
            and not self._is_saving_snapshot
            and not self._member.is_installing_snapshot
        ):
            self._is_saving_snapshot = True
            self._tasks.spawn(self._save_snapshot(self._take_snapshot()), "snapshot")

    def _take_snapshot(self) -> Snapshot:
        member = self._member
        self._entries_since_snapshot = 0
        self._bytes_since_snapshot = 0
        index = member.applied_index
        configuration_index, configuration = member.configurations.at_index(index)
        machines = {name: m.snapshot() for name, m in self._machines.items()}
        term = member.log.term_at(index)
        return Snapshot(index, term, configuration_index, configuration, machines)

    async def _save_snapshot(self, snapshot: Snapshot) -> None:
        member = self._member
        try:
            saved = await member.storage.save_snapshot(snapshot)
        finally:
            self._is_saving_snapshot = False
        if saved.is_ok():
            member.log.compact(snapshot.index - timing.RETAINED_ENTRIES)
            event("info", "snapshot_saved", index=snapshot.index)


def set_result_if_pending(fut: asyncio.Future, outcome: object) -> None:
    """Set a future's result unless it is already done or cancelled."""
    if not fut.done():
        fut.set_result(outcome)
