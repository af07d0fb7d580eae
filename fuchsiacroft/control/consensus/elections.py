"""Elections: pre-vote, votes, and when a member stands as a candidate."""

import asyncio
import random
from collections.abc import Callable

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.member import Member, Role
from fuchsiacroft.control.consensus.messages import VoteReply, VoteRequest
from fuchsiacroft.control.records import GroupMember, Position
from fuchsiacroft.utils import clock


class Elections:
    """Stands when no leader is heard, and answers other candidates."""

    def __init__(
        self, member: Member, rng: random.Random, on_elected: Callable[[], None]
    ) -> None:
        self._member = member
        self._random = rng
        self._on_elected = on_elected

    def register(self) -> None:
        """Register the handler for vote requests."""
        self._member.bus.handle(VoteRequest, self._on_vote)

    async def run(self) -> None:
        """Stand for election whenever no leader is heard for a timeout."""
        while True:
            await self._wait_for_timeout()
            if self._may_stand() and await self._poll():
                await self._campaign()

    async def _wait_for_timeout(self) -> None:
        member = self._member
        low, high = timing.ELECTION_TIMEOUT_MIN_S, timing.ELECTION_TIMEOUT_MAX_S
        timeout = self._random.uniform(low, high)
        started = clock.now()
        while True:
            if member.role is Role.LEADER:
                started = clock.now()
            due = max(started, member.heard_at) + timeout
            if clock.now() >= due:
                return
            await asyncio.sleep(due - clock.now())

    def _may_stand(self) -> bool:
        member = self._member
        if member.halted is not None or not member.verified:
            return False
        if member.storage.is_full or member.is_installing:
            return False
        if not member.reaches_floor(member.log.last):
            return False
        return member.is_voter and member.role is not Role.LEADER

    async def _poll(self) -> bool:
        """Ask whether a majority would vote, without entering a new term."""
        member = self._member
        term = member.term
        if not await self._ask(term + 1, pre=True):
            return False
        return member.term == term and not member.hears_leader()

    async def _campaign(self) -> None:
        member = self._member
        member.stand()
        term = member.term
        await member.storage.sync()
        if not self._is_candidate(term):
            return
        if await self._ask(term, pre=False) and self._is_candidate(term):
            member.lead()
            self._on_elected()

    def _is_candidate(self, term: int) -> bool:
        return self._member.role is Role.CANDIDATE and self._member.term == term

    async def _ask(self, term: int, pre: bool) -> bool:
        """Ask every voter and tell whether a majority granted."""
        member = self._member
        configuration = member.configuration
        needed = configuration.majority() - 1
        others = [v for v in configuration.voters() if v.identity != member.identity]
        pending = {
            asyncio.ensure_future(self._request(voter, term, pre)) for voter in others
        }
        try:
            while needed > 0 and pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                needed -= sum(task.result() for task in done)
        finally:
            for task in pending:
                task.cancel()
        return needed <= 0

    async def _request(self, voter: GroupMember, term: int, pre: bool) -> int:
        member = self._member
        last = member.log.last
        group = member.configuration.group
        msg = VoteRequest(
            group, member.identity, voter.identity, term, last.index, last.term, pre
        )
        answer = await member.bus.request(voter.address, msg, timing.VOTE_TIMEOUT_S)
        if answer.is_error() or answer.ok.source != voter.identity:
            return 0
        reply = answer.ok
        if not reply.granted:
            if reply.term > member.term:
                member.follow(reply.term, "")
            return 0
        if not pre:
            member.note_mark(voter.identity, term, 0)
        return 1 if reply.term == term else 0

    async def _on_vote(self, sender: str, msg: VoteRequest) -> VoteReply | None:
        member = self._member
        if not member.accepts(msg.group, msg.target):
            return None
        if self._is_loyal() or not self._is_up_to_date(msg):
            if not msg.pre and not self._is_loyal() and msg.term > member.term:
                member.follow(msg.term, "")
            return VoteReply(member.identity, member.term, False)
        if msg.pre:
            granted = msg.term > member.term
            term = msg.term if granted else member.term
            return VoteReply(member.identity, term, granted)
        if msg.term > member.term:
            member.follow(msg.term, "")
        if msg.term < member.term or member.vote not in ("", msg.source):
            return VoteReply(member.identity, member.term, False)
        member.grant_vote(msg.source)
        await member.storage.sync()
        return VoteReply(member.identity, msg.term, True)

    def _is_loyal(self) -> bool:
        """Tell whether a leader's lease may rest on this member."""
        return self._member.role is Role.LEADER or self._member.hears_leader()

    def _is_up_to_date(self, msg: VoteRequest) -> bool:
        last = self._member.log.last
        if not self._member.reaches_floor(Position(msg.last_index, msg.last_term)):
            return False
        return (msg.last_term, msg.last_index) >= (last.term, last.index)
