"""Applies changes of the settings file while a process runs.

The file may change with or without a SIGHUP. Only changed seeds are applied; other
changes take effect at the next start.
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
"""Maximum delay until a change without a signal is detected."""

OnSeeds = Callable[[tuple[str, ...]], None]


class SettingsWatch(Service):
    """Calls `on_seeds` after each change of the settings file.

    The seeds are passed as peer addresses of control members.
    """

    name = "settings_watch"

    def __init__(self, wire: WireSettings, path: Path, on_seeds: OnSeeds) -> None:
        self._current = wire
        self._path = path
        self._on_seeds = on_seeds
        self._tasks = BackgroundTasks("settings_watch")

    async def start(self, kernel: Kernel) -> None:
        """Start watching."""
        self._tasks.spawn_repeated(self._watch, "settings-watch")

    async def stop(self) -> None:
        """Stop watching."""
        await self._tasks.cancel()

    def reload(self) -> None:
        """Reload the file and apply changes."""
        match settings.load(self._path):
            case Result(tag="ok", ok=wire):
                self._apply(wire)
            case Result(error=issue):
                event("error", "settings_not_reloaded", reason=issue)

    def _apply(self, wire: WireSettings) -> None:
        if wire == self._current:
            return
        self._current = wire
        seeds = wire.control_seeds
        event("info", "settings_reloaded", seeds=",".join(seeds))
        self._on_seeds(seeds)

    async def _watch(self) -> None:
        await asyncio.sleep(CHECK_PERIOD_S)
        self.reload()


def create(wire: WireSettings, path: Path, on_seeds: OnSeeds) -> SettingsWatch:
    """Return the watcher of the settings file with which a process started."""
    return SettingsWatch(wire, path, on_seeds)
