"""Puts the services of a console together."""

import ssl

from expression import Result

from fuchsiacroft import operations
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.console import app
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.transport import tls
from fuchsiacroft.utils.metrics import Metrics


def create(settings: Settings) -> Kernel:
    """Return the kernel of a console, ready to start."""
    if settings.addresses.console is None:
        raise SettingsError("a console needs addresses.console")
    if not any(member.operators for member in settings.control):
        raise SettingsError("a console needs control members with operators addresses")
    listen_tls, control_tls = _contexts(settings)
    kernel = Kernel()
    kernel.add(operations.create(settings.addresses.operators, Metrics(), listen_tls))
    kernel.add(app.create(settings, listen_tls, control_tls))
    return kernel


def _contexts(
    settings: Settings,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Return the TLS contexts toward browsers and toward control members."""
    files = settings.tls
    if files is None:
        return None, None
    match tls.server_context(files):
        case Result(tag="ok", ok=listen_tls):
            pass
        case Result(error=reason):
            raise SettingsError(reason)
    try:
        return listen_tls, ssl.create_default_context(cafile=files.ca)
    except (OSError, ssl.SSLError) as exc:
        raise SettingsError(f"{files.ca}: {exc}") from exc
