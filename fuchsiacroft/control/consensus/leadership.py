"""One term of leadership: the lease, the commit index and replication to peers."""

import asyncio

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.member import Member, Role
from fuchsiacroft.control.consensus.replication import Peer, Replication
from fuchsiacroft.control.records import Configuration
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

NOOP_KIND = ""


class Leadership:
    """The leader's state and tasks from its election until it steps down."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self.term = member.term
        self.peers: dict[str, Peer] = {}
        self._replications: dict[str, Replication] = {}
        self._tasks = BackgroundTasks("leadership")
        self._appended = asyncio.Event()
        self._durable_index = 0
        self._started_at = clock.now()
        self._lease_started_at = clock.lease_now()
        self._last_space_at = clock.now()
        self._first_index = 0

    def start(self) -> None:
        """Append the no-op entry of the term and start replication."""
        self._first_index = self.append(NOOP_KIND, b"")
        self._tasks.spawn(self._sync_own_log(), "leader-sync")
        self._tasks.spawn(self._watch_lease(), "leader-lease")

    async def stop(self) -> None:
        """Stop all tasks of the term."""
        for replication in self._replications.values():
            await replication.stop()
        await self._tasks.cancel()

    @property
    def is_active(self) -> bool:
        """Return whether this member is still leader of the term."""
        return self._member.role is Role.LEADER and self._member.term == self.term

    @property
    def holds_lease(self) -> bool:
        """Return whether the lease is valid: no other member can have been elected."""
        return self.is_active and clock.lease_now() < self._lease_end()

    @property
    def may_serve(self) -> bool:
        """Return whether the lease is valid and an entry of this term is committed.

        Only then is the commit index known to be that of the group.
        """
        return self.holds_lease and self._member.commit_index >= self._first_index

    @property
    def uncommitted_entries(self) -> int:
        """Return the number of entries that are not committed yet."""
        return self._member.log.last.index - self._member.commit_index

    def append(self, kind: str, body: bytes) -> int:
        """Append an entry and return its index."""
        entry = self._member.append_new(kind, body)
        self._appended.set()
        self._refresh_peers()
        for peer in self.peers.values():
            peer.wake.set()
        return entry.index

    def seconds_since_ack(self, identity: str) -> float:
        """Return the seconds since a member's last reply, or since the term began."""
        peer = self.peers.get(identity)
        replied_at = peer.replied_at if peer is not None else float("-inf")
        return clock.now() - max(replied_at, self._started_at)

    def update_commit_index(self) -> None:
        """Advance the commit index to what is durable on a majority."""
        member = self._member
        if not self.is_active:
            return
        matches = [self._match_index(v.identity) for v in member.configuration.voters()]
        matches.sort(reverse=True)
        index = matches[member.configuration.majority() - 1]
        if index > member.commit_index and member.log.term_at(index) == self.term:
            member.advance_commit(index)
            for peer in self.peers.values():
                peer.wake.set()

    def dump(self) -> dict:
        """Return the remaining lease and each peer's progress."""
        return {
            "term": self.term,
            "lease_s": round(self._lease_end() - clock.lease_now(), 3),
            "peers": [peer.dump() for peer in self.peers.values()],
        }

    def _match_index(self, identity: str) -> int:
        if identity == self._member.identity:
            return self._durable_index
        peer = self.peers.get(identity)
        return peer.match_index if peer is not None else 0

    def _lease_end(self) -> float:
        """Return when the lease granted by a majority expires, by the lease clock."""
        configuration = self._member.configuration
        acks = [self._acked_at(v.identity) for v in configuration.voters()]
        acks.sort(reverse=True)
        return acks[configuration.majority() - 1] + timing.LEASE_S

    def _acked_at(self, identity: str) -> float:
        if identity == self._member.identity:
            return clock.lease_now()
        peer = self.peers.get(identity)
        return peer.acked_at if peer is not None else float("-inf")

    def _refresh_peers(self) -> None:
        """Start and stop replication tasks to match the configuration."""
        configuration: Configuration = self._member.configuration
        for group_member in configuration.members:
            if group_member.identity in (self._member.identity, *self.peers):
                continue
            peer = Peer(group_member, self._member.log.last.index)
            self.peers[group_member.identity] = peer
            replication = Replication(self._member, self, peer)
            self._replications[group_member.identity] = replication
            replication.start()
        for identity in list(self.peers):
            if configuration.find(identity) is None:
                del self.peers[identity]
                replication = self._replications.pop(identity)
                self._tasks.spawn(replication.stop())

    async def _sync_own_log(self) -> None:
        while self.is_active:
            await self._appended.wait()
            self._appended.clear()
            index = self._member.log.last.index
            await self._member.storage.sync()
            self._durable_index = index
            self.update_commit_index()

    async def _watch_lease(self) -> None:
        """Step down if the lease is not renewed in time or the disk stays full.

        The limits are `ELECTION_TIMEOUT_MAX_S` and `DISK_FULL_STEP_DOWN_S`.
        """
        while self.is_active:
            await asyncio.sleep(timing.HEARTBEAT_PERIOD_S)
            if not self.is_active:
                return
            lost_at = max(self._lease_end(), self._lease_started_at)
            if clock.lease_now() - lost_at > timing.ELECTION_TIMEOUT_MAX_S:
                event("warning", "lease_lost", term=self.term)
                self._member.become_follower(self.term, "")
            elif self._is_disk_full_too_long() and self._has_majority_with_space():
                event("warning", "leader_disk_full", term=self.term)
                self._member.become_follower(self.term, "")

    def _is_disk_full_too_long(self) -> bool:
        """Return whether the disk has been full for `DISK_FULL_STEP_DOWN_S`.

        Peers report a full disk sooner than that.
        """
        if not self._member.storage.is_full:
            self._last_space_at = clock.now()
        return clock.now() - self._last_space_at > timing.DISK_FULL_STEP_DOWN_S

    def _has_majority_with_space(self) -> bool:
        """Return whether the other voters that have disk space form a majority."""
        voters = self._member.configuration.voters()
        peers = (self.peers.get(voter.identity) for voter in voters)
        ready = sum(1 for peer in peers if peer and peer.has_space())
        return ready >= self._member.configuration.majority()
