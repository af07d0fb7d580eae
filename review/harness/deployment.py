"""Starts the project's programs with the commands of the deploy file."""

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

from harness import http, site
from harness.record import Record
from harness.replica import Handler, Replica
from harness.site import Node

REPOSITORY = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 40.0
OPERATOR_TIMEOUT_S = 1.0
METRICS_PORT = 9_464
GUARD_PORT = 7_599
RESTART_DELAY_S = 0.5
"""The platform restarts a process that has ended after a short delay."""
PORTS = (
    *(site.DATA_PORT, site.READY_PORT, site.CONTROL_PORT, METRICS_PORT),
    *range(site.FIRST_PEER_PORT, site.FIRST_PEER_PORT + 16),
)


class CannotRunError(Exception):
    """The case couldn't run."""


class Process:
    """A process of the system; `own_ends` are when it ended by itself."""

    def __init__(self, node: Node, folder: Path, record: Record, run: str) -> None:
        self.node = node
        self.settings_path = folder / f"{node.name}.json"
        self.data = folder / f"{node.name}-data"
        self.log_path = folder / f"{node.name}.log"
        self._record = record
        self._run = run.split(" ")
        self._child: asyncio.subprocess.Process | None = None
        self._is_ending = False
        self.own_ends: list[float] = []

    def write_settings(self, seeds: list[str], *, bootstrap: bool = False) -> None:
        """Write the settings file, replacing it in one step."""
        data_dir = str(self.data) if self.node.role == "control" else None
        document = site.settings(self.node, seeds, data_dir, bootstrap=bootstrap)
        temporary = self.settings_path.with_suffix(".new")
        temporary.write_text(json.dumps(document))
        temporary.replace(self.settings_path)

    async def start(self) -> None:
        """Start the process."""
        if self.node.role == "control":
            self.data.mkdir(exist_ok=True)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["FUCHSIACROFT_CONFIG"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self._child = await asyncio.create_subprocess_exec(
                *self._run, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )
        self._record.write(self.node.name, "started")

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return None if self._child is None else self._child.returncode

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self._child is not None and self._child.returncode is None:
            self._record.write(self.node.name, f"gets {number.name}")
            self._child.send_signal(number)

    async def supervise(self) -> None:
        """Restart the process as the platform does whenever it ends by itself."""
        while True:
            code = await self.wait()
            if self._is_ending:
                return
            self.own_ends.append(self._record.now())
            self._record.write(self.node.name, f"ended by itself with code {code}")
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start()

    async def wait(self) -> int | None:
        """Wait until the process has ended; return its exit code."""
        return None if self._child is None else await self._child.wait()

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._is_ending = True
        self.send(signal.SIGKILL)
        await self.wait()


class Deployment:
    """Control and entry processes, replicas and the operator."""

    def __init__(
        self, record: Record, *, controls: int = 3, entries: int = 2, zones: int = 3
    ) -> None:
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.record = record
        self.net, self._guard = _free_net()
        self._replica_ports = itertools.count(1)
        nodes = [
            Node("control", f"core-{n}", f"{self.net}.1.{n}", _zone(n, zones))
            for n in range(1, controls + 1)
        ]
        self.controls = [self._process(deploy, node) for node in nodes]
        nodes = [
            Node("entry", f"edge-{n}", f"{self.net}.2.{n}", _zone(n, zones))
            for n in range(1, entries + 1)
        ]
        self.entries = [self._process(deploy, node) for node in nodes]
        self.replicas: list[Replica] = []
        self._tasks: list[asyncio.Task] = []

    def _process(self, deploy: dict, node: Node) -> Process:
        run = deploy["roles"][node.role]["run"]
        return Process(node, self.folder, self.record, run)

    @property
    def control_ips(self) -> list[str]:
        """Return the addresses of the control nodes that run."""
        return [c.node.ip for c in self.controls if c.exit_code is None]

    def add_replica(
        self, service: str, name: str, zone: str, handle: Handler, **more: object
    ) -> Replica:
        """Return a new replica, which is not started yet."""
        address = f"{self.net}.3.{next(self._replica_ports)}:8080"
        replica = Replica(
            self.record,
            lambda: self.control_ips,
            service=service,
            name=name,
            address=address,
            zone=zone,
            handle=handle,
            **more,
        )
        self.replicas.append(replica)
        return replica

    async def start(self, configuration: dict) -> None:
        """Start everything, and wait until each entry is ready."""
        seeds = [control.node.ip for control in self.controls[:3]]
        for process in (*self.controls, *self.entries):
            process.write_settings(seeds, bootstrap=True)
            await process.start()
        for replica in self.replicas:
            await replica.start()
        deadline = time.monotonic() + START_TIMEOUT_S
        await self.publish(configuration, START_TIMEOUT_S)
        for control in self.controls:
            control.write_settings(seeds)
        for entry in self.entries:
            while not await self.is_ready(entry):
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{entry.node.name} isn't ready")
                await asyncio.sleep(0.1)

    async def is_ready(self, entry: Process) -> bool:
        """Ask an entry as the platform does whether it is ready."""
        data = http.encode(
            "GET /v1/readyz HTTP/1.1", f"Host: {entry.node.ip}", "Connection: close"
        )
        answer = await http.call(entry.node.ip, site.READY_PORT, data, 1.0)
        return answer is not None and answer.status == 200

    async def publish(self, configuration: dict, timeout_s: float = 8.0) -> float:
        """Send a configuration until it is acknowledged; return that time."""
        version = configuration["version"]
        body = json.dumps(configuration).encode()
        deadline = time.monotonic() + timeout_s
        self.record.write("operator", f"sends version {version}")
        for ip in itertools.cycle(self.control_ips):
            data = http.encode(
                "PUT /v1/config HTTP/1.1",
                f"Host: {ip}:{site.CONTROL_PORT}",
                "Content-Type: application/json",
                "Connection: close",
                body=body,
            )
            answer = await http.call(ip, site.CONTROL_PORT, data, OPERATOR_TIMEOUT_S)
            status = None if answer is None else answer.status
            if status == 200:
                self.record.write("operator", f"version {version} acknowledged by {ip}")
                return self.record.now()
            if time.monotonic() > deadline:
                raise CannotRunError(f"version {version} isn't acknowledged: {status}")
            await asyncio.sleep(0.1)
        raise CannotRunError("no control node")

    async def read_version(self, ip: str) -> int | None:
        """Read the configuration's version back from a control node."""
        data = http.encode(
            "GET /v1/config HTTP/1.1",
            f"Host: {ip}:{site.CONTROL_PORT}",
            "Connection: close",
        )
        answer = await http.call(ip, site.CONTROL_PORT, data, 2.0)
        if answer is None or answer.status != 200:
            return None
        return json.loads(answer.body)["version"]

    def supervise(self) -> None:
        """Restart processes that end by themselves from now on."""
        for process in (*self.controls, *self.entries):
            self._tasks.append(asyncio.ensure_future(process.supervise()))

    async def stop(self) -> None:
        """End every process that the case started."""
        for task in self._tasks:
            task.cancel()
        for replica in self.replicas:
            await replica.stop()
        for process in (*self.entries, *self.controls):
            process.send(signal.SIGCONT)
            await process.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            target = Path(keep)
            target.mkdir(parents=True, exist_ok=True)
            for process in (*self.entries, *self.controls):
                (target / process.log_path.name).write_bytes(
                    process.log_path.read_bytes()
                )
        self._folder.cleanup()
        self._guard.close()


def _zone(number: int, zones: int) -> str:
    """Return the zone of the machine with a number, over the first `zones`."""
    return site.ZONES[(number - 1) % zones]


def _free_net() -> tuple[str, socket.socket]:
    """Return the first two numbers of a loopback network whose ports are free.

    The socket reserves it among cases that run at the same time, while it is open.
    """
    rng = random.Random()
    for _ in range(50):
        net = f"127.{rng.randrange(210, 250)}"
        guard = socket.socket()
        try:
            guard.bind((f"{net}.0.1", GUARD_PORT))
        except OSError:
            guard.close()
            continue
        if all(_is_free(f"{net}.{part}.1") for part in (1, 2)):
            return net, guard
        guard.close()
    raise CannotRunError("no free loopback network")


def _is_free(ip: str) -> bool:
    for port in PORTS:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True
