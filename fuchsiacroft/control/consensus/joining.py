"""Group discovery after a start: forming, rejoining or joining a group.

A member that has started reports the state of its disk to the others and does
not take part until a majority has replied. A member with an empty disk forms a
group only if every member listed in the settings replies that its disk is
empty too.
"""

import asyncio
import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.member import Member, Role, encode_configuration
from fuchsiacroft.control.consensus.messages import Hello, HelloReply, HelloStatus
from fuchsiacroft.control.records import Configuration, GroupMember, Position
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.logs import event

GROUP_ID_BYTES = 4
FIRST_TERM = 1

ACCEPTING_STATUSES = (HelloStatus.WELCOME, HelloStatus.FRESH)
REJECTING_STATUSES = (HelloStatus.STALE, HelloStatus.REMOVED)


@dataclass(frozen=True, slots=True)
class Joiner:
    """A member with an empty disk that has requested to join the group."""

    identity: str
    node: str
    address: str
    last_hello_at: float


class Contacts:
    """The addresses at which the other members of a process's group may be.

    `listed` are those in the settings at the start, which may form a group. `known` are
    all that settings and members have named while the process runs. None is removed,
    since a member that was replaced may need any of them to find its group.
    """

    def __init__(self, listed: tuple[str, ...]) -> None:
        self.listed = listed
        self.known = set(listed)

    def add(self, addresses: Iterable[str]) -> None:
        """Add addresses that settings or members name."""
        self.known.update(addresses)


@dataclass(frozen=True, slots=True)
class JoinPolicy:
    """Whether empty disks may form a group, and who belongs to it.

    With `wanted_voters` any member may join, and that many vote; otherwise the
    settings list the members.
    """

    may_form_group: bool = True
    wanted_voters: int | None = None

    @property
    def rejoins_when_replaced(self) -> bool:
        """Return whether a replaced member joins again under a new identity.

        A member that an operator removed from the settings halts instead.
        """
        return self.wanted_voters is not None


class Joining:
    """Sends hellos until this member belongs to its group."""

    def __init__(
        self,
        member: Member,
        contacts: Contacts,
        on_verified: Callable[[], None],
        on_identity_lost: Callable[[], None],
        policy: JoinPolicy,
    ) -> None:
        self._policy = policy
        self._member = member
        self._contacts = contacts
        self._on_verified = on_verified
        self._on_identity_lost = on_identity_lost
        self.joiners: dict[str, Joiner] = {}

    def register(self) -> None:
        """Register the handler for hellos."""
        self._member.bus.register_handler(Hello, self._on_hello)

    async def run(self) -> None:
        """Send hellos until this member is verified and in the configuration.

        After a long time without a leader it sends hellos again, since the group
        may have replaced this member.
        """
        member = self._member
        while member.halted is None:
            if self._is_member() and not self._has_lost_leader():
                await asyncio.sleep(timing.HELLO_IDLE_PERIOD_S)
                continue
            await self._exchange_hellos()
            await self._update_disk_trust()
            period = timing.HELLO_PERIOD_S
            if member.verified:
                period = timing.HELLO_IDLE_PERIOD_S
            await asyncio.sleep(period)

    def _hello_state(self) -> tuple[int, str, Position]:
        """Return the state sent in a hello; replies to an older state are ignored."""
        member = self._member
        return member.term, member.vote, member.log.last

    def _is_member(self) -> bool:
        member = self._member
        if not member.verified or not member.storage.is_same_boot:
            return False
        return member.configuration.find(member.identity) is not None

    def _has_lost_leader(self) -> bool:
        """Return whether there has been no leader for longer than an election takes."""
        member = self._member
        if member.role is Role.LEADER:
            return False
        return clock.now() - member.leader_contact_at > timing.NO_LEADER_TIMEOUT_S

    async def _exchange_hellos(self) -> None:
        """Send hellos, and handle the replies so far in short intervals.

        Members that are down would otherwise delay a start by the whole timeout.
        """
        sent_state = self._hello_state()
        pending = {
            asyncio.ensure_future(self._send_hello(address))
            for address in self._other_addresses()
        }
        replies: list[HelloReply] = []
        try:
            while True:
                if pending:
                    done, pending = await asyncio.wait(
                        pending, timeout=timing.HELLO_INTERVAL_S
                    )
                    replies += [reply for task in done if (reply := task.result())]
                if sent_state == self._hello_state():
                    self._handle_replies(replies)
                if not pending or self._member.halted is not None:
                    return
        finally:
            for task in pending:
                task.cancel()

    def _other_addresses(self) -> list[str]:
        """Return the addresses of all other members that are known."""
        member = self._member
        addresses = {
            group_member.address for group_member in member.configuration.members
        }
        return sorted((addresses | self._contacts.known) - {member.address})

    async def _send_hello(self, address: str) -> HelloReply | None:
        member = self._member
        last = member.log.last
        msg = Hello(
            member.configuration.group,
            member.identity,
            member.node,
            member.address,
            member.term,
            member.vote,
            last.index,
            member.configurations.index,
        )
        result = await member.bus.request(address, msg, timing.VOTE_TIMEOUT_S)
        return result.ok if result.is_ok() else None

    def _handle_replies(self, replies: list[HelloReply]) -> None:
        for reply in replies:
            self._contacts.add(m.address for m in reply.configuration.members)
        statuses = [reply.status for reply in replies]
        if HelloStatus.OTHER_GROUP in statuses:
            self._member.halt("the other members belong to another group")
        elif any(status in REJECTING_STATUSES for status in statuses):
            self._discard_identity()
        elif self._member.is_formed:
            self._rejoin(replies)
        else:
            self._join(replies)

    def _discard_identity(self) -> None:
        """Give up the identity of a disk that is stale or removed from the group.

        From then on this member takes part in nothing under its old identity.
        """
        member = self._member
        event("error", "disk_outdated", identity=member.identity, term=member.term)
        if member.verified and not self._policy.rejoins_when_replaced:
            member.halt("the group no longer knows this disk; restart to rejoin")
            return
        member.retire("the group no longer knows this disk; joining as a new member")
        self._on_identity_lost()

    def _rejoin(self, replies: list[HelloReply]) -> None:
        """Rejoin the group once enough of its voters accept this disk.

        Uses the newest configuration known to any of them, since this disk's own
        may contain members that have been replaced.
        """
        member = self._member
        configuration = self._newest_configuration(replies)
        voters = configuration.voters()
        others = [v for v in voters if v.identity != member.identity]
        accepted = {r.identity for r in replies if r.status in ACCEPTING_STATUSES}
        accepting = [v for v in others if v.identity in accepted]
        if len(accepting) < configuration.majority() - (len(voters) - len(others)):
            return
        reported = len(accepting) + len(self._permanently_lost(others, replies))
        has_quorum = reported >= _intersection_quorum(len(voters), len(others))
        if member.storage.is_same_boot or has_quorum:
            self._verify(replies)

    def _permanently_lost(
        self, others: list[GroupMember], replies: list[HelloReply]
    ) -> list[GroupMember]:
        """Return the voters whose disk is permanently lost.

        Another disk replies at their address, or the settings no longer list it.
        They can never report what this disk has acknowledged.
        """
        identities = {reply.address: reply.identity for reply in replies}
        return [
            voter
            for voter in others
            if voter.address not in self._contacts.listed
            or identities.get(voter.address, voter.identity) != voter.identity
        ]

    def _newest_configuration(self, replies: list[HelloReply]) -> Configuration:
        index, newest = self._member.configurations.index, self._member.configuration
        for reply in replies:
            if reply.configuration_index > index:
                index, newest = reply.configuration_index, reply.configuration
        return newest

    def _join(self, replies: list[HelloReply]) -> None:
        others = set(self._contacts.listed) - {self._member.address}
        fresh = [r for r in replies if r.status is HelloStatus.FRESH]
        listed = [r for r in fresh if r.address in others]
        needed = (len(others) + 1) // 2
        if not self._member.storage.is_same_boot:
            needed = _intersection_quorum(len(others) + 1, len(others))
        if len(replies) >= needed:
            self._verify(replies)
        is_new = len(fresh) == len(replies) and len(listed) == len(others)
        if self._policy.may_form_group and is_new and self._has_lowest_address():
            self._form_group(listed)

    def _has_lowest_address(self) -> bool:
        return self._member.address == min(
            (*self._contacts.listed, self._member.address)
        )

    def _form_group(self, others: list[HelloReply]) -> None:
        """Append the initial configuration as the first log entry."""
        member = self._member
        own = GroupMember(member.identity, member.node, member.address, True)
        members = [own]
        for reply in others:
            group_member = GroupMember(reply.identity, reply.node, reply.address, True)
            members.append(group_member)
        members.sort(key=lambda group_member: group_member.address)
        group = secrets.token_hex(GROUP_ID_BYTES)
        event("info", "group_formed", group=group, members=len(members))
        member.become_follower(FIRST_TERM, "")
        member.append_new(*encode_configuration(Configuration(group, tuple(members))))

    def _verify(self, replies: list[HelloReply]) -> None:
        """Start taking part; a disk that may be outdated gets a minimum vote position.

        The minimum is recomputed in each round, as the disk that determined it may
        have been lost since.
        """
        member = self._member
        if not member.storage.is_same_boot and replies:
            last = max((r.last for r in replies), key=lambda p: (p.term, p.index))
            member.min_vote_position = last
        if member.verified:
            return
        if not member.storage.is_same_boot and replies:
            member.forfeit_votes(max(reply.term for reply in replies))
        member.verified = True
        self._on_verified()

    async def _update_disk_trust(self) -> None:
        """Trust the disk again once it holds all that it may have acknowledged."""
        member = self._member
        if member.storage.is_same_boot or not member.verified:
            return
        if member.meets_min_vote_position(member.log.last):
            await member.storage.sync()
            await member.storage.mark_trusted()

    def _on_hello(self, sender: str, msg: Hello) -> HelloReply | None:
        member = self._member
        if member.halted is not None:
            return None
        status = self._hello_status(msg)
        if status is HelloStatus.UNKNOWN and not msg.group:
            joiner = Joiner(msg.identity, msg.node, msg.address, clock.now())
            self.joiners[msg.address] = joiner
        return HelloReply(
            member.identity,
            member.node,
            member.address,
            status,
            member.configurations.index,
            member.configuration,
            member.term,
            member.log.last,
        )

    def _hello_status(self, msg: Hello) -> HelloStatus:
        member = self._member
        if not member.is_formed:
            return HelloStatus.FRESH
        if msg.group and msg.group != member.configuration.group:
            return HelloStatus.OTHER_GROUP
        if self._is_stale(msg):
            return HelloStatus.STALE
        if member.configuration.find(msg.identity) is not None:
            return HelloStatus.WELCOME
        index, committed = member.configurations.at_index(member.commit_index)
        is_outdated = msg.group and msg.configuration_index < index
        if is_outdated and committed.find(msg.identity) is None:
            return HelloStatus.REMOVED
        return HelloStatus.UNKNOWN

    def _is_stale(self, msg: Hello) -> bool:
        """Return whether the sender has acknowledged more than its disk holds."""
        mark = self._member.marks.get(msg.identity)
        if mark is None:
            return False
        if msg.term != mark.term:
            return msg.term < mark.term
        return msg.last_index < mark.index


def _intersection_quorum(voters: int, others: int) -> int:
    """Return how many other voters are needed to intersect every majority.

    A disk that may be outdated must get a reply from one member of each majority
    that it was part of.
    """
    majority = voters // 2 + 1
    return min(voters - majority + 1, others)
