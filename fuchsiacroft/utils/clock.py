"""The clocks of a process, in seconds.

Deadlines and periods use the running loop's monotonic clock, which stands still while
the VM is suspended. A permission that others take back after a time is held by the
lease clock, which counts that time. Tests control both with
`fuchsiacroft.tests.fakes.virtual_time.VirtualTimeLoop`.
"""

import asyncio
import time
from abc import ABC, abstractmethod

_LEASE_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class LeaseClock(ABC):
    """An event loop that has its own lease clock."""

    @abstractmethod
    def lease_time(self) -> float:
        """Return the time of the lease clock in seconds."""


def now() -> float:
    """Return the running event loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()


def lease_now() -> float:
    """Return the time in seconds by which leases are held.

    It never goes back and also counts while the VM is suspended, where the system has
    such a clock. It can't be compared with `now()`.
    """
    loop = asyncio.get_running_loop()
    if isinstance(loop, LeaseClock):
        return loop.lease_time()
    return time.clock_gettime(_LEASE_CLOCK_ID)


def wall_time() -> float:
    """Return the time of day in seconds since the epoch.

    It may jump, so it is not used for deadlines or durations within a process.
    """
    return time.time()
