"""Finds out whether a backend server's process has ended, after a run was lost.

A crash is otherwise known when the server announces itself again, or is silent for
some seconds, and until then the request that crashed it may be sent to the next one.
"""

import asyncio
from abc import ABC, abstractmethod

PROBE_TIMEOUT_S = 0.5


class ServerProbe(ABC):
    """Tells whether nothing listens at the address of a server any more."""

    @abstractmethod
    async def has_ended(self, address: str) -> bool:
        """Return whether the server has ended for certain."""


class ConnectProbe(ServerProbe):
    """Opens a connection, which the VM of a process that has ended refuses."""

    async def has_ended(self, address: str) -> bool:
        """Return whether the connection is refused; silence says nothing."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False


def create() -> ServerProbe:
    """Return the probe of an entry."""
    return ConnectProbe()
