"""The leader's tasks for one peer: heartbeats, entries and snapshots."""

import asyncio
from typing import TYPE_CHECKING

from expression import Result

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.member import Member
from fuchsiacroft.control.consensus.messages import (
    AppendReply,
    AppendRequest,
    Heartbeat,
)
from fuchsiacroft.control.consensus.transfer import send_snapshot
from fuchsiacroft.control.records import GroupMember
from fuchsiacroft.transport.bus import BusError
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.tasks import BackgroundTasks

if TYPE_CHECKING:
    from fuchsiacroft.control.consensus.leadership import Leadership


class Peer:
    """What the leader knows of another member in this term."""

    def __init__(self, member: GroupMember, last_index: int) -> None:
        self.identity = member.identity
        self.address = member.address
        self.next_index = last_index
        self.match = 0
        self.commit_sent = 0
        self.acked_at = float("-inf")
        self.is_full = False
        self.is_silent = False
        self.wake = asyncio.Event()

    def note_ack(self, sent_at: float) -> None:
        """Extend the lease that this peer gives."""
        self.acked_at = max(self.acked_at, sent_at)
        self.is_silent = False

    def is_live(self) -> bool:
        """Tell whether this peer answered within a lease."""
        return clock.now() - self.acked_at < timing.LEASE_S

    def has_space(self) -> bool:
        """Tell whether this peer answers and can write."""
        return self.is_live() and not self.is_full

    def dump(self) -> dict:
        """Return the progress of this peer."""
        return {
            "identity": self.identity,
            "address": self.address,
            "match": self.match,
            "silent": self.is_silent,
            "full": self.is_full,
        }


class Replication:
    """Keeps one peer's log equal to the leader's."""

    def __init__(self, member: Member, leadership: "Leadership", peer: Peer) -> None:
        self._member = member
        self._leadership = leadership
        self._peer = peer
        self._tasks = BackgroundTasks(f"replication-{peer.address}")

    def start(self) -> None:
        """Begin to send heartbeats and entries."""
        self._tasks.spawn(self._beat_forever())
        self._tasks.spawn(self._replicate_forever())

    async def stop(self) -> None:
        """Stop sending."""
        await self._tasks.cancel()

    async def _beat_forever(self) -> None:
        member, peer = self._member, self._peer
        while self._leadership.is_active:
            sent_at = clock.now()
            group = member.configuration.group
            msg = Heartbeat(
                group, member.identity, peer.identity, member.term, member.commit
            )
            answer = await member.bus.request(peer.address, msg, timing.HEARTBEAT_S)
            if self.take_answer(answer, sent_at):
                peer.is_full = answer.ok.full
                peer.wake.set()
            rest = sent_at + timing.HEARTBEAT_S - clock.now()
            await asyncio.sleep(max(rest, 0))

    async def _replicate_forever(self) -> None:
        member, peer = self._member, self._peer
        while self._leadership.is_active:
            if peer.is_silent or not self._has_news():
                await peer.wake.wait()
                peer.wake.clear()
            elif peer.next_index <= member.log.base.index:
                await send_snapshot(member, peer, self)
            else:
                await self._append()

    def _has_news(self) -> bool:
        member, peer = self._member, self._peer
        if peer.next_index <= member.log.last.index:
            return True
        return peer.commit_sent < member.commit

    async def _append(self) -> None:
        member, peer = self._member, self._peer
        sent_at = clock.now()
        msg = self._request()
        answer = await member.bus.request(peer.address, msg, timing.APPEND_TIMEOUT_S)
        if not self.take_answer(answer, sent_at):
            peer.is_silent = True
            return
        reply: AppendReply = answer.ok
        if not reply.matched:
            peer.next_index = max(min(reply.index, peer.next_index - 1), 1)
            return
        peer.match = max(peer.match, reply.index)
        peer.next_index = peer.match + 1
        peer.commit_sent = max(peer.commit_sent, msg.commit)
        member.note_mark(peer.identity, msg.term, reply.index)
        self._leadership.note_progress()

    def _request(self) -> AppendRequest:
        member, peer = self._member, self._peer
        previous = peer.next_index - 1
        return AppendRequest(
            member.configuration.group,
            member.identity,
            peer.identity,
            member.term,
            previous,
            member.log.term_at(previous),
            member.commit,
            member.log.batch(peer.next_index, timing.BATCH_ENTRIES, timing.BATCH_BYTES),
            list(member.marks.values()),
        )

    def take_answer(self, answer: Result, sent_at: float) -> bool:
        """Note who answered; tell whether the answer counts in this term."""
        match answer:
            case Result(tag="error", error=BusError()):
                return False
        reply = answer.ok
        if reply.source != self._peer.identity or not self._leadership.is_active:
            return False
        if reply.term > self._leadership.term:
            self._member.follow(reply.term, "")
            return False
        self._peer.note_ack(sent_at)
        return True
