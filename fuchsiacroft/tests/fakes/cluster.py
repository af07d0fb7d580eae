"""Real processes on loopback: entries, control members and fake backend servers."""

import asyncio
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import msgspec

from fuchsiacroft.config.document import hash_key
from fuchsiacroft.tests.fakes.ports import free_addresses
from fuchsiacroft.tests.fakes.relay import LinkStates, Relay

OPERATOR_TOKEN = "operator-token"
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.05
DOMAINS = ("mvd-cordon", "mvd-pocitos", "mvd-carrasco")


@dataclass(frozen=True)
class Node:
    """A process of the cluster: its command, addresses and settings file."""

    name: str
    domain: str
    command: tuple[str, ...]
    addresses: dict[str, str]


@dataclass(frozen=True)
class Topology:
    """The number of processes of each kind.

    `entries` has a count for each failure domain, `engines` and `applications` apply
    to every domain, and `control` is the total, spread over the domains.

    With `relayed`, links between failure domains go through relays that a test
    can cut.
    """

    domains: tuple[str, ...] = DOMAINS
    entries: tuple[int, ...] = (3, 2, 2)
    control: int = 3
    engines: int = 3
    applications: int = 1
    relayed: bool = False
    engine_flags: tuple[str, ...] = ()
    application_flags: tuple[str, ...] = ()


@dataclass(frozen=True)
class RelaySpec:
    """A relay that forwards connections from a failure domain to an address."""

    listen: str
    source: str
    target: str
    address: str


@dataclass
class Cluster:
    """The processes of one test, started from a folder of settings."""

    folder: Path
    nodes: dict[str, Node]
    relay_specs: list[RelaySpec] = field(default_factory=list)
    running: dict[str, subprocess.Popen] = field(default_factory=dict)
    links: LinkStates = field(default_factory=LinkStates)
    relays: list[Relay] = field(default_factory=list)

    async def start_relays(self) -> None:
        """Start the relays between failure domains in the current process."""
        for spec in self.relay_specs:
            relay = Relay(self.links, spec.source, spec.target, spec.address)
            await relay.start(spec.listen)
            self.relays.append(relay)

    async def stop_relays(self) -> None:
        """Stop the relays."""
        for relay in self.relays:
            await relay.stop()

    def start(self, *names: str) -> None:
        """Start the named processes, or every process if none is named."""
        for name in names or self.nodes:
            log = (self.folder / f"{name}.log").open("ab")
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", "fuchsiacroft", *self.nodes[name].command],
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )
            log.close()

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Send a signal, SIGKILL by default, to one process."""
        self.running[name].send_signal(number)

    def stop(self) -> None:
        """Kill every process that this cluster started."""
        for proc in self.running.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self.running.values():
            proc.wait(STOP_TIMEOUT_S)

    def named(self, prefix: str) -> list[Node]:
        """Return the nodes whose names start with a prefix."""
        return [node for name, node in self.nodes.items() if name.startswith(prefix)]

    def url(self, name: str, address: str, path: str = "") -> str:
        """Return a URL on one of a node's addresses."""
        return f"http://{self.nodes[name].addresses[address]}{path}"

    async def wait_healthy(self, session: aiohttp.ClientSession) -> None:
        """Wait until every running entry and control member passes its health check."""
        await self._wait_all(session, "/healthz")

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until every running entry and control member reports readiness."""
        await self._wait_all(session, "/readyz")

    async def _wait_all(self, session: aiohttp.ClientSession, path: str) -> None:
        for name, node in self.nodes.items():
            if "operators" in node.addresses and name in self.running:
                await self._wait(session, self.url(name, "operators", path), name)

    async def _wait(self, session, url: str, name: str) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                self._check_running(name)
                try:
                    async with session.get(url) as res:
                        if res.status == 200:
                            return
                except (aiohttp.ClientError, OSError):
                    pass
                await asyncio.sleep(POLL_S)

    def _check_running(self, name: str) -> None:
        if self.running[name].poll() is not None:
            log = (self.folder / f"{name}.log").read_text()[-3000:]
            raise RuntimeError(f"{name} exited unexpectedly: {log}")

    async def put_document(
        self,
        session: aiohttp.ClientSession,
        document: dict,
        base_version: int,
        change_id: str,
    ) -> tuple[int, dict]:
        """Submit a document to the control members in turn until one decides on it."""
        headers = {
            "Authorization": f"Bearer {OPERATOR_TOKEN}",
            "If-Match": f'"{base_version}"',
            "Fuchsiacroft-Change-Id": change_id,
        }
        body = msgspec.json.encode(document)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                for node in self.named("control"):
                    url = self.url(node.name, "operators", "/v1/document")
                    try:
                        async with session.put(url, data=body, headers=headers) as res:
                            if res.status not in (503, 504):
                                return res.status, await res.json()
                    except (aiohttp.ClientError, OSError):
                        pass
                await asyncio.sleep(POLL_S)

    async def wait_in_force(self, session: aiohttp.ClientSession, version: int) -> None:
        """Wait until every running entry has applied at least the given version."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for node in self.named("entry"):
                if self.running[node.name].poll() is not None:
                    continue
                while (await self.dump(session, node.name))["document"][
                    "version"
                ] < version:
                    await asyncio.sleep(POLL_S)

    async def wait_owned(self, session: aiohttp.ClientSession) -> None:
        """Wait until every backend server has an owner that can grant permits."""
        expected = len(self.named("engine")) + len(self.named("app"))
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                dumps = [await self.dump(session, e.name) for e in self.named("entry")]
                ready = sum(len(dump["ownership"]["ready"]) for dump in dumps)
                if ready == expected:
                    return
                for node in self.named("engine") + self.named("app"):
                    self._check_running(node.name)
                await asyncio.sleep(POLL_S)

    async def newest_version(self, session: aiohttp.ClientSession) -> int:
        """Return the highest document version that any control member has."""
        dumps = [await self.dump(session, c.name) for c in self.named("control")]
        return max(dump["document"]["version"] for dump in dumps)

    async def dump(self, session: aiohttp.ClientSession, name: str) -> dict:
        """Return the state dump of a process."""
        async with session.get(self.url(name, "operators", "/dump")) as res:
            return await res.json()

    async def counts(self, session: aiohttp.ClientSession) -> dict[str, dict]:
        """Return the counters of each running fake backend server."""
        counts = {}
        for prefix in ("engine", "app"):
            for node in self.named(prefix):
                if self.running[node.name].poll() is None:
                    url = self.url(node.name, "http", "/counts")
                    async with session.get(url) as res:
                        counts[node.name] = await res.json()
        return counts


def create(folder: Path, topology: Topology) -> Cluster:
    """Write the settings of a cluster into a folder and return the stopped cluster."""
    planner = _Planner(folder, topology)
    planner.plan()
    return Cluster(folder, planner.nodes, planner.relays)


class _Planner:
    def __init__(self, folder: Path, topology: Topology) -> None:
        self._folder = folder
        self._topology = topology
        total = sum(topology.entries) * 4 + topology.control * 2
        total += len(topology.domains) * (topology.engines + topology.applications)
        total += len(topology.domains) * (sum(topology.entries) + topology.control)
        self._free_addresses = iter(free_addresses(total))
        self.nodes: dict[str, Node] = {}
        self.relays: list[RelaySpec] = []
        self._tunnels: dict[str, dict[str, str]] = {}

    def plan(self) -> None:
        topology = self._topology
        entries = [
            (f"entry-{domain}-{i}", domain, self._addresses(4))
            for domain, count in zip(topology.domains, topology.entries, strict=True)
            for i in range(count)
        ]
        control = [
            (
                f"control-{i}",
                topology.domains[i % len(topology.domains)],
                self._addresses(2),
            )
            for i in range(topology.control)
        ]
        members = {
            "control": [_member(*node) for node in control],
            "entries": [_member(*node) for node in entries],
        }
        if topology.relayed:
            for domain in topology.domains:
                self._tunnels[domain] = self._plan_relays(domain, control + entries)
        for name, domain, addresses in control:
            self._add_process("control", name, domain, addresses, members)
        for name, domain, addresses in entries:
            self._add_process("entry", name, domain, addresses, members)
        for domain in topology.domains:
            announce = [
                node[2]["backend_servers"] for node in entries if node[1] == domain
            ]
            for i in range(topology.engines):
                self._add_standin("engine", f"engine-{domain}-{i}", domain, announce)
            for i in range(topology.applications):
                self._add_standin("application", f"app-{domain}-{i}", domain, announce)

    def _plan_relays(self, source: str, nodes: list[tuple]) -> dict[str, str]:
        tunnels = {}
        for _, target, addresses in nodes:
            if target != source:
                peers = addresses["peers"]
                tunnels[peers] = next(self._free_addresses)
                self.relays.append(RelaySpec(tunnels[peers], source, target, peers))
        return tunnels

    def _addresses(self, count: int) -> dict[str, str]:
        kinds = ("operators", "peers", "callers", "backend_servers")[:count]
        return {kind: next(self._free_addresses) for kind in kinds}

    def _add_process(self, command, name, domain, addresses, members) -> None:
        settings = {
            "node": name,
            "failure_domain": domain,
            "region": "mvd",
            "addresses": addresses,
            "tunnels": self._tunnels.get(domain, {}),
            "operator_token_hashes": [hash_key(OPERATOR_TOKEN)],
            **members,
        }
        if command == "control":
            settings["data_folder"] = str(self._folder / f"{name}-data")
        path = self._folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        self.nodes[name] = Node(
            name, domain, (command, f"--settings={path}"), addresses
        )

    def _add_standin(
        self, kind: str, name: str, domain: str, entries: list[str]
    ) -> None:
        address = next(self._free_addresses)
        service = "lens-assistant" if kind == "engine" else "counter"
        extra_flags = self._topology.engine_flags
        if kind == "application":
            extra_flags = self._topology.application_flags
        command = (
            "standin",
            f"--kind={kind}",
            f"--name={name}",
            f"--domain={domain}",
            f"--address={address}",
            f"--service={service}",
            f"--entries={','.join(entries)}",
            *extra_flags,
        )
        self.nodes[name] = Node(name, domain, command, {"http": address})


def _member(name: str, domain: str, addresses: dict[str, str]) -> dict:
    return {
        "node": name,
        "failure_domain": domain,
        "peers": addresses["peers"],
        "operators": addresses["operators"],
    }


def sample_document() -> dict:
    """Return a document like the one of the lens-rental deployment."""
    return {
        "tiers": [
            {"name": "counter", "rank": 0, "timeout_s": 30},
            {"name": "desk", "rank": 1, "timeout_s": 60},
            {"name": "batch", "rank": 2, "timeout_s": 120},
        ],
        "services": [
            {"name": "lens-assistant", "kind": "model"},
            {"name": "counter", "kind": "plain"},
        ],
        "workspaces": [
            {
                "name": f"shop-{i}",
                "key_hashes": [hash_key(f"key-{i}")],
                "tier": "desk",
                "highest_tier": "counter",
            }
            for i in range(5)
        ],
        "rules": [
            {
                "service": "counter",
                "idempotent": False,
                "methods": ["POST"],
                "path_prefix": "/bookings",
            }
        ],
    }
