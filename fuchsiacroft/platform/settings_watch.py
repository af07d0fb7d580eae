"""Takes over what may change in the settings file while a process runs.

The file may change with SIGHUP or without. Of changed settings the seeds are
taken; the rest holds from the next start.
"""

import asyncio
from collections.abc import Callable
from pathlib import Path

from expression import Result

from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.platform import settings
from fuchsiacroft.platform.settings import WireSettings
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

CHECK_PERIOD_S = 1.0
"""How long a change without a signal may go unseen."""

OnSeeds = Callable[[tuple[str, ...]], None]


class SettingsWatch(Service):
    """Tells of changed seeds, as peer addresses of control members."""

    name = "settings_watch"

    def __init__(self, wire: WireSettings, path: Path, on_seeds: OnSeeds) -> None:
        self._held = wire
        self._path = path
        self._on_seeds = on_seeds
        self._tasks = BackgroundTasks("settings_watch")

    async def start(self, kernel: Kernel) -> None:
        """Begin to watch."""
        self._tasks.spawn_critical(self._watch(), "settings-watch")

    async def stop(self) -> None:
        """Stop watching."""
        await self._tasks.cancel()

    def reload(self) -> None:
        """Read the file and take over what changed."""
        match settings.load(self._path):
            case Result(tag="ok", ok=wire):
                self._take(wire)
            case Result(error=fault):
                event("error", "settings_not_reloaded", reason=fault)

    def _take(self, wire: WireSettings) -> None:
        if wire == self._held:
            return
        self._held = wire
        seeds = wire.control_seeds
        event("info", "settings_reloaded", seeds=",".join(seeds))
        self._on_seeds(seeds)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            self.reload()


def create(wire: WireSettings, path: Path, on_seeds: OnSeeds) -> SettingsWatch:
    """Return the watch of a process that started with the settings in a file."""
    return SettingsWatch(wire, path, on_seeds)
