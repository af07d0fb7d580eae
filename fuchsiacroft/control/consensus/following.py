"""The follower's side of replication."""

from collections.abc import Awaitable, Callable

from fuchsiacroft.control.consensus.member import Member, Role
from fuchsiacroft.control.consensus.messages import (
    AppendReply,
    AppendRequest,
    Heartbeat,
    HeartbeatReply,
    SnapshotPiece,
    SnapshotReply,
)
from fuchsiacroft.control.consensus.receiving import Reception
from fuchsiacroft.control.records import Mark, Snapshot
from fuchsiacroft.exceptions import InvariantError
from fuchsiacroft.utils import clock

Install = Callable[[Snapshot], Awaitable[bool]]


class Following:
    """Takes heartbeats, entries and snapshots from the leader."""

    def __init__(self, member: Member, install: Install) -> None:
        self._member = member
        self._install = install
        self._reception = Reception()
        self._matched = 0
        self._matched_term = 0

    def register(self) -> None:
        """Register the handlers for a leader's messages."""
        bus = self._member.bus
        bus.register_handler(Heartbeat, self._on_heartbeat)
        bus.register_handler(AppendRequest, self._on_append)
        bus.register_handler(SnapshotPiece, self._on_piece)

    async def _on_heartbeat(self, sender: str, msg: Heartbeat) -> HeartbeatReply | None:
        member = self._member
        if not member.accepts(msg.group, msg.target):
            return None
        if msg.term >= member.term:
            self._hear(msg.term, msg.source)
            member.advance_commit(min(msg.commit, self._matched))
        return HeartbeatReply(member.identity, member.term, member.storage.is_full)

    async def _on_append(self, sender: str, msg: AppendRequest) -> AppendReply | None:
        member = self._member
        if not member.accepts(msg.group, msg.target) or member.is_installing:
            return None
        if msg.term < member.term:
            return AppendReply(member.identity, member.term, False, 0)
        self._hear(msg.term, msg.source)
        if not self._take_marks(msg.marks, msg.term):
            return None
        retry_index = self._mismatch(msg)
        if retry_index:
            return AppendReply(member.identity, msg.term, False, retry_index)
        member.append_received(msg.entries)
        matched = msg.previous_index + len(msg.entries)
        self._matched = max(self._matched, matched)
        member.advance_commit(min(msg.commit, self._matched))
        await member.storage.sync()
        return AppendReply(member.identity, msg.term, True, matched)

    async def _on_piece(self, sender: str, msg: SnapshotPiece) -> SnapshotReply | None:
        member = self._member
        if not member.accepts(msg.group, msg.target) or member.is_installing:
            return None
        if msg.term < member.term:
            return SnapshotReply(member.identity, member.term, 0)
        self._hear(msg.term, msg.source)
        offset = self._reception.take(msg)
        snapshot = self._reception.whole()
        if snapshot is not None and not await self._install(snapshot):
            return None
        return SnapshotReply(member.identity, msg.term, offset)

    def _hear(self, term: int, leader: str) -> None:
        member = self._member
        if term == member.term and member.leader not in ("", leader):
            member.halt(f"two leaders in term {term}")
            raise InvariantError(f"two leaders in term {term}")
        if (term, leader) != (member.term, member.leader) or self._is_candidate():
            member.follow(term, leader)
        if term != self._matched_term:
            self._matched, self._matched_term = 0, term
        member.heard_at = clock.now()
        member.has_heard_leader = True

    def _is_candidate(self) -> bool:
        return self._member.role is Role.CANDIDATE

    def _mismatch(self, msg: AppendRequest) -> int:
        """Return the index to try from, or 0 if the position matches."""
        log = self._member.log
        if msg.previous_index < log.base.index:
            return 0
        held = log.term_at(msg.previous_index)
        if held == msg.previous_term:
            return 0
        if held is None:
            return log.last.index + 1
        return log.first_of_term(msg.previous_index)

    def _take_marks(self, marks: list[Mark], term: int) -> bool:
        """Remember others' promises; tell whether this disk holds its own."""
        member = self._member
        for mark in marks:
            if mark.identity != member.identity:
                member.note_mark(mark.identity, mark.term, mark.index)
            elif mark.term == term and mark.index > member.log.last.index:
                member.halt(f"the disk lacks entries acknowledged up to {mark.index}")
                return False
        return True
