"""Whether the coordinator of a failure domain answers one of its entries.

A coordinator that is out of processor time answers late. It is the one that knows all
runs and quotas, and an entry that decides alone has a small share of both, so it is
given up only while it answers nothing.
"""

import asyncio
import math
from collections.abc import Callable
from functools import partial

from expression import Result

from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.transport.bus import Bus, BusError
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog
from fuchsiacroft.utils.running_timeout import RunningTimer

PING_PERIOD_S = 0.25
PING_TIMEOUT_S = 0.3
MAX_PINGS_PER_S = 100
"""All entries of a domain together send no more; each takes the coordinator's time."""
LATE_S = 0.5
"""A coordinator that leaves something unanswered is lost once it has answered nothing
for so long. A ping is answered or missed by then."""
BACKOFF_S = 0.6
"""How long no requests are sent to a coordinator that did not respond."""
CLOCK_STEP_S = 0.001
"""Timers may run that much early."""
MAX_LATE_LOGS_PER_S = 1


def ping_interval_s(entries: int) -> float:
    """Return how often each of a domain's entries pings the coordinator."""
    return max(PING_PERIOD_S, entries / MAX_PINGS_PER_S)


class CoordinatorContact:
    """Gives up a coordinator that answers nothing, until a reply of it arrives.

    `on_lost` is called with a coordinator that is given up.
    """

    def __init__(self, bus: Bus, on_lost: Callable[[EntryRecord], None]) -> None:
        self._bus = bus
        self._on_lost = on_lost
        self._given_up_at = -math.inf
        self._check: RunningTimer | None = None
        self._lost = asyncio.Event()
        self._asked_at: dict[str, float] = {}
        self._late_log = RateLimitedLog("coordinator_late", MAX_LATE_LOGS_PER_S)

    def restart(self) -> None:
        """Begin anew with another coordinator."""
        self._given_up_at = -math.inf
        self.stop()

    def stop(self) -> None:
        """Don't give up the coordinator any more."""
        if self._check is not None:
            self._check.cancel()

    def is_lost(self, coordinator: EntryRecord) -> bool:
        """Return whether a coordinator is given up and hasn't answered since."""
        if now() >= self._given_up_at + BACKOFF_S:
            return False
        return self._bus.replied_at(coordinator.peers) <= self._given_up_at

    async def wait_lost(self) -> None:
        """Wait until the coordinator is given up."""
        await self._lost.wait()

    def begin_request(self, run_id: str) -> None:
        """Record that a request waits for the coordinator's decision from now on."""
        self._asked_at[run_id] = now()

    def end_request(self, run_id: str) -> None:
        """Record that a request waits no more."""
        self._asked_at.pop(run_id, None)

    def is_ping_due(
        self, coordinator: EntryRecord, pinged_at: float, entries: int
    ) -> bool:
        """Return whether to ask a coordinator that answered a ping at `pinged_at`.

        Each of the domain's `entries` does so at its turn, and sooner while a request
        waits and the coordinator is silent.
        """
        # The turns come every `PING_PERIOD_S`, counted from the answer.
        if now() - pinged_at >= ping_interval_s(entries) - PING_PERIOD_S / 2:
            return True
        if not self._asked_at:
            return False
        since = max(
            min(self._asked_at.values()), self._bus.replied_at(coordinator.peers)
        )
        return now() - since >= PING_PERIOD_S

    def record_missed(
        self, coordinator: EntryRecord, asked: str, missed: Result
    ) -> None:
        """Give up a coordinator that left something unanswered, or note it late."""
        silent_s = self._silent_s(coordinator)
        was_sent = missed.is_ok() or missed.error is BusError.NO_ANSWER
        if not was_sent or silent_s >= LATE_S:
            self._give_up(coordinator, asked)
            return
        self._late_log.event(
            coordinator=coordinator.node, asked=asked, silent_s=round(silent_s, 3)
        )
        self.stop()
        check = partial(self._check_again, coordinator, asked)
        self._check = RunningTimer(LATE_S - silent_s, check)

    def _check_again(self, coordinator: EntryRecord, asked: str) -> None:
        """Give up a late coordinator that has answered nothing more."""
        if self._silent_s(coordinator) >= LATE_S - CLOCK_STEP_S:
            self._give_up(coordinator, asked)

    def _silent_s(self, coordinator: EntryRecord) -> float:
        return now() - self._bus.replied_at(coordinator.peers)

    def _give_up(self, coordinator: EntryRecord, asked: str) -> None:
        if not self.is_lost(coordinator):
            event(
                "warning",
                "coordinator_lost",
                coordinator=coordinator.node,
                reason=f"no answer to a {asked}",
                silent_s=round(self._silent_s(coordinator), 3),
            )
            self._on_lost(coordinator)
        self._given_up_at = now()
        self._lost.set()
        self._lost = asyncio.Event()
