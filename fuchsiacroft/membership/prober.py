"""Failure detection by random direct and indirect probes (SWIM)."""

import asyncio
import random
from collections import Counter

from expression import Result

from fuchsiacroft.membership.health import LocalHealth
from fuchsiacroft.membership.view import LocalView
from fuchsiacroft.membership.wire import Ack, IndirectAck, IndirectPing, Ping, Update
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils import clock

PROBE_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.3
INDIRECT_TIMEOUT_S = 0.6
SUSPECT_PROBE_PERIOD_S = 0.5
LEASE_PROBE_PERIOD_S = 0.5
LEASE_RENEWAL_THRESHOLD_S = 3.0
INDIRECT_PROBE_COUNT = 3


class Prober:
    """Probes one entry per period, in an order that is shuffled each round."""

    def __init__(self, bus: Bus, view: LocalView, rng: random.Random) -> None:
        self.health = LocalHealth()
        self.counts: Counter[str] = Counter()
        self._bus = bus
        self._view = view
        self._rng = rng
        self._probe_order: list[str] = []

    async def run(self) -> None:
        """Probe until cancelled."""
        await asyncio.sleep(self._rng.uniform(0, PROBE_PERIOD_S))
        while True:
            pause = asyncio.create_task(asyncio.sleep(self._period()))
            target = self._next_target()
            if target is not None:
                await self._probe(target)
            await pause

    async def ping(self, target: Update, timeout: float) -> Ack | None:
        """Probe an entry directly; return the ack if it is from that entry."""
        self.counts["pings"] += 1
        view = self._view
        ping = Ping(
            view.domain, view.local_claim, view.view_hash, view.updates_for(target.node)
        )
        sent_at = clock.lease_now()
        match await self._bus.request(target.peers, ping, timeout):
            case Result(tag="ok", ok=Ack() as ack):
                view.merge_message(ack.sender, ack.view, ack.updates)
                if ack.view == view.view_hash:
                    view.lease.renew(sent_at)
                return ack if ack.sender.node == target.node else None
        return None

    async def maintain_lease(self) -> None:
        """Send extra probes while the view lease is about to expire."""
        while True:
            await asyncio.sleep(LEASE_PROBE_PERIOD_S)
            peers = self._view.peers()
            if peers and self._view.lease.remaining_s() < LEASE_RENEWAL_THRESHOLD_S:
                await self.ping(self._rng.choice(peers), PROBE_TIMEOUT_S)

    async def handle_indirect_ping(self, request: IndirectPing) -> IndirectAck:
        """Probe an entry on behalf of another one."""
        return IndirectAck(await self.ping(request.target, PROBE_TIMEOUT_S))

    async def probe_suspect(self, target: Update) -> None:
        """Probe a suspected entry often, so that it learns of it and can refute."""
        while self._view.is_suspected(target.node):
            await self.ping(target, PROBE_TIMEOUT_S)
            await asyncio.sleep(SUSPECT_PROBE_PERIOD_S)

    async def _probe(self, target: Update) -> None:
        timeout = PROBE_TIMEOUT_S * self.health.multiplier
        if await self.ping(target, timeout) is not None:
            self.health.record_success()
            return
        helpers = self._choose_helpers(target.node)
        retry_ack, *replies = await asyncio.gather(
            self.ping(target, timeout),
            *(
                self._request_indirect_ping(helper, target, timeout)
                for helper in helpers
            ),
        )
        if retry_ack is not None:
            return
        if any(reply is not None and reply.ack is not None for reply in replies):
            self.counts["indirect_only"] += 1
            return
        self.counts["failed"] += 1
        missing_replies = sum(reply is None for reply in replies)
        self.health.record_failure(missing_replies if helpers else 1)
        self._view.raise_suspicion(target)

    async def _request_indirect_ping(
        self, helper: Update, target: Update, timeout: float
    ) -> IndirectAck | None:
        request = IndirectPing(self._view.domain, target)
        wait = timeout + INDIRECT_TIMEOUT_S
        match await self._bus.request(helper.peers, request, wait):
            case Result(tag="ok", ok=IndirectAck() as reply):
                if reply.ack is not None:
                    ack = reply.ack
                    self._view.merge_message(ack.sender, None, ack.updates)
                return reply
        return None

    def _period(self) -> float:
        return PROBE_PERIOD_S * self.health.multiplier

    def _choose_helpers(self, target: str) -> list[Update]:
        others = [peer for peer in self._view.peers() if peer.node != target]
        return self._rng.sample(others, min(INDIRECT_PROBE_COUNT, len(others)))

    def _next_target(self) -> Update | None:
        peers = {peer.node: peer for peer in self._view.peers()}
        while self._probe_order:
            target = peers.get(self._probe_order.pop())
            if target is not None:
                return target
        self._probe_order = list(peers)
        self._rng.shuffle(self._probe_order)
        return peers[self._probe_order.pop()] if self._probe_order else None
