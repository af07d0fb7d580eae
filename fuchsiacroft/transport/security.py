"""The CURVE keys and TLS certificates of a process."""

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
    """The CURVE keys for the bus and the TLS context for HTTP listeners."""

    key_ring: KeyRing
    tls_context: ssl.SSLContext | None


def create(settings: Settings) -> Security:
    """Load the keys and the TLS context that the settings configure."""
    context = None
    if settings.tls is not None:
        match tls.server_context(settings.tls):
            case Result(tag="ok", ok=context):
                pass
            case Result(error=reason):
                raise SettingsError(f"$.tls: {reason}")
    return Security(keys.create(settings), context)


def create_bus(settings: Settings, security: Security) -> Bus:
    """Return the bus of a process whose settings have a peers address."""
    return zmq_bus.create(
        settings.node, settings.addresses.peers, security.key_ring, settings.tunnels
    )


def add_key_reloader(
    kernel: Kernel, path: Path | None, settings: Settings, security: Security
) -> None:
    """Reload keys and certificates when the settings file changes."""
    if path is not None:
        kernel.add(
            key_reload.create(path, settings, security.key_ring, security.tls_context)
        )
