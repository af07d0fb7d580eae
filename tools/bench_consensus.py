"""Measure the replicated log: 3 members as processes on loopback, real syncs.

Run `python tools/bench_consensus.py`; `--only=commits` or another part runs
that part. Every process is started, and ended by its id, by this script.
"""

import asyncio
import json
import resource
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import uvloop
from absl import app, flags

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from fuchsiacroft.config.settings import Addresses, Member, Settings  # noqa: E402
from fuchsiacroft.control import consensus, storage  # noqa: E402
from fuchsiacroft.control.log import StateMachine  # noqa: E402
from fuchsiacroft.kernel import Kernel  # noqa: E402
from fuchsiacroft.tests.fakes.ports import free_address  # noqa: E402
from fuchsiacroft.transport import codec, zmq_bus  # noqa: E402
from fuchsiacroft.utils import logs  # noqa: E402

FLAGS = flags.FLAGS

MEMBERS = 3
PREFIX = "bench-data-"
READY_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 60.0
POLL_S = 0.01


@codec.message("bench.claim")
class Claim(msgspec.Struct, frozen=True):
    """A command about the size of a claim in the ledger."""

    workspace: str
    key: str
    fingerprint: bytes


@codec.message("bench.call")
class Call(msgspec.Struct, frozen=True):
    """What the benchmark asks of a member."""

    name: str
    count: int = 0
    clients: int = 1


@codec.message("bench.result")
class CallResult(msgspec.Struct, frozen=True):
    """JSON that a member answers."""

    data: str


class CountMachine(StateMachine):
    """Counts claims and keeps the last."""

    def __init__(self) -> None:
        self.count = 0

    @property
    def commands(self):
        """Return the one command."""
        return (Claim,)

    def apply(self, index, command):
        """Count the claim."""
        self.count += 1

    def snapshot(self) -> bytes:
        """Return the count."""
        return msgspec.msgpack.encode(self.count)

    def restore(self, data: bytes) -> None:
        """Replace the count."""
        self.count = msgspec.msgpack.decode(data, type=int)


class Process:
    """The member that runs in a process of its own."""

    def __init__(self, settings: Settings) -> None:
        self.bus = zmq_bus.create(settings.node, settings.addresses.peers)
        held = storage.create(settings.data_folder, settings.node)
        self.machine = CountMachine()
        self.log = consensus.create(settings, self.bus, held)
        self.log.register_state_machine("count", self.machine)

    async def run(self) -> None:
        """Start and answer calls until the process is ended."""
        self.bus.register_handler(Call, self._on_call)
        await self.bus.start(Kernel())
        await self.log.start(Kernel())
        await asyncio.Event().wait()

    async def _on_call(self, sender: str, call: Call) -> CallResult:
        data = await getattr(self, f"_call_{call.name}")(call)
        return CallResult(json.dumps(data))

    async def _call_state(self, call: Call) -> dict:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "leader": self.log.is_leader,
            "count": self.machine.count,
            "voters": [
                voter.identity for voter in self.log.member.configuration.voters()
            ],
            "identity": self.log.member.identity,
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "rss_mb": usage.ru_maxrss / 1024,
            "sent_bytes": self.bus.dump()["counts"].get("sent_bytes", 0),
            "syncs": self.log.dump()["storage"]["syncs"],
        }

    async def _call_dump(self, call: Call) -> dict:
        return {"log": self.log.dump(), "bus": self.bus.dump()}

    async def _call_rate(self, call: Call) -> dict:
        """Propose `count` claims at even intervals, `clients` a second."""
        latencies: list[float] = []
        failures = 0
        loop = asyncio.get_running_loop()

        async def propose(number: int, due: float) -> None:
            nonlocal failures
            claim = Claim("workspace-1", f"key-{number}", bytes(16))
            outcome = await self.log.propose(claim, 10.0)
            latencies.append(time.perf_counter() - due)
            failures += outcome.is_error()

        began = time.perf_counter()
        tasks = []
        for number in range(call.count):
            due = began + number / call.clients
            rest = due - time.perf_counter()
            if rest > 0:
                await asyncio.sleep(rest)
            tasks.append(loop.create_task(propose(number, due)))
        await asyncio.gather(*tasks)
        took = time.perf_counter() - began
        return {"took_s": took, "failures": failures, "latencies": latencies}

    async def _call_commit(self, call: Call) -> dict:
        """Propose claims from some clients at once; return the latencies."""
        latencies: list[float] = []
        failures = 0

        async def client(number: int) -> None:
            nonlocal failures
            for turn in range(call.count // call.clients):
                claim = Claim("workspace-1", f"key-{number}-{turn}", bytes(16))
                began = time.perf_counter()
                outcome = await self.log.propose(claim, 10.0)
                latencies.append(time.perf_counter() - began)
                failures += outcome.is_error()

        began = time.perf_counter()
        await asyncio.gather(*(client(number) for number in range(call.clients)))
        took = time.perf_counter() - began
        return {"took_s": took, "failures": failures, "latencies": latencies}


class Bench:
    """Starts the members and asks them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.addresses = [free_address() for _ in range(MEMBERS)]
        self.processes: list[subprocess.Popen | None] = [None] * MEMBERS
        self.bus = zmq_bus.create("bench", free_address())

    def start(self, number: int) -> None:
        """Start a member's process."""
        members = [
            Member(f"control-{n}", "hall-lausanne", address)
            for n, address in enumerate(self.addresses)
        ]
        address = self.addresses[number]
        settings = Settings(
            f"control-{number}",
            "hall-lausanne",
            "ch",
            Addresses(address, peers=address),
            members,
            data_folder=str(self.folder / f"control-{number}"),
        )
        path = self.folder / f"control-{number}.json"
        path.write_bytes(msgspec.json.encode(settings))
        args = [sys.executable, __file__, f"--member={path}"]
        self.processes[number] = subprocess.Popen(args)

    def end(self, number: int) -> None:
        """Kill a member's process."""
        process = self.processes[number]
        if process is not None:
            process.send_signal(signal.SIGKILL)
            process.wait()
        self.processes[number] = None

    async def ask(self, number: int, call: Call, timeout: float = CALL_TIMEOUT_S):
        """Return a member's answer, or None."""
        answer = await self.bus.request(self.addresses[number], call, timeout)
        return json.loads(answer.ok.data) if answer.is_ok() else None

    async def leader(self) -> int:
        """Return the leader's number once there is one."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            for number, process in enumerate(self.processes):
                if process is None:
                    continue
                state = await self.ask(number, Call("state"), 0.2)
                if state is not None and state["leader"]:
                    return number
            await asyncio.sleep(POLL_S)
        raise TimeoutError("no leader")

    async def commits(self) -> None:
        """Measure synced commits a second and their latency, by clients."""
        leader = await self.leader()
        follower = (leader + 1) % MEMBERS
        for place, number in (("leader", leader), ("follower", follower)):
            for clients in (1, 8, 16, 32, 64):
                count = clients * max(FLAGS.commits // clients // 8, 100)
                call = Call("commit", count, clients)
                before = await self.ask(number, Call("state"))
                data = await self.ask(number, call)
                if data is None:
                    await self._show_stall(place, clients)
                    continue
                after = await self.ask(number, Call("state"))
                cuts = statistics.quantiles(data["latencies"], n=1000)
                syncs = after["syncs"] - before["syncs"]
                print(
                    f"commits at={place} clients={clients} count={count} "
                    f"failures={data['failures']} "
                    f"per_s={count / data['took_s']:.0f} "
                    f"p50_ms={cuts[499] * 1000:.1f} p99_ms={cuts[989] * 1000:.1f} "
                    f"syncs={syncs}"
                )

    async def _show_stall(self, place: str, clients: int) -> None:
        """Print every member's state after a call without an answer."""
        print(f"commits at={place} clients={clients} no answer")
        for number in range(MEMBERS):
            print(json.dumps(await self.ask(number, Call("dump"), 2.0)))

    async def rate(self) -> None:
        """Measure the latency at fixed rates, from the time that each was due."""
        leader = await self.leader()
        for rate in (1000, 2000, 4000):
            call = Call("rate", rate * FLAGS.rate_s, rate)
            data = await self.ask(leader, call)
            cuts = statistics.quantiles(data["latencies"], n=1000)
            print(
                f"rate asked_per_s={rate} seconds={FLAGS.rate_s} "
                f"failures={data['failures']} "
                f"per_s={call.count / data['took_s']:.0f} "
                f"p50_ms={cuts[499] * 1000:.1f} p99_ms={cuts[989] * 1000:.1f} "
                f"p999_ms={cuts[998] * 1000:.1f}"
            )

    async def failover(self) -> None:
        """Measure the time from the leader's death to the next commit."""
        times = []
        for _ in range(FLAGS.failovers):
            leader = await self.leader()
            began = time.monotonic()
            self.end(leader)
            follower = (leader + 1) % MEMBERS
            await self.leader()
            elected = time.monotonic() - began
            data = await self.ask(follower, Call("commit", 1, 1))
            committed = time.monotonic() - began
            times.append(elected)
            print(
                f"failover elected_s={elected:.2f} committed_s={committed:.2f} "
                f"failures={data['failures']}"
            )
            self.start(leader)
            await self._whole()
        print(f"failover runs={len(times)} worst_s={max(times):.2f}")

    async def _whole(self) -> None:
        """Wait until every member has applied as much as the leader."""
        leader = await self.leader()
        while True:
            states = [await self.ask(n, Call("state"), 0.5) for n in range(MEMBERS)]
            if all(states) and len({state["count"] for state in states}) == 1:
                return
            leader = leader if states[leader] else await self.leader()
            await asyncio.sleep(POLL_S)

    async def catchup(self) -> None:
        """Measure how soon a restarted member has 300 missed changes."""
        leader = await self.leader()
        follower = (leader + 1) % MEMBERS
        self.end(follower)
        await self.ask(leader, Call("commit", FLAGS.missed, 10))
        await asyncio.sleep(FLAGS.down_s)
        wanted = (await self.ask(leader, Call("state")))["count"]
        began = time.monotonic()
        self.start(follower)
        answered = None
        while True:
            state = await self.ask(follower, Call("state"), 0.2)
            if state is not None and answered is None:
                answered = time.monotonic()
            if state is not None and state["count"] >= wanted:
                break
            await asyncio.sleep(POLL_S)
        done = time.monotonic()
        print(
            f"catchup missed={FLAGS.missed} down_s={FLAGS.down_s} "
            f"from_process_start_s={done - began:.2f} "
            f"from_first_answer_s={done - answered:.2f}"
        )

    async def replace(self) -> None:
        """Measure how soon a member with an emptied folder votes again."""
        leader = await self.leader()
        follower = (leader + 1) % MEMBERS
        self.end(follower)
        shutil.rmtree(self.folder / f"control-{follower}")
        began = time.monotonic()
        self.start(follower)
        while True:
            state = await self.ask(follower, Call("state"), 0.2)
            voters = (await self.ask(leader, Call("state")))["voters"]
            if state is not None and state["identity"] in voters:
                break
            await asyncio.sleep(POLL_S)
        print(f"replace voter_again_s={time.monotonic() - began:.2f}")

    async def idle(self) -> None:
        """Measure what an idle leader and follower cost."""
        leader = await self.leader()
        await asyncio.sleep(1)
        for name, number in (("leader", leader), ("follower", (leader + 1) % MEMBERS)):
            before = await self.ask(number, Call("state"))
            await asyncio.sleep(FLAGS.idle_s)
            after = await self.ask(number, Call("state"))
            cpu = (after["cpu_s"] - before["cpu_s"]) / FLAGS.idle_s
            sent = (after["sent_bytes"] - before["sent_bytes"]) / FLAGS.idle_s
            print(
                f"idle role={name} seconds={FLAGS.idle_s} cpu_share={cpu * 100:.2f}% "
                f"max_rss_mb={after['rss_mb']:.0f} sent_bytes_per_s={sent:.0f}"
            )


async def bench() -> None:
    """Run the parts asked for, then end every process."""
    parts = FLAGS.only or ["rate", "commits", "catchup", "replace", "idle", "failover"]
    end = asyncio.current_task().cancel
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, end)
    with tempfile.TemporaryDirectory(dir=FLAGS.folder, prefix=PREFIX) as folder:
        run = Bench(Path(folder))
        await run.bus.start(Kernel())
        try:
            for number in range(MEMBERS):
                run.start(number)
            for part in parts:
                await getattr(run, part)()
        finally:
            for number in range(MEMBERS):
                run.end(number)
            await run.bus.stop()


def main(argv: list[str]) -> None:
    """Run the benchmark, or one member of it."""
    if not FLAGS.member:
        uvloop.run(bench())
        return
    logs.configure("WARNING")
    data = Path(FLAGS.member).read_bytes()
    settings = msgspec.json.decode(data, type=Settings)

    async def member() -> None:
        await Process(settings).run()

    uvloop.run(member())


if __name__ == "__main__":
    flags.DEFINE_string("member", "", "Run the member of this settings file.")
    flags.DEFINE_string("folder", str(ROOT), "Where the data folders are put.")
    flags.DEFINE_list("only", [], "The parts to run.")
    flags.DEFINE_integer("commits", 40_000, "About how many commits to measure.")
    flags.DEFINE_integer("rate_s", 10, "How long to propose at each rate.")
    flags.DEFINE_integer("missed", 300, "Changes missed by the stopped member.")
    flags.DEFINE_integer("down_s", 5, "How long the stopped member stays down.")
    flags.DEFINE_integer("failovers", 5, "How often to kill the leader.")
    flags.DEFINE_integer("idle_s", 10, "How long to watch each idle member.")
    app.run(main)
