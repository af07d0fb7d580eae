"""Asks every entry for the permits of backend servers that change owner."""

import asyncio
from dataclasses import dataclass

from expression import Result

from fuchsiacroft.membership.permits import (
    HeldPermit,
    HeldPermitsAnswer,
    HeldPermitsRequest,
)
from fuchsiacroft.membership.service import Membership
from fuchsiacroft.membership.table import MemberRecord
from fuchsiacroft.membership.wire import Status
from fuchsiacroft.transport.bus import Bus

ANSWER_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class Heard:
    """The permits that all others hold, if they agree and no lease must end.

    `agreed` is true if every live entry showed our view, `reached` names those
    that answered, `wait_s` is how long a lost entry may hold its lease.
    """

    permits: tuple[HeldPermit, ...] = ()
    wait_s: float = 0.0
    agreed: bool = False
    reached: frozenset[str] = frozenset()


class TakeoverInquiry:
    """Asks live and leaving entries, and waits out the lost ones.

    The answers count only if every live entry shows our view, so that none of
    them can believe in another owner, and if our view stays the same.
    """

    def __init__(self, bus: Bus, membership: Membership) -> None:
        self._bus = bus
        self._membership = membership
        self._silent: set[str] = set()

    async def ask(self, backend_servers: tuple[str, ...]) -> Heard:
        """Return what all entries say about backend servers that we own now."""
        view = self._membership.view
        generation = self._membership.generation
        request = HeldPermitsRequest(
            self._membership.domain,
            self._membership.local_entry.node,
            view,
            backend_servers,
        )
        live = [peer for peer in self._membership.alive() if not self._is_me(peer.node)]
        answers, parting = await asyncio.gather(
            asyncio.gather(*(self._request(peer.peers, request) for peer in live)),
            self._ask_leaving(request),
        )
        reached = frozenset(
            peer.node
            for peer, answer in zip(live, answers, strict=True)
            if answer is not None
        )
        agreed = all(answer is not None and answer.view == view for answer in answers)
        if not agreed or self._membership.generation != generation:
            return Heard(reached=reached)
        wait = max([self.wait_for_lost(), parting.wait_s, *(a.wait_s for a in answers)])
        permits = [permit for answer in answers for permit in answer.permits]
        return Heard(parting.permits + tuple(permits), wait, True, reached)

    def _is_me(self, node: str) -> bool:
        return node == self._membership.local_entry.node

    def wait_for_lost(self) -> float:
        """Return how long lost entries may hold their leases, in seconds."""
        lost = [
            self._membership.lease_left_of(record)
            for record in self._membership.gone()
            if record.update.status is Status.DEAD
        ]
        return max(lost, default=0.0)

    async def _ask_leaving(self, request: HeldPermitsRequest) -> Heard:
        leaving = [
            record
            for record in self._membership.gone()
            if record.update.status is Status.LEFT
            and record.update.boot_id not in self._silent
        ]
        self._silent &= {rec.update.boot_id for rec in self._membership.gone()}
        heard = await asyncio.gather(
            *(self._ask_one_leaving(record, request) for record in leaving)
        )
        permits = [permit for one in heard for permit in one.permits]
        return Heard(tuple(permits), max((one.wait_s for one in heard), default=0.0))

    async def _ask_one_leaving(
        self, record: MemberRecord, request: HeldPermitsRequest
    ) -> Heard:
        answer = await self._request(record.update.peers, request)
        if answer is not None:
            return Heard(answer.permits)
        wait = self._membership.lease_left_of(record)
        if wait <= 0:
            self._silent.add(record.update.boot_id)
        return Heard(wait_s=wait)

    async def _request(
        self, peer: str, request: HeldPermitsRequest
    ) -> HeldPermitsAnswer | None:
        match await self._bus.request(peer, request, ANSWER_TIMEOUT_S):
            case Result(tag="ok", ok=HeldPermitsAnswer() as answer):
                return answer
        return None
