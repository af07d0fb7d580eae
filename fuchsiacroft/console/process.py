"""Puts the services of a console together."""

from fuchsiacroft import operations
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.console import app
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.utils.metrics import Metrics


def create(settings: Settings) -> Kernel:
    """Return the kernel of a console, ready to start."""
    if settings.addresses.console is None:
        raise SettingsError("a console needs addresses.console")
    if not any(member.operators for member in settings.control):
        raise SettingsError("a console needs control members with operators addresses")
    kernel = Kernel()
    kernel.add(operations.create(settings.addresses.operators, Metrics()))
    kernel.add(app.create(settings))
    return kernel
