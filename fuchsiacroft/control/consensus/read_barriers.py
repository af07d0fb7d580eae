"""Read barriers, which make reads of the local state linearizable."""

import asyncio

from expression import Error, Ok, Result

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.applying import Applying
from fuchsiacroft.control.consensus.member import Member
from fuchsiacroft.control.consensus.messages import BarrierReply, BarrierRequest
from fuchsiacroft.control.consensus.proposals import GetLeadership
from fuchsiacroft.control.log import ProposeError


class ReadBarriers:
    """Waits until the commit index of a leader with a valid lease is applied."""

    def __init__(
        self, member: Member, applying: Applying, leadership: GetLeadership
    ) -> None:
        self._member = member
        self._applying = applying
        self._leadership = leadership

    def register(self) -> None:
        """Register the handler for barrier requests of other members."""
        self._member.bus.register_handler(BarrierRequest, self._on_barrier)

    async def wait_for_barrier(self, timeout: float) -> Result[int, ProposeError]:
        """Return an applied index that covers all commits made before the call."""
        try:
            async with asyncio.timeout(timeout):
                index = await self._leader_index()
                await self._applying.wait_applied(index)
                return Ok(index)
        except TimeoutError:
            return Error(ProposeError.NO_QUORUM)

    async def _leader_index(self) -> int:
        while True:
            index = self._index_if_leader()
            if index is None:
                index = await self._request_leader_index()
            if index is not None:
                return index
            await asyncio.sleep(timing.LEADER_POLL_PERIOD_S)

    def _index_if_leader(self) -> int | None:
        leadership = self._leadership()
        if leadership is None or not leadership.may_serve:
            return None
        return self._member.commit_index

    async def _request_leader_index(self) -> int | None:
        member = self._member
        address = member.leader_address
        if address is None or member.leader == member.identity:
            return None
        msg = BarrierRequest(member.term)
        result = await member.bus.request(address, msg, timing.BARRIER_TIMEOUT_S)
        if result.is_error() or not result.ok.granted:
            return None
        return result.ok.index

    def _on_barrier(self, sender: str, msg: BarrierRequest) -> BarrierReply:
        index = self._index_if_leader()
        if index is None:
            return BarrierReply(False, 0)
        return BarrierReply(True, index)
