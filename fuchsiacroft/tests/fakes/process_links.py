"""Proxies between the processes of a region, whose links tests can disturb."""

import asyncio
import random
from collections.abc import Iterable

from fuchsiacroft.tests.fakes.platform_wire import PEERS_PORT
from fuchsiacroft.tests.fakes.ports import subnet
from fuchsiacroft.tests.fakes.proxy import Proxy

FIRST_PORT = 7_000
"""Port of the first proxy on a source's own address."""


class ProcessLinks:
    """One proxy for each ordered pair of processes, given by their IP addresses.

    `net` is the start of the proxies' addresses, such as `127.9`.
    """

    def __init__(
        self, net: str, controls: list[str], entries: list[str], rng: random.Random
    ) -> None:
        peers = [f"{ip}:{PEERS_PORT}" for ip in controls]
        peers += [f"{ip}:{PEERS_PORT + 1}" for ip in entries]
        self._proxies: dict[tuple[str, str], Proxy] = {}
        for number, source in enumerate((*controls, *entries), 1):
            for port, target in enumerate(peers, FIRST_PORT):
                if not target.startswith(f"{source}:"):
                    listen = f"{subnet(net, 5)}.{number}:{port}"
                    self._proxies[source, target] = Proxy(listen, target, rng)

    async def start(self) -> None:
        """Start every proxy."""
        for proxy in self._proxies.values():
            await proxy.start()

    async def stop(self) -> None:
        """Stop every proxy."""
        for proxy in self._proxies.values():
            await proxy.stop()

    def tunnels(self, source: str) -> dict[str, str]:
        """Return the address of the proxy to each peer of a process."""
        return {
            target: proxy.listen
            for (ip, target), proxy in self._proxies.items()
            if ip == source
        }

    def silence_open(self, ip: str) -> None:
        """Silence the open connections of a process for good; new ones work."""
        for proxy in self._of(ip):
            proxy.silence_open()

    async def cut(self, ip: str, duration_s: float) -> None:
        """Cut a process off from all others for a time."""
        await asyncio.gather(*(proxy.cut(duration_s) for proxy in self._of(ip)))

    async def cut_group(self, ips: list[str], duration_s: float) -> None:
        """Cut processes off from all others, but not from each other, for a time."""
        group = set(ips)
        await asyncio.gather(
            *(
                proxy.cut(duration_s)
                for (source, target), proxy in self._proxies.items()
                if (source in group) != (target.rpartition(":")[0] in group)
            )
        )

    def _of(self, ip: str) -> Iterable[Proxy]:
        return [
            proxy
            for (source, target), proxy in self._proxies.items()
            if source == ip or target.startswith(f"{ip}:")
        ]
