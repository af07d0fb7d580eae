"""Assembles the services of a console process."""

import ssl
from pathlib import Path

from expression import Result

from fuchsiacroft import operations, operators_client
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.console import app
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.transport import security
from fuchsiacroft.utils.metrics import Metrics


def create(settings: Settings, path: Path | None = None) -> Kernel:
    """Return the kernel of a console, ready to start.

    The TLS certificate is reloaded when the settings file at `path` changes.
    """
    if settings.addresses.console is None:
        raise SettingsError("a console needs addresses.console")
    if not any(member.operators for member in settings.control):
        raise SettingsError("a console needs control members with operators addresses")
    secured = security.create(settings)
    kernel = Kernel()
    kernel.add(
        operations.create(
            settings.addresses.operators,
            Metrics(),
            secured.tls_context,
            settings.inbound.for_listeners(),
        )
    )
    kernel.add(app.create(settings, secured.tls_context, _control_tls(settings)))
    security.add_key_reloader(kernel, path, settings, secured)
    return kernel


def _control_tls(settings: Settings) -> ssl.SSLContext | None:
    match operators_client.tls_context(settings.tls):
        case Result(tag="ok", ok=context):
            return context
        case Result(error=reason):
            raise SettingsError(f"$.tls.ca: {reason}")
