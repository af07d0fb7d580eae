"""The clock of the event loop, in seconds.

Every deadline and lease uses the running loop's monotonic clock. Tests control
it with `fuchsiacroft.tests.fakes.virtual_time.VirtualTimeLoop`.
"""

import asyncio
import time


def now() -> float:
    """Return the running event loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()


def wall_time() -> float:
    """Return the time of day in seconds since the epoch.

    It may jump, so it is not used for deadlines or durations within a process.
    """
    return time.time()
