"""The time that a suspected entry has to refute the suspicion."""

import asyncio
import math

from fuchsiacroft.utils import clock

SUSPICION_MIN_S = 3.0
SUSPICION_MAX_FACTOR = 3.0
CONFIRMATIONS_NEEDED = 2


class Suspicion:
    """A timeout that gets shorter as more entries confirm the suspicion."""

    def __init__(self, incarnation: int, entries: int) -> None:
        self.incarnation = incarnation
        self._started_at = clock.now()
        self._min_timeout_s = SUSPICION_MIN_S * max(1.0, math.log10(max(entries, 1)))
        self._confirmations_needed = max(0, min(CONFIRMATIONS_NEEDED, entries - 2))
        self._accusers: set[str] = set()

    def confirm(self, accuser: str) -> bool:
        """Record an accuser; return whether it was added."""
        if (
            accuser in self._accusers
            or len(self._accusers) > self._confirmations_needed
        ):
            return False
        self._accusers.add(accuser)
        return True

    def ends_at(self) -> float:
        """Return when the entry is declared dead, on the event loop's clock."""
        if not self._confirmations_needed:
            return self._started_at + self._min_timeout_s
        confirmed = max(0, len(self._accusers) - 1)
        share = math.log(confirmed + 1) / math.log(self._confirmations_needed + 1)
        longest = SUSPICION_MAX_FACTOR * self._min_timeout_s
        return self._started_at + max(
            self._min_timeout_s, longest - (longest - self._min_timeout_s) * share
        )

    async def wait(self, tick: float) -> None:
        """Wait until the timeout expires.

        It is checked again every `tick` seconds, as confirmations shorten it.
        """
        while (remaining := self.ends_at() - clock.now()) > 0:
            await asyncio.sleep(min(remaining, tick))
