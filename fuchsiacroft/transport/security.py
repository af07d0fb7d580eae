"""The keys and certificates of one process, put together."""

import ssl
from dataclasses import dataclass
from pathlib import Path

from expression import Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.transport import key_reload, keys, tls, zmq_bus
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.transport.keys import KeyRing


@dataclass(frozen=True, slots=True)
class Security:
    """The CURVE keys between processes, and the TLS context of listeners."""

    ring: KeyRing
    context: ssl.SSLContext | None


def create(settings: Settings) -> Security:
    """Return the keys and the context that the settings name."""
    context = None
    if settings.tls is not None:
        match tls.server_context(settings.tls):
            case Result(tag="ok", ok=context):
                pass
            case Result(error=reason):
                raise SettingsError(f"$.tls: {reason}")
    return Security(keys.create(settings), context)


def create_bus(settings: Settings, security: Security) -> Bus:
    """Return the bus of a process, which must have a peers address."""
    return zmq_bus.create(
        settings.node, settings.addresses.peers, security.ring, settings.tunnels
    )


def add_key_reloader(
    kernel: Kernel, path: Path | None, settings: Settings, security: Security
) -> None:
    """Reload keys and certificates when the settings file changes."""
    if path is not None:
        kernel.add(key_reload.create(path, settings, security.ring, security.context))
