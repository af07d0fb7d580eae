"""A small deployment on loopback: programs, replicas, operator and clients.

The programs are the project's own, started with the commands of the deploy file. The
others are stand-ins that follow the users' pages. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import resource
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
CLIENT_PORT = 8221
READY_PORT = 8224
CONTROL_PORT = 8229
REPLICA_PORT = 8080
METRICS_PORT = 9464
PEER_PORTS = [7600, 7615]
HEARTBEAT_MS = 1200
HEARTBEAT_TIMEOUT_S = 1.0
CONFIG_TIMEOUT_S = 1.0
START_TIMEOUT_S = 25.0
FIRST_NETWORK = 180
NETWORKS = 60
GRACE_S = 8
BOUNDS = {
    "seedLagS": 3,
    "reuseDelayS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "syncS": 4,
    "drainMs": 2000,
    "graceS": GRACE_S,
    "lossSlackMs": 200,
    "configConvergeMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "revokeStrict": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "budgetSlack": 54,
    "quotaWindowS": 8,
    "quotaOvershoot": 0.1,
    "quotaSlack": 140000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 6.7,
}
"""Those of the site alpenraster-tdd."""
MEMORY_MB = {"entry": 150, "control": 296}
MAX_FDS = {"entry": 4200, "control": 4096}


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Lines on what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, what: str, **fields: object) -> None:
        """Append a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now:8.3f} {what} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class Answer:
    """An answer to a client; `status` 0 if there was none."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body with a length or in chunks; without either there is none."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def exchange(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float = 5.0,
) -> Answer:
    """Send a request on a connection of its own and return its answer."""
    answer = Answer(0)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join([*lines, "Connection: close", "", ""])
            writer.write(head.encode("latin-1") + body)
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split()[1])
            answer.body = await read_body(reader, answer.headers)
            answer.is_complete = True
    except (OSError, TimeoutError, EOFError, ValueError, asyncio.LimitOverrunError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


class Program:
    """One process of the project, with an address of its own."""

    def __init__(self, fleet: "Fleet", role: str, ip: str, zone: str) -> None:
        self.role, self.ip, self.zone = role, ip, zone
        self.name = f"{role}-{zone}-{ip.rpartition('.')[2]}"
        self._fleet = fleet
        self._data = fleet.folder / f"{self.name}-data"
        self._settings = fleet.folder / f"{self.name}.json"
        self.log = fleet.folder / f"{self.name}.log"
        self.takes_clients = True
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, *, bootstrap: bool) -> None:
        """Write the settings file."""
        is_entry = self.role == "entry"
        bind = (
            {
                "dataPlane": f"{self.ip}:{CLIENT_PORT}",
                "readiness": f"{self.ip}:{READY_PORT}",
            }
            if is_entry
            else {"controlPlane": f"{self.ip}:{CONTROL_PORT}"}
        )
        zones = {program.zone: "region" for program in self._fleet.programs}
        settings = {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": "edge" if is_entry else "core",
            "serves": ["edge"] if is_entry else ["control"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region",
            "zones": zones,
            "bind": bind,
            "portRange": PEER_PORTS,
            "seeds": [f"{p.ip}:{CONTROL_PORT}" for p in self._fleet.controls[:3]],
            "bootstrap": bootstrap,
            "faultDomainMember": not is_entry,
            "limits": {
                "cpuShare": 0.537,
                "vcpus": 2,
                "memoryMb": MEMORY_MB[self.role],
                "maxFds": MAX_FDS[self.role],
                "linkMbps": 1000.0,
                "diskMb": 0 if is_entry else 128,
            },
            "dataDir": None if is_entry else str(self._data),
            "discovery": "registry",
            "ingress": "vip",
            "heartbeatMs": HEARTBEAT_MS,
            "invariants": [],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "configMode": "highest",
        }
        self._settings.write_text(json.dumps(settings), encoding="utf-8")

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self._data.mkdir(exist_ok=True)
        environ = {
            n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ
        }
        environ["FUCHSIACROFT_CONFIG"] = str(self._settings)
        environ["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        command = shlex.split(self._fleet.commands[self.role])
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=REPOSITORY,
                env=environ,
                stdout=log,
                stderr=log,
                preexec_fn=partial(_allow_descriptors, MAX_FDS[self.role]),
            )
        self._fleet.record.write("started", program=self.name)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._fleet.record.write("signal", program=self.name, number=number.name)
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()

    @property
    def memory_mb(self) -> float:
        """The resident memory of the process in MiB, 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text("ascii")
        except (OSError, ProcessLookupError):
            return 0.0
        sizes = [line.split()[1] for line in status.splitlines() if "VmRSS" in line]
        return int(sizes[0]) / 1024 if sizes else 0.0

    async def is_ready(self) -> bool:
        """Whether an entry says that it is ready."""
        address = (self.ip, READY_PORT)
        answer = await exchange(
            address, "GET", "/v1/readyz", {"Host": "platform"}, timeout_s=1.0
        )
        return answer.status == 200


def _allow_descriptors(count: int) -> None:
    """Give this process as many descriptors as the machine's settings say."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(count, hard), hard))


@dataclass
class Run:
    """A request as a replica received it."""

    replica: str
    at: float
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The id of the client's attempt."""
        return self.headers.get("fuchsiacroft-attempt-id", "")


Behaviour = Callable[["Replica", Run, asyncio.StreamWriter], Awaitable[bool]]


def plain_answer(
    run: Run, status: str, body: bytes, more: tuple[str, ...] = (), *, sealed: bool
) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [
        f"HTTP/1.1 {status}",
        f"Fuchsiacroft-Attempt-Id: {run.request_id}",
        *more,
        f"Content-Length: {len(body)}",
    ]
    if sealed:
        lines.append("Fuchsiacroft-Replica-Seal: 3e1b.07.5a2.600.0.c9f2a4d1")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def answer_whole(replica: "Replica", run: Run, writer) -> bool:
    """Answer a request with a success; return that the connection stays open."""
    await asyncio.sleep(replica.work_s)
    body = f"answer of {replica.name} to {run.request_id}".encode()
    writer.write(plain_answer(run, "200 OK", body, sealed=True))
    await writer.drain()
    return True


class Replica:
    """A replica: answers requests by its behaviour, and sends heartbeats."""

    def __init__(
        self, fleet: "Fleet", name: str, service: str, ip: str, zone: str
    ) -> None:
        self.name, self.service, self.ip, self.zone = name, service, ip, zone
        self.fleet = fleet
        self.state = "ready"
        self.slots = 6
        self.work_s = 0.01
        self.behaviour: Behaviour = answer_whole
        self.beats = True
        self.version = "v1"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[Run] = []
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and send heartbeats until the end."""
        self._server = await asyncio.start_server(self._serve, self.ip, REPLICA_PORT)
        self._beating = asyncio.ensure_future(self._beat())

    async def crash(self) -> None:
        """End without a word."""
        self._beating.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def start_again(self, version: str) -> None:
        """Start again under the same id after a crash, with another version.

        The first heartbeat is due at once, unless `beats` is false.
        """
        self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ", 2)
        body = await read_body(reader, headers)
        run = Run(self.name, self.fleet.record.now, method, target, headers, body)
        expected = headers.get("fuchsiacroft-expect-replica", self.name)
        if target.startswith("/healthz"):
            text = f"Fuchsiacroft-Replica-Id: {self.name}"
            writer.write(plain_answer(run, "200 OK", b"", (text,), sealed=False))
            return True
        if expected != self.name:
            text = "Fuchsiacroft-Not-Executed: 1"
            writer.write(
                plain_answer(run, "421 Misdirected", b"", (text,), sealed=False)
            )
            return True
        self.runs.append(run)
        self.fleet.record.write(
            "arrived", replica=self.name, id=run.request_id, target=target
        )
        return await self.behaviour(self, run, writer)

    def heartbeat(self) -> dict:
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.ip}:{REPLICA_PORT}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "born": self.born,
            "sequence": self.sequence,
        }

    async def send_heartbeat(self) -> bool:
        """Send a heartbeat to the control programs in turn until one takes it."""
        body = json.dumps(self.heartbeat()).encode()
        for program in self.fleet.controls_from(self.sequence):
            answer = await exchange(
                (program.ip, CONTROL_PORT),
                "PUT",
                f"/v1/replicas/{self.name}",
                {"Host": "control", "Content-Type": "application/json"},
                body,
                timeout_s=HEARTBEAT_TIMEOUT_S,
            )
            if 200 <= answer.status < 300:
                return True
        return False

    async def _beat(self) -> None:
        while True:
            if self.beats:
                await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)


class Fleet:
    """Programs, replicas and the operator of one case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.network, self._reservation = reserve_network()
        deploy = tomllib.loads(
            (REPOSITORY / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        self.programs: list[Program] = []
        self.replicas: dict[str, Replica] = {}

    @property
    def controls(self) -> list[Program]:
        """The control programs."""
        return [program for program in self.programs if program.role == "control"]

    @property
    def entries(self) -> list[Program]:
        """The entry programs."""
        return [program for program in self.programs if program.role == "entry"]

    def controls_from(self, number: int) -> list[Program]:
        """Return the control programs, beginning with one of them."""
        controls = self.controls
        start = number % len(controls)
        return controls[start:] + controls[:start]

    def add_program(self, role: str, zone: str) -> Program:
        """Add a program, which is not started yet."""
        ip = f"{self.network}.1.{len(self.programs) + 1}"
        program = Program(self, role, ip, zone)
        self.programs.append(program)
        return program

    async def add_replica(
        self, name: str, service: str, zone: str, slots: int
    ) -> Replica:
        """Add a replica and start it."""
        ip = f"{self.network}.2.{len(self.replicas) + 1}"
        replica = Replica(self, name, service, ip, zone)
        replica.slots = slots
        self.replicas[name] = replica
        await replica.start()
        return replica

    async def start(self) -> None:
        """Start all programs for the first time."""
        for program in self.programs:
            program.write_settings(bootstrap=program.role == "control")
        for program in self.programs:
            await program.start()

    async def put_config(self, config: dict) -> bool:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(config).encode()
        deadline = time.monotonic() + START_TIMEOUT_S
        for number in range(1_000):
            program = self.controls_from(number)[0]
            answer = await exchange(
                (program.ip, CONTROL_PORT),
                "PUT",
                "/v1/config",
                {"Host": "control", "Content-Type": "application/json"},
                body,
                timeout_s=CONFIG_TIMEOUT_S,
            )
            if answer.status == 200:
                self.record.write("config", version=config["version"], status=200)
                return True
            if 400 <= answer.status < 500 or time.monotonic() > deadline:
                break
            await asyncio.sleep(0.2)
        self.record.write("config", version=config["version"], status=answer.status)
        return False

    async def wait_until_ready(self) -> None:
        """Wait until all entries are ready."""
        deadline = time.monotonic() + START_TIMEOUT_S
        for program in self.entries:
            while not await program.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{program.name} is not ready")
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End everything that was started."""
        for replica in self.replicas.values():
            with contextlib.suppress(Exception):
                await replica.crash()
        for program in self.programs:
            with contextlib.suppress(ProcessLookupError):
                await program.kill()
        if keep := os.environ.get("KEEP"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self._reservation.close()


def reserve_network() -> tuple[str, socket.socket]:
    """Return a loopback network, and the socket that keeps it from other cases."""
    for number in range(NETWORKS):
        network = f"127.{FIRST_NETWORK + (os.getpid() + number) % NETWORKS}"
        sock = socket.socket()
        try:
            sock.bind((f"{network}.0.1", METRICS_PORT))
        except OSError:
            sock.close()
        else:
            return network, sock
    raise CannotRunError("no loopback network is free")


def run_case(
    case: Callable[[Fleet, bool], Awaitable[bool]], folder: Path, limit_s: float = 110.0
) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 if it can't run.

    `case` gets the fleet and whether there is trouble, and returns whether the rule
    held.
    """
    sys.exit(asyncio.run(_run(case, folder, limit_s)))


async def _run(case, folder: Path, limit_s: float) -> int:
    record = Record(folder / "record.txt")
    fleet = Fleet(record)
    try:
        async with asyncio.timeout(limit_s):
            held = await case(fleet, os.environ.get("TROUBLE") != "0")
        record.write("verdict", rule="held" if held else "broken")
        return 0 if held else 1
    except (CannotRunError, TimeoutError, OSError) as exc:
        record.write("cannot-run", reason=repr(exc))
        return 2
    finally:
        await fleet.stop()
        record.close()
