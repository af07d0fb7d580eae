"""Proposals: appended by the leader, forwarded to it by other members."""

import asyncio
import itertools
import secrets
from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.applying import Applying, Outcome
from fuchsiacroft.control.consensus.leadership import Leadership
from fuchsiacroft.control.consensus.member import Member
from fuchsiacroft.control.consensus.messages import (
    ForwardOutcome,
    ForwardReply,
    ForwardRequest,
)
from fuchsiacroft.control.log import Applied, ProposeError
from fuchsiacroft.transport import codec
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.tasks import BackgroundTasks

ORIGIN_ID_BYTES = 8

GetLeadership = Callable[[], Leadership | None]


class Proposals:
    """Appends each command to the log at most once."""

    def __init__(
        self, member: Member, applying: Applying, leadership: GetLeadership
    ) -> None:
        self._member = member
        self._applying = applying
        self._leadership = leadership
        self._origin = secrets.token_hex(ORIGIN_ID_BYTES)
        self._numbers = itertools.count(1)
        self._forwarded: dict[tuple[str, int], asyncio.Future] = {}
        self._evicted_numbers: dict[str, int] = {}
        self._tasks = BackgroundTasks("proposals")

    def register(self) -> None:
        """Register the handler for forwarded proposals."""
        self._member.bus.register_handler(ForwardRequest, self._on_forward)

    async def stop(self) -> None:
        """Stop waiting for the outcomes of forwarded proposals."""
        await self._tasks.cancel()

    async def propose(self, command: msgspec.Struct, timeout: float) -> Outcome:
        """Commit a command through the leader, forwarding it if necessary.

        Retries for `timeout` seconds while no leader accepts it.
        """
        kind, body = codec.pack(command)
        deadline = clock.now() + timeout
        while True:
            outcome = await self._attempt(kind, body, deadline)
            if outcome != Error(ProposeError.NOT_LEADER):
                return outcome
            if clock.now() >= deadline or self._has_no_leader():
                return Error(ProposeError.NO_QUORUM)
            await asyncio.sleep(timing.LEADER_POLL_PERIOD_S)

    def dump(self) -> dict:
        """Return the number of cached forwarded proposals."""
        return {"forwarded": len(self._forwarded)}

    async def _attempt(self, kind: str, body: bytes, deadline: float) -> Outcome:
        leadership = self._leadership()
        if leadership is not None and leadership.is_active:
            fut = self._append(kind, body)
            return await _await_outcome(fut, deadline - clock.now())
        return await self._forward(kind, body, deadline)

    def _append(self, kind: str, body: bytes) -> asyncio.Future:
        """Append as leader; the future yields the outcome or a rejection."""
        leadership = self._leadership()
        if leadership is None or not leadership.holds_lease:
            return _completed_future(Error(ProposeError.NOT_LEADER))
        if self._member.storage.is_full:
            return _completed_future(Error(ProposeError.NO_QUORUM))
        if leadership.uncommitted_entries >= timing.MAX_UNCOMMITTED_ENTRIES:
            return _completed_future(Error(ProposeError.NO_QUORUM))
        return self._applying.expect_outcome(leadership.append(kind, body))

    def _has_no_leader(self) -> bool:
        """Return whether there has been no leader for longer than an election takes."""
        member = self._member
        if member.leader:
            return False
        waited = clock.now() - member.leaderless_since
        return waited > timing.NO_LEADER_TIMEOUT_S

    async def _forward(self, kind: str, body: bytes, deadline: float) -> Outcome:
        member = self._member
        address, term = member.leader_address, member.term
        if address is None or member.leader == member.identity:
            return Error(ProposeError.NOT_LEADER)
        number = next(self._numbers)
        may_be_applied = False
        while clock.now() < deadline and self._is_current_leader(address, term):
            remaining = deadline - clock.now()
            msg = ForwardRequest(term, self._origin, number, kind, body, remaining)
            wait = min(remaining, timing.FORWARD_TIMEOUT_S)
            result = await member.bus.request(address, msg, wait)
            if result.is_ok():
                return _decode_outcome(result.ok)
            may_be_applied = True  # The leader may have appended it without a reply.
        return Error(
            ProposeError.UNKNOWN if may_be_applied else ProposeError.NOT_LEADER
        )

    def _is_current_leader(self, address: str, term: int) -> bool:
        return self._member.leader_address == address and self._member.term == term

    async def _on_forward(self, sender: str, msg: ForwardRequest) -> ForwardReply:
        key = (msg.origin, msg.number)
        fut = self._forwarded.get(key)
        if fut is None:
            if msg.number <= self._evicted_numbers.get(msg.origin, 0):
                return ForwardReply(ForwardOutcome.UNKNOWN)
            fut = self._accept_forwarded(msg)
            self._cache_outcome(key, fut)
        outcome = await _await_outcome(fut, msg.timeout)
        return _encode_outcome(outcome)

    def _accept_forwarded(self, msg: ForwardRequest) -> asyncio.Future:
        """Append a forwarded proposal if this process leads its term.

        If this process never led the term, an earlier process on this member may
        have appended the proposal, so that its outcome is unknown.
        """
        leadership = self._leadership()
        if leadership is not None and leadership.term == msg.term:
            return self._append(msg.kind, msg.body)
        led = msg.term in self._member.terms_led
        reason = ProposeError.NOT_LEADER if led else ProposeError.UNKNOWN
        return _completed_future(Error(reason))

    def _cache_outcome(self, key: tuple[str, int], fut: asyncio.Future) -> None:
        """Cache an outcome, including a rejection, for resent proposals."""
        self._forwarded[key] = fut
        while len(self._forwarded) > timing.MAX_CACHED_PROPOSALS:
            origin, number = next(iter(self._forwarded))
            del self._forwarded[(origin, number)]
            self._evicted_numbers[origin] = max(
                self._evicted_numbers.get(origin, 0), number
            )


def _completed_future(outcome: Outcome) -> asyncio.Future:
    fut = asyncio.get_running_loop().create_future()
    fut.set_result(outcome)
    return fut


async def _await_outcome(fut: asyncio.Future, timeout: float) -> Outcome:
    if fut.done():
        return fut.result()
    try:
        async with asyncio.timeout(timeout):
            return await asyncio.shield(fut)
    except TimeoutError:
        return Error(ProposeError.UNKNOWN)


def _encode_outcome(outcome: Outcome) -> ForwardReply:
    match outcome:
        case Result(tag="ok", ok=applied):
            if applied.result is None:
                return ForwardReply(ForwardOutcome.APPLIED, applied.index)
            kind, body = codec.pack(applied.result)
            return ForwardReply(ForwardOutcome.APPLIED, applied.index, kind, body)
        case Result(error=reason):
            return ForwardReply(ForwardOutcome(reason.value))


def _decode_outcome(reply: ForwardReply) -> Outcome:
    if reply.outcome is not ForwardOutcome.APPLIED:
        return Error(ProposeError(reply.outcome.value))
    if not reply.kind:
        return Ok(Applied(reply.index, None))
    match codec.unpack(reply.kind, reply.body):
        case Result(tag="ok", ok=result):
            return Ok(Applied(reply.index, result))
    return Error(ProposeError.UNKNOWN)
