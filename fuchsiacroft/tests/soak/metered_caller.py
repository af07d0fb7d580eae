"""A caller whose workspace has a quota, and who asks for far more."""

import asyncio
import math
import random

from fuchsiacroft.tests.fakes import platform_wire
from fuchsiacroft.tests.fakes.platform_wire import DATA_PORT
from fuchsiacroft.tests.soak.callers import (
    RESPONSE_MARGIN_S,
    ROUTES,
    BalancedCaller,
    Balancer,
    attempt_numbers,
    read_response,
)
from fuchsiacroft.tests.soak.observations import Attempt, Observations
from fuchsiacroft.utils.tasks import BackgroundTasks

METERED_KEY = "key-2"
ROUTE = "safe"
PERIOD_S = 0.025


class MeteredCaller(BalancedCaller):
    """Sends a request through any ready entry in each period."""

    def __init__(
        self, balancer: Balancer, rng: random.Random, observations: Observations
    ) -> None:
        super().__init__(balancer, rng, observations)
        self._tasks = BackgroundTasks("metered caller")

    async def call(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await asyncio.sleep(PERIOD_S)
                ready = self._balancer.ready()
                if ready:
                    self._tasks.spawn(self._send(self._rng.choice(ready)))
        finally:
            await self._tasks.cancel()

    async def _send(self, entry: str) -> None:
        method, prefix, timeout_s = ROUTES[ROUTE]
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(entry, DATA_PORT)
        except (OSError, TimeoutError):
            return
        attempt_id = f"{next(attempt_numbers):016x}"
        attempt = Attempt(
            attempt_id, ROUTE, entry, self._now(), timeout_s, is_metered=True
        )
        self._observations.attempts.append(attempt)
        key = f"X-Api-Key: {METERED_KEY}"
        writer.write(
            platform_wire.encode_request(
                method, f"{prefix}{attempt_id}", attempt_id, key
            )
        )
        try:
            async with asyncio.timeout(timeout_s + RESPONSE_MARGIN_S):
                await read_response(reader, attempt, math.inf)
        except (OSError, EOFError, TimeoutError, ValueError):
            pass
        attempt.ended_at = self._now()
        writer.close()
