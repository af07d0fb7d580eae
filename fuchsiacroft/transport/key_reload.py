"""The service "keys": reloads changed keys and certificates."""

import asyncio
import ssl
from collections import Counter
from pathlib import Path

from expression import Result

from fuchsiacroft.config import settings as settings_file
from fuchsiacroft.config.settings import Settings, Tls
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.transport import tls
from fuchsiacroft.transport.keys import KeyRing
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

CHECK_PERIOD_S = 2.0


class KeyReloader(Service):
    """Watches the settings file and the TLS files.

    Only the keys, the members' public keys and the TLS files, whose paths may
    change, are reloaded; other settings need a restart. Invalid settings are logged and
    ignored.
    """

    name = "keys"

    def __init__(
        self,
        path: Path,
        settings: Settings,
        ring: KeyRing,
        context: ssl.SSLContext | None,
    ) -> None:
        self._path = path
        self._ring = ring
        self._context = context
        self._tls = settings.tls
        self._file_states = self._read_file_states()
        self._counts: Counter[str] = Counter()
        self._tasks = BackgroundTasks("keys")

    async def start(self, kernel: Kernel) -> None:
        """Start to watch the files."""
        self._tasks.spawn_repeated(self._watch, "keys-watch")

    async def stop(self) -> None:
        """Stop watching."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return how often keys and TLS files were reloaded or rejected."""
        return {"encrypted": self._ring.enabled, "counts": dict(self._counts)}

    def reload(self) -> None:
        """Reload all files."""
        match settings_file.load(self._path):
            case Result(tag="ok", ok=settings):
                self._apply(settings)
            case Result(error=issues):
                self._counts["refused"] += 1
                paths = ",".join(issue.path for issue in issues)
                event("error", "keys_not_reloaded", faults=paths)

    def _apply(self, settings: Settings) -> None:
        if (settings.keys is not None) != self._ring.enabled:
            self._counts["refused"] += 1
            event("error", "keys_not_reloaded", reason="encryption needs a restart")
            return
        if self._ring.replace(settings):
            self._counts["keys_changed"] += 1
            event("info", "keys_reloaded")
        if self._context is None or settings.tls is None:
            return
        self._tls = settings.tls
        match tls.reload(self._context, settings.tls):
            case Result(tag="ok"):
                self._counts["tls_reloaded"] += 1
                event("info", "tls_reloaded", certificate=settings.tls.certificate)
            case Result(error=reason):
                self._counts["refused"] += 1
                event("error", "tls_not_reloaded", reason=reason)

    async def _watch(self) -> None:
        await asyncio.sleep(CHECK_PERIOD_S)
        file_states = self._read_file_states()
        if file_states != self._file_states:
            self.reload()
            self._file_states = self._read_file_states()

    def _read_file_states(self) -> list[tuple[int, int, int] | None]:
        return [_file_state(path) for path in (self._path, *_tls_paths(self._tls))]


def _tls_paths(files: Tls | None) -> tuple[Path, ...]:
    return () if files is None else (Path(files.certificate), Path(files.key))


def _file_state(path: Path) -> tuple[int, int, int] | None:
    """Return file attributes that change when a file is written or replaced."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_ino, status.st_size


def create(
    path: Path,
    settings: Settings,
    ring: KeyRing,
    context: ssl.SSLContext | None = None,
) -> KeyReloader:
    """Return the key reloader for the settings file at `path`."""
    return KeyReloader(path, settings, ring, context)
