"""Free addresses on loopback."""

from fuchsiacroft.utils.ports import free_address, free_addresses

__all__ = ["free_address", "free_addresses"]
