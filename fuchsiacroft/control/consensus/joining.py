"""Finding the group after a start: forming it, returning to it, joining it.

A started member tells the others what its disk holds and takes no part until
a majority has answered. An empty disk forms a group only if every member named
in the settings answers that its disk is empty too.
"""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.member import Member, encode_configuration
from fuchsiacroft.control.consensus.messages import Hello, HelloReply, HelloStatus
from fuchsiacroft.control.records import Configuration, GroupMember, Position
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.logs import event

GROUP_BYTES = 4
FIRST_TERM = 1

ACCEPTED = (HelloStatus.WELCOME, HelloStatus.FRESH)
REFUSED = (HelloStatus.STALE, HelloStatus.REMOVED)


@dataclass(frozen=True, slots=True)
class Joiner:
    """A member with an empty disk that asks to join."""

    identity: str
    node: str
    address: str
    seen_at: float


class Joining:
    """Says hello until this member belongs to its group."""

    def __init__(
        self,
        member: Member,
        addresses: tuple[str, ...],
        restart: Callable[[], Awaitable[None]],
        on_verified: Callable[[], None],
    ) -> None:
        self._member = member
        self._addresses = addresses
        self._restart = restart
        self._on_verified = on_verified
        self.joiners: dict[str, Joiner] = {}

    def register(self) -> None:
        """Register the handler for hellos."""
        self._member.bus.handle(Hello, self._on_hello)

    async def run(self) -> None:
        """Say hello until this member is verified and a member."""
        member = self._member
        while member.halted is None and not self._is_settled():
            promised = self._promised()
            replies = await self._ask_all()
            if promised == self._promised():
                await self._judge(replies)
            period = timing.HELLO_PERIOD_S
            if member.verified:
                period = timing.HELLO_IDLE_PERIOD_S
            await asyncio.sleep(period)

    def _promised(self) -> tuple[int, str, Position]:
        """Return what a hello says; answers to an earlier one are void."""
        member = self._member
        return member.term, member.vote, member.log.last

    def _is_settled(self) -> bool:
        member = self._member
        if not member.verified:
            return False
        return member.configuration.find(member.identity) is not None

    async def _ask_all(self) -> list[HelloReply]:
        member = self._member
        known = {found.address for found in member.configuration.members}
        others = sorted((known | set(self._addresses)) - {member.address})
        answers = await asyncio.gather(*(self._ask(address) for address in others))
        return [reply for reply in answers if reply is not None]

    async def _ask(self, address: str) -> HelloReply | None:
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
        answer = await member.bus.request(address, msg, timing.VOTE_TIMEOUT_S)
        return answer.ok if answer.is_ok() else None

    async def _judge(self, replies: list[HelloReply]) -> None:
        statuses = [reply.status for reply in replies]
        if HelloStatus.OTHER_GROUP in statuses:
            self._member.halt("the other members belong to another group")
        elif any(status in REFUSED for status in statuses):
            await self._start_afresh()
        elif self._member.is_formed:
            self._return(replies)
        else:
            self._join(replies)

    async def _start_afresh(self) -> None:
        """Give the disk up, whose promises are not all there."""
        member = self._member
        event("error", "disk_outdated", identity=member.identity, term=member.term)
        if member.verified:
            member.halt("the group no longer knows this disk; restart to rejoin")
            return
        await self._restart()

    def _return(self, replies: list[HelloReply]) -> None:
        """Return to the group once a majority of its voters accepts this disk.

        The newest configuration that any of them knows counts: this disk's
        own may name members that have been replaced since.
        """
        configuration = self._newest(replies)
        welcome = {r.identity for r in replies if r.status in ACCEPTED}
        voters = {voter.identity for voter in configuration.voters()}
        needed = configuration.majority() - (self._member.identity in voters)
        if len(welcome & voters) >= needed:
            self._verify()

    def _newest(self, replies: list[HelloReply]) -> Configuration:
        index, newest = self._member.configurations.index, self._member.configuration
        for reply in replies:
            if reply.configuration_index > index:
                index, newest = reply.configuration_index, reply.configuration
        return newest

    def _join(self, replies: list[HelloReply]) -> None:
        others = set(self._addresses) - {self._member.address}
        fresh = [r for r in replies if r.status is HelloStatus.FRESH]
        if len(replies) >= len(others) // 2:
            self._verify()
        if len(fresh) == len(replies) == len(others) and self._is_first():
            self._form(fresh)

    def _is_first(self) -> bool:
        return self._member.address == min((*self._addresses, self._member.address))

    def _form(self, others: list[HelloReply]) -> None:
        """Write the first configuration as the first entry of the log."""
        member = self._member
        own = GroupMember(member.identity, member.node, member.address, True)
        members = [own]
        for reply in others:
            found = GroupMember(reply.identity, reply.node, reply.address, True)
            members.append(found)
        members.sort(key=lambda found: found.address)
        group = secrets.token_hex(GROUP_BYTES)
        event("info", "group_formed", group=group, members=len(members))
        member.follow(FIRST_TERM, "")
        member.append_new(*encode_configuration(Configuration(group, tuple(members))))

    def _verify(self) -> None:
        if not self._member.verified:
            self._member.verified = True
            self._on_verified()

    async def _on_hello(self, sender: str, msg: Hello) -> HelloReply | None:
        member = self._member
        if member.halted is not None:
            return None
        status = self._status(msg)
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
        )

    def _status(self, msg: Hello) -> HelloStatus:
        member = self._member
        if not member.is_formed:
            return HelloStatus.FRESH
        if msg.group and msg.group != member.configuration.group:
            return HelloStatus.OTHER_GROUP
        if self._is_stale(msg):
            return HelloStatus.STALE
        if member.configuration.find(msg.identity) is not None:
            return HelloStatus.WELCOME
        index, committed = member.configurations.at(member.commit)
        known = msg.group and msg.configuration_index < index
        if known and committed.find(msg.identity) is None:
            return HelloStatus.REMOVED
        return HelloStatus.UNKNOWN

    def _is_stale(self, msg: Hello) -> bool:
        """Tell whether the asker promised more than its disk holds."""
        mark = self._member.marks.get(msg.identity)
        if mark is None:
            return False
        if msg.term != mark.term:
            return msg.term < mark.term
        return msg.last_index < mark.index
