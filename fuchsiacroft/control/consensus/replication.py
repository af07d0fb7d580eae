"""Replication from the leader to one peer: heartbeats, entries and snapshots."""

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
from fuchsiacroft.control.consensus.snapshot_sender import send_snapshot
from fuchsiacroft.control.records import GroupMember
from fuchsiacroft.transport.bus import BusError
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.tasks import BackgroundTasks

if TYPE_CHECKING:
    from fuchsiacroft.control.consensus.leadership import Leadership


class Peer:
    """The leader's view of another member in the current term."""

    def __init__(self, member: GroupMember, last_index: int) -> None:
        self.identity = member.identity
        self.address = member.address
        self.next_index = last_index
        self.match_index = 0
        self.sent_commit_index = 0
        self.acked_at = float("-inf")
        self.replied_at = float("-inf")
        self.is_full = False
        self.is_unresponsive = False
        self.wake = asyncio.Event()

    def record_ack(self, sent_at: float) -> None:
        """Extend the lease granted by this peer; `sent_at` is of the lease clock."""
        self.acked_at = max(self.acked_at, sent_at)
        self.replied_at = clock.now()
        self.is_unresponsive = False

    def lower_sent_commit(self, commit_index: int | None) -> None:
        """Record that this peer is behind: it has started again and forgot the index.

        It would answer no read until the next entry. A reply that was overtaken by an
        append only causes an empty one more.
        """
        if commit_index is not None:
            self.sent_commit_index = min(self.sent_commit_index, commit_index)

    def is_live(self) -> bool:
        """Return whether this peer replied within the lease duration."""
        return clock.lease_now() - self.acked_at < timing.LEASE_S

    def has_space(self) -> bool:
        """Return whether this peer replies and its disk is not full."""
        return self.is_live() and not self.is_full

    def dump(self) -> dict:
        """Return the progress of this peer."""
        return {
            "identity": self.identity,
            "address": self.address,
            "match": self.match_index,
            "silent": self.is_unresponsive,
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
        """Start to send heartbeats and entries."""
        self._tasks.spawn(self._send_heartbeats())
        self._tasks.spawn(self._send_entries())

    async def stop(self) -> None:
        """Stop the tasks."""
        await self._tasks.cancel()

    async def _send_heartbeats(self) -> None:
        member, peer = self._member, self._peer
        while self._leadership.is_active:
            started_at, sent_at = clock.now(), clock.lease_now()
            group = member.configuration.group
            msg = Heartbeat(
                group, member.identity, peer.identity, member.term, member.commit_index
            )
            result = await member.bus.request(
                peer.address, msg, timing.HEARTBEAT_PERIOD_S
            )
            if self.process_reply(result, sent_at):
                peer.is_full = result.ok.full
                peer.lower_sent_commit(result.ok.commit)
                peer.wake.set()
            remaining = started_at + timing.HEARTBEAT_PERIOD_S - clock.now()
            await asyncio.sleep(max(remaining, 0))

    async def _send_entries(self) -> None:
        member, peer = self._member, self._peer
        while self._leadership.is_active:
            if peer.is_unresponsive or not self._has_updates():
                await peer.wake.wait()
                peer.wake.clear()
            elif peer.next_index <= member.log.base.index:
                await send_snapshot(member, peer, self)
            else:
                await self._append()

    def _has_updates(self) -> bool:
        member, peer = self._member, self._peer
        if peer.next_index <= member.log.last.index:
            return True
        return peer.sent_commit_index < member.commit_index

    async def _append(self) -> None:
        member, peer = self._member, self._peer
        sent_at = clock.lease_now()
        msg = self._append_request()
        result = await member.bus.request(peer.address, msg, timing.APPEND_TIMEOUT_S)
        if not self.process_reply(result, sent_at):
            peer.is_unresponsive = True
            return
        reply: AppendReply = result.ok
        if not reply.matched:
            peer.next_index = max(min(reply.index, peer.next_index - 1), 1)
            return
        peer.match_index = max(peer.match_index, reply.index)
        peer.next_index = peer.match_index + 1
        peer.sent_commit_index = max(peer.sent_commit_index, msg.commit)
        member.raise_mark(peer.identity, msg.term, reply.index)
        self._leadership.update_commit_index()

    def _append_request(self) -> AppendRequest:
        member, peer = self._member, self._peer
        previous = peer.next_index - 1
        return AppendRequest(
            member.configuration.group,
            member.identity,
            peer.identity,
            member.term,
            previous,
            member.log.term_at(previous),
            member.commit_index,
            member.log.batch(
                peer.next_index, timing.MAX_BATCH_ENTRIES, timing.MAX_BATCH_BYTES
            ),
            list(member.marks.values()),
        )

    def process_reply(self, result: Result, sent_at: float) -> bool:
        """Record a reply; return whether it is valid for the current term.

        `sent_at` is when the request was sent, by the lease clock.
        A reply with a higher term makes this member a follower.
        """
        match result:
            case Result(tag="error", error=BusError()):
                return False
        reply = result.ok
        if reply.source != self._peer.identity or not self._leadership.is_active:
            return False
        if reply.term > self._leadership.term:
            self._member.become_follower(reply.term, "")
            return False
        self._peer.record_ack(sent_at)
        return True
