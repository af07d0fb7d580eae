"""The follower's side of replication."""

from collections.abc import Awaitable, Callable

from fuchsiacroft.control.consensus.member import Member, Role
from fuchsiacroft.control.consensus.messages import (
    AppendReply,
    AppendRequest,
    Heartbeat,
    HeartbeatReply,
    SnapshotChunk,
    SnapshotReply,
)
from fuchsiacroft.control.consensus.snapshot_receiver import SnapshotReceiver
from fuchsiacroft.control.records import HighWaterMark, Snapshot
from fuchsiacroft.exceptions import InvariantError
from fuchsiacroft.utils import clock

InstallSnapshot = Callable[[Snapshot], Awaitable[bool]]


class Follower:
    """Handles heartbeats, entries and snapshots from the leader."""

    def __init__(self, member: Member, install: InstallSnapshot) -> None:
        self._member = member
        self._install_snapshot = install
        self._snapshot_receiver = SnapshotReceiver()
        self._matched_index = 0
        self._matched_term = 0

    def register(self) -> None:
        """Register the handlers for the leader's messages."""
        bus = self._member.bus
        bus.register_handler(Heartbeat, self._on_heartbeat)
        bus.register_handler(AppendRequest, self._on_append)
        bus.register_handler(SnapshotChunk, self._on_snapshot_chunk)

    def _on_heartbeat(self, sender: str, msg: Heartbeat) -> HeartbeatReply | None:
        member = self._member
        if not member.accepts(msg.group, msg.target):
            return None
        if msg.term >= member.term:
            self._observe_leader(msg.term, msg.source)
            member.advance_commit(min(msg.commit, self._matched_index))
        return HeartbeatReply(
            member.identity, member.term, member.storage.is_full, member.commit_index
        )

    async def _on_append(self, sender: str, msg: AppendRequest) -> AppendReply | None:
        member = self._member
        if not member.accepts(msg.group, msg.target) or member.is_installing_snapshot:
            return None
        if msg.term < member.term:
            return AppendReply(member.identity, member.term, False, 0)
        self._observe_leader(msg.term, msg.source)
        if not self._merge_marks(msg.marks, msg.term):
            return None
        retry_index = self._conflict_index(msg)
        if retry_index:
            return AppendReply(member.identity, msg.term, False, retry_index)
        member.append_received(msg.entries)
        matched = msg.previous_index + len(msg.entries)
        self._matched_index = max(self._matched_index, matched)
        member.advance_commit(min(msg.commit, self._matched_index))
        await member.storage.sync()
        return AppendReply(member.identity, msg.term, True, matched)

    async def _on_snapshot_chunk(
        self, sender: str, msg: SnapshotChunk
    ) -> SnapshotReply | None:
        member = self._member
        if not member.accepts(msg.group, msg.target) or member.is_installing_snapshot:
            return None
        if msg.term < member.term:
            return SnapshotReply(member.identity, member.term, 0)
        self._observe_leader(msg.term, msg.source)
        offset = self._snapshot_receiver.add_chunk(msg)
        if offset < msg.size:
            return SnapshotReply(member.identity, msg.term, offset)
        snapshot = self._snapshot_receiver.completed_snapshot()
        if snapshot is None:
            # The leader takes an offset of the full size as installed.
            return SnapshotReply(member.identity, msg.term, 0)
        if not await self._install_snapshot(snapshot):
            return None
        return SnapshotReply(member.identity, msg.term, offset)

    def _observe_leader(self, term: int, leader: str) -> None:
        member = self._member
        if term == member.term and member.leader not in ("", leader):
            member.halt(f"two leaders in term {term}")
            raise InvariantError(f"two leaders in term {term}")
        if (term, leader) != (member.term, member.leader) or self._is_candidate():
            member.become_follower(term, leader)
        if term != self._matched_term:
            self._matched_index, self._matched_term = 0, term
        member.leader_contact_at = clock.now()
        member.has_seen_leader = True

    def _is_candidate(self) -> bool:
        return self._member.role is Role.CANDIDATE

    def _conflict_index(self, msg: AppendRequest) -> int:
        """Return the index to retry from, or 0 if the previous position matches."""
        log = self._member.log
        if msg.previous_index < log.base.index:
            return 0
        held = log.term_at(msg.previous_index)
        if held == msg.previous_term:
            return 0
        if held is None:
            return log.last.index + 1
        return log.first_of_term(msg.previous_index)

    def _merge_marks(self, marks: list[HighWaterMark], term: int) -> bool:
        """Merge the high-water marks; return whether this log reaches its own mark.

        If this disk lacks entries that it has acknowledged, the member halts.
        """
        member = self._member
        for mark in marks:
            if mark.identity != member.identity:
                member.raise_mark(mark.identity, mark.term, mark.index)
            elif mark.term == term and mark.index > member.log.last.index:
                member.halt(f"the disk lacks entries acknowledged up to {mark.index}")
                return False
        return True
