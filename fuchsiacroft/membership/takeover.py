"""Queries all entries for the permits of backend servers that change owner."""

import asyncio
from dataclasses import dataclass

from expression import Result

from fuchsiacroft.membership.limit_reports import LimitReport
from fuchsiacroft.membership.permits import (
    HeldPermit,
    HeldPermitsReply,
    HeldPermitsRequest,
)
from fuchsiacroft.membership.service import Membership
from fuchsiacroft.membership.table import MemberRecord
from fuchsiacroft.membership.wire import Status
from fuchsiacroft.transport.bus import Bus

REPLY_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class InquiryResult:
    """The permits that other entries hold; complete only if `views_match`.

    `views_match` is true if every live entry replied with this entry's view,
    `reached` holds the nodes that replied, and `wait_s` is how long a lost
    entry may still hold its lease. `limits` are what all of them know of the servers'
    limits.
    """

    permits: tuple[HeldPermit, ...] = ()
    wait_s: float = 0.0
    views_match: bool = False
    reached: frozenset[str] = frozenset()
    limits: tuple[LimitReport, ...] = ()


class TakeoverInquiry:
    """Queries live and leaving entries; lost ones are covered by a wait time.

    The replies are valid only if every live entry has the same view, so that
    none of them can assume another owner, and if this entry's view does not
    change in the meantime.
    """

    def __init__(self, bus: Bus, membership: Membership) -> None:
        self._bus = bus
        self._membership = membership
        self._unreachable: set[str] = set()

    async def query(self, backend_servers: tuple[str, ...]) -> InquiryResult:
        """Return the permits of all entries for backend servers owned here."""
        view = self._membership.view_hash
        generation = self._membership.generation
        request = HeldPermitsRequest(
            self._membership.domain,
            self._membership.local_entry.node,
            view,
            backend_servers,
        )
        live = [
            peer
            for peer in self._membership.alive()
            if not self._is_local_entry(peer.node)
        ]
        replies, from_leaving = await asyncio.gather(
            asyncio.gather(*(self._request(peer.peers, request) for peer in live)),
            self._query_leaving(request),
        )
        reached = frozenset(
            peer.node
            for peer, reply in zip(live, replies, strict=True)
            if reply is not None
        )
        views_match = all(reply is not None and reply.view == view for reply in replies)
        if not views_match or self._membership.generation != generation:
            return InquiryResult(reached=reached)
        wait = max(
            [
                self.lost_lease_wait_s(),
                from_leaving.wait_s,
                *(reply.wait_s for reply in replies),
            ]
        )
        permits = [permit for reply in replies for permit in reply.permits]
        limits = [report for reply in replies for report in reply.limits]
        return InquiryResult(
            from_leaving.permits + tuple(permits),
            wait,
            True,
            reached,
            from_leaving.limits + tuple(limits),
        )

    def _is_local_entry(self, node: str) -> bool:
        return node == self._membership.local_entry.node

    def lost_lease_wait_s(self) -> float:
        """Return how long lost entries may still hold their leases, in seconds."""
        remaining = [
            self._membership.remaining_lease_s(record)
            for record in self._membership.departed()
            if record.update.status is Status.DEAD
        ]
        return max(remaining, default=0.0)

    async def _query_leaving(self, request: HeldPermitsRequest) -> InquiryResult:
        leaving = [
            record
            for record in self._membership.departed()
            if record.update.status is Status.LEFT
            and record.update.boot_id not in self._unreachable
        ]
        self._unreachable &= {
            record.update.boot_id for record in self._membership.departed()
        }
        results = await asyncio.gather(
            *(self._query_leaving_entry(record, request) for record in leaving)
        )
        permits = [permit for result in results for permit in result.permits]
        limits = [report for result in results for report in result.limits]
        wait_s = max((result.wait_s for result in results), default=0.0)
        return InquiryResult(tuple(permits), wait_s, limits=tuple(limits))

    async def _query_leaving_entry(
        self, record: MemberRecord, request: HeldPermitsRequest
    ) -> InquiryResult:
        reply = await self._request(record.update.peers, request)
        if reply is not None:
            return InquiryResult(reply.permits, limits=reply.limits)
        wait = self._membership.remaining_lease_s(record)
        if wait <= 0:
            self._unreachable.add(record.update.boot_id)
        return InquiryResult(wait_s=wait)

    async def _request(
        self, peer: str, request: HeldPermitsRequest
    ) -> HeldPermitsReply | None:
        match await self._bus.request(peer, request, REPLY_TIMEOUT_S):
            case Result(tag="ok", ok=HeldPermitsReply() as reply):
                return reply
        return None
