"""Leader election: election timeouts, pre-vote and votes."""

import asyncio
import bisect
import random
from collections.abc import Callable, Iterator

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.member import Member, Role
from fuchsiacroft.control.consensus.messages import VoteReply, VoteRequest
from fuchsiacroft.control.records import GroupMember, Position
from fuchsiacroft.utils import clock


class Elections:
    """Starts an election on leader timeout, and answers vote requests."""

    def __init__(
        self, member: Member, rng: random.Random, on_elected: Callable[[], None]
    ) -> None:
        self._member = member
        self._random = rng
        self._on_elected = on_elected

    def register(self) -> None:
        """Register the handler for vote requests."""
        self._member.bus.register_handler(VoteRequest, self._on_vote_request)

    async def run(self) -> None:
        """Start an election whenever the election timeout passes without a leader."""
        await self._campaign_after_restart()
        while True:
            await self._wait_for_timeout()
            if self._can_campaign() and await self._pre_vote():
                await self._campaign()

    async def _campaign_after_restart(self) -> None:
        """Campaign before the first timeout if no member can be leader.

        A voter that has just restarted may have granted a lease before, so voters
        normally wait until it has expired. If every member that can lead confirms
        that it does not, nobody holds a lease and there is no need to wait.
        """
        member = self._member
        delays = self._campaign_delays()
        while member.is_fresh and member.has_recent_leader_contact():
            if not self._can_campaign():
                await asyncio.sleep(timing.START_POLL_S)
                continue
            await asyncio.sleep(next(delays) * timing.START_STAGGER_S)
            if not member.is_fresh or not self._can_campaign():
                continue
            term = member.term
            non_leaders = await self._find_non_leaders()
            is_unchanged = member.is_fresh and member.term == term
            if is_unchanged and non_leaders >= member.configurations.possible_leaders:
                await self._campaign(tuple(sorted(non_leaders)))

    def _campaign_delays(self) -> Iterator[int]:
        """Yield delays in stagger slots, so that one voter campaigns at a time."""
        voters = sorted(v.address for v in self._member.configuration.voters())
        yield 1 + bisect.bisect_left(voters, self._member.address)
        while True:
            yield max(len(voters), 1)

    async def _find_non_leaders(self) -> set[str]:
        """Return the voters that confirm that they are not leader, and this member."""
        member = self._member
        term = member.term + 1
        requests = (
            self._request_vote(voter, term, pre=True) for voter in self._other_voters()
        )
        replies = await asyncio.gather(*requests)
        confirmed = {r.source for r in replies if r is not None and _is_not_leader(r)}
        return confirmed | {member.identity}

    async def _wait_for_timeout(self) -> None:
        member = self._member
        low, high = timing.ELECTION_TIMEOUT_MIN_S, timing.ELECTION_TIMEOUT_MAX_S
        timeout = self._random.uniform(low, high)
        started = clock.now()
        while True:
            if member.role is Role.LEADER:
                started = clock.now()
            due = max(started, member.leader_contact_at) + timeout
            if clock.now() >= due:
                return
            await asyncio.sleep(due - clock.now())

    def _can_campaign(self) -> bool:
        member = self._member
        if member.halted is not None or not member.verified:
            return False
        if member.storage.is_full or member.is_installing_snapshot:
            return False
        if not member.meets_min_vote_position(member.log.last):
            return False
        return member.is_voter and member.role is not Role.LEADER

    async def _pre_vote(self) -> bool:
        """Return whether a majority would vote for this member in the next term.

        The term is not changed, so that a member that cannot win does not depose
        the leader.
        """
        member = self._member
        term = member.term
        if not await self._request_votes(term + 1, pre=True):
            return False
        return member.term == term and not member.has_recent_leader_contact()

    async def _campaign(self, unled: tuple[str, ...] = ()) -> None:
        member = self._member
        member.become_candidate()
        term = member.term
        await member.storage.sync()
        if not self._is_candidate(term):
            return
        if await self._request_votes(
            term, pre=False, unled=unled
        ) and self._is_candidate(term):
            member.become_leader()
            self._on_elected()

    def _is_candidate(self, term: int) -> bool:
        return self._member.role is Role.CANDIDATE and self._member.term == term

    async def _request_votes(
        self, term: int, pre: bool, unled: tuple[str, ...] = ()
    ) -> bool:
        """Request votes from all voters; return whether a majority granted them."""
        needed = self._member.configuration.majority() - 1
        pending = {
            asyncio.ensure_future(self._request_vote(voter, term, pre, unled))
            for voter in self._other_voters()
        }
        try:
            while needed > 0 and pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                needed -= sum(_is_granted(task.result(), term) for task in done)
        finally:
            for task in pending:
                task.cancel()
        return needed <= 0

    def _other_voters(self) -> list[GroupMember]:
        """Return the voters other than this member."""
        member = self._member
        voters = member.configuration.voters()
        return [voter for voter in voters if voter.identity != member.identity]

    async def _request_vote(
        self,
        voter: GroupMember,
        term: int,
        pre: bool,
        unled: tuple[str, ...] = (),
    ) -> VoteReply | None:
        """Request a vote from one voter; return its reply, or None without one."""
        member = self._member
        last = member.log.last
        group = member.configuration.group
        msg = VoteRequest(
            group,
            member.identity,
            voter.identity,
            term,
            last.index,
            last.term,
            pre,
            unled,
        )
        result = await member.bus.request(voter.address, msg, timing.VOTE_TIMEOUT_S)
        if result.is_error() or result.ok.source != voter.identity:
            return None
        reply = result.ok
        if not reply.granted:
            if reply.term > member.term:
                member.become_follower(reply.term, "")
        elif not pre:
            member.raise_mark(voter.identity, term, 0)
        return reply

    async def _on_vote_request(self, sender: str, msg: VoteRequest) -> VoteReply | None:
        member = self._member
        if not member.accepts(msg.group, msg.target):
            return None
        is_bound = self._is_bound_by_lease() and not self._is_lease_ruled_out(msg)
        is_up_to_date = self._is_up_to_date(msg)
        if is_bound or not is_up_to_date:
            if not msg.pre and not is_bound and msg.term > member.term:
                member.become_follower(msg.term, "")
            is_fresh = member.is_fresh and is_up_to_date
            return VoteReply(member.identity, member.term, False, is_fresh)
        if msg.pre:
            granted = msg.term > member.term
            term = msg.term if granted else member.term
            return VoteReply(member.identity, term, granted)
        if msg.term > member.term:
            member.become_follower(msg.term, "")
        if msg.term < member.term or member.vote not in ("", msg.source):
            return VoteReply(member.identity, member.term, False)
        member.grant_vote(msg.source)
        await member.storage.sync()
        return VoteReply(member.identity, msg.term, True)

    def _is_bound_by_lease(self) -> bool:
        """Return whether a leader's lease may depend on this member."""
        return (
            self._member.role is Role.LEADER or self._member.has_recent_leader_contact()
        )

    def _is_lease_ruled_out(self, msg: VoteRequest) -> bool:
        """Return whether no lease granted before this member's restart is still valid.

        This is so if every member that can lead has confirmed that it does not.
        """
        member = self._member
        if msg.pre or not msg.unled or not member.is_fresh:
            return False
        return member.configurations.possible_leaders <= set(msg.unled)

    def _is_up_to_date(self, msg: VoteRequest) -> bool:
        last = self._member.log.last
        if not self._member.meets_min_vote_position(
            Position(msg.last_index, msg.last_term)
        ):
            return False
        return (msg.last_term, msg.last_index) >= (last.term, last.index)


def _is_granted(reply: VoteReply | None, term: int) -> bool:
    return reply is not None and reply.granted and reply.term == term


def _is_not_leader(reply: VoteReply) -> bool:
    return reply.granted or reply.is_fresh
