"""Finds objects that stay in memory while the collector of cycles is off."""

import asyncio
import gc

POLL_S = 0.05


async def left_behind(types: tuple[type, ...], limit_s: float) -> list[str]:
    """Return the types of the objects that are still there after some time."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + limit_s
    while (found := _names(types)) and loop.time() < ends_at:
        await asyncio.sleep(POLL_S)
    return found


def _names(types: tuple[type, ...]) -> list[str]:
    return [type(obj).__name__ for obj in gc.get_objects() if isinstance(obj, types)]
