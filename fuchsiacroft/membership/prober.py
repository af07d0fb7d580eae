"""Random probes of the other entries, direct and through helpers."""

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
CONFIRMED_ENOUGH_S = 3.0
HELPERS = 3


class Prober:
    """Probes one entry a period, in an order shuffled each round."""

    def __init__(self, bus: Bus, view: LocalView, rng: random.Random) -> None:
        self.health = LocalHealth()
        self.counts: Counter[str] = Counter()
        self._bus = bus
        self._view = view
        self._rng = rng
        self._round: list[str] = []

    async def run(self) -> None:
        """Probe for ever."""
        await asyncio.sleep(self._rng.uniform(0, PROBE_PERIOD_S))
        while True:
            pause = asyncio.create_task(asyncio.sleep(self._period()))
            target = self._next_target()
            if target is not None:
                await self._probe(target)
            await pause

    async def ping(self, target: Update, timeout: float) -> Ack | None:
        """Probe an entry directly; return its answer if it is the one meant."""
        self.counts["pings"] += 1
        view = self._view
        ping = Ping(view.domain, view.me, view.hash, view.news_for(target.node))
        sent_at = clock.now()
        match await self._bus.request(target.peers, ping, timeout):
            case Result(tag="ok", ok=Ack() as ack):
                view.hear(ack.sender, ack.view, ack.updates)
                if ack.view == view.hash:
                    view.lease.confirm(sent_at)
                return ack if ack.sender.node == target.node else None
        return None

    async def keep_lease(self) -> None:
        """Probe more often while no other entry confirms our view."""
        while True:
            await asyncio.sleep(LEASE_PROBE_PERIOD_S)
            peers = self._view.peers()
            if peers and self._view.lease.confirmed_for() < CONFIRMED_ENOUGH_S:
                await self.ping(self._rng.choice(peers), PROBE_TIMEOUT_S)

    async def answer_indirect(self, request: IndirectPing) -> IndirectAck:
        """Probe an entry for another one."""
        return IndirectAck(await self.ping(request.target, PROBE_TIMEOUT_S))

    async def insist(self, target: Update) -> None:
        """Probe a suspected entry often, so that it hears of it and refutes."""
        while self._view.suspects(target.node):
            await self.ping(target, PROBE_TIMEOUT_S)
            await asyncio.sleep(SUSPECT_PROBE_PERIOD_S)

    async def _probe(self, target: Update) -> None:
        timeout = PROBE_TIMEOUT_S * self.health.multiplier
        if await self.ping(target, timeout) is not None:
            self.health.better()
            return
        helpers = self._helpers(target.node)
        again, *answers = await asyncio.gather(
            self.ping(target, timeout),
            *(self._ask(helper, target, timeout) for helper in helpers),
        )
        if again is not None:
            return
        if any(answer is not None and answer.ack is not None for answer in answers):
            self.counts["indirect_only"] += 1
            return
        self.counts["failed"] += 1
        silent = sum(answer is None for answer in answers)
        self.health.worse(silent if helpers else 1)
        self._view.accuse(target)

    async def _ask(
        self, helper: Update, target: Update, timeout: float
    ) -> IndirectAck | None:
        request = IndirectPing(self._view.domain, target)
        wait = timeout + INDIRECT_TIMEOUT_S
        match await self._bus.request(helper.peers, request, wait):
            case Result(tag="ok", ok=IndirectAck() as answer):
                if answer.ack is not None:
                    ack = answer.ack
                    self._view.hear(ack.sender, None, ack.updates)
                return answer
        return None

    def _period(self) -> float:
        return PROBE_PERIOD_S * self.health.multiplier

    def _helpers(self, target: str) -> list[Update]:
        others = [peer for peer in self._view.peers() if peer.node != target]
        return self._rng.sample(others, min(HELPERS, len(others)))

    def _next_target(self) -> Update | None:
        peers = {peer.node: peer for peer in self._view.peers()}
        while self._round:
            target = peers.get(self._round.pop())
            if target is not None:
                return target
        self._round = list(peers)
        self._rng.shuffle(self._round)
        return peers[self._round.pop()] if self._round else None
