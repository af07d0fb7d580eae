"""How long a suspected entry has to refute."""

import asyncio
import math

from fuchsiacroft.utils import clock

SUSPICION_MIN_S = 3.0
SUSPICION_MAX_FACTOR = 3.0
CONFIRMATIONS_WANTED = 2


class Suspicion:
    """A timeout that shrinks as further entries confirm the suspicion."""

    def __init__(self, incarnation: int, entries: int) -> None:
        self.incarnation = incarnation
        self._began = clock.now()
        self._min = SUSPICION_MIN_S * max(1.0, math.log10(max(entries, 1)))
        self._wanted = max(0, min(CONFIRMATIONS_WANTED, entries - 2))
        self._accusers: set[str] = set()

    def confirm(self, accuser: str) -> bool:
        """Note an accuser; return whether it is a new one that counts."""
        if accuser in self._accusers or len(self._accusers) > self._wanted:
            return False
        self._accusers.add(accuser)
        return True

    def ends_at(self) -> float:
        """Return when the entry counts as dead, by the loop's clock."""
        if not self._wanted:
            return self._began + self._min
        confirmed = max(0, len(self._accusers) - 1)
        share = math.log(confirmed + 1) / math.log(self._wanted + 1)
        longest = SUSPICION_MAX_FACTOR * self._min
        return self._began + max(self._min, longest - (longest - self._min) * share)

    async def wait(self, tick: float) -> None:
        """Return once the timeout has run out."""
        while (left := self.ends_at() - clock.now()) > 0:
            await asyncio.sleep(min(left, tick))
