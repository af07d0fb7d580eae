"""Measure the replicated log with 3 member processes on loopback and real syncs.

Run `python tools/bench_consensus.py`, with `--only=commits` to run only that part.
The script starts every process, and kills only processes that it started.
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
    """A command of about the size of a ledger claim."""

    workspace: str
    key: str
    fingerprint: bytes


@codec.message("bench.call")
class Call(msgspec.Struct, frozen=True):
    """A call from the benchmark to a member."""

    name: str
    count: int = 0
    clients: int = 1


@codec.message("bench.result")
class CallResult(msgspec.Struct, frozen=True):
    """A member's response as JSON."""

    data: str


class CountingStateMachine(StateMachine):
    """A state machine that counts claims."""

    def __init__(self) -> None:
        self.count = 0

    @property
    def commands(self):
        """The command type of the state machine."""
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


class BenchMember:
    """One member, run in its own process."""

    def __init__(self, settings: Settings) -> None:
        self.bus = zmq_bus.create(settings.node, settings.addresses.peers)
        member_storage = storage.create(settings.data_folder, settings.node)
        self.machine = CountingStateMachine()
        self.log = consensus.create(settings, self.bus, member_storage)
        self.log.register_state_machine("count", self.machine)

    async def run(self) -> None:
        """Start the member and serve calls until the process is killed."""
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
        """Propose `count` claims at regular intervals, `clients` per second."""
        latencies: list[float] = []
        failures = 0
        loop = asyncio.get_running_loop()

        async def propose(number: int, due: float) -> None:
            nonlocal failures
            claim = Claim("workspace-1", f"key-{number}", bytes(16))
            outcome = await self.log.propose(claim, 10.0)
            latencies.append(time.perf_counter() - due)
            failures += outcome.is_error()

        started_at = time.perf_counter()
        tasks = []
        for number in range(call.count):
            due = started_at + number / call.clients
            delay_s = due - time.perf_counter()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            tasks.append(loop.create_task(propose(number, due)))
        await asyncio.gather(*tasks)
        elapsed_s = time.perf_counter() - started_at
        return {"took_s": elapsed_s, "failures": failures, "latencies": latencies}

    async def _call_commit(self, call: Call) -> dict:
        """Propose claims from concurrent clients; return the latencies."""
        latencies: list[float] = []
        failures = 0

        async def client(number: int) -> None:
            nonlocal failures
            for turn in range(call.count // call.clients):
                claim = Claim("workspace-1", f"key-{number}-{turn}", bytes(16))
                started_at = time.perf_counter()
                outcome = await self.log.propose(claim, 10.0)
                latencies.append(time.perf_counter() - started_at)
                failures += outcome.is_error()

        started_at = time.perf_counter()
        await asyncio.gather(*(client(number) for number in range(call.clients)))
        elapsed_s = time.perf_counter() - started_at
        return {"took_s": elapsed_s, "failures": failures, "latencies": latencies}


class Bench:
    """Starts the member processes and runs the measurements."""

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

    def kill(self, number: int) -> None:
        """Kill a member's process."""
        process = self.processes[number]
        if process is not None:
            process.send_signal(signal.SIGKILL)
            process.wait()
        self.processes[number] = None

    async def call(self, number: int, call: Call, timeout: float = CALL_TIMEOUT_S):
        """Return a member's response, or None if there is none."""
        answer = await self.bus.request(self.addresses[number], call, timeout)
        return json.loads(answer.ok.data) if answer.is_ok() else None

    async def leader(self) -> int:
        """Wait until a leader is elected and return its number."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            for number, process in enumerate(self.processes):
                if process is None:
                    continue
                state = await self.call(number, Call("state"), 0.2)
                if state is not None and state["leader"]:
                    return number
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"no leader within {READY_TIMEOUT_S} s")

    async def commits(self) -> None:
        """Measure commits per second and their latency by number of clients."""
        leader = await self.leader()
        follower = (leader + 1) % MEMBERS
        for role, number in (("leader", leader), ("follower", follower)):
            for clients in (1, 8, 16, 32, 64):
                count = clients * max(FLAGS.commits // clients // 8, 100)
                call = Call("commit", count, clients)
                before = await self.call(number, Call("state"))
                data = await self.call(number, call)
                if data is None:
                    await self._print_stall(role, clients)
                    continue
                after = await self.call(number, Call("state"))
                cuts = statistics.quantiles(data["latencies"], n=1000)
                syncs = after["syncs"] - before["syncs"]
                print(
                    f"commits at={role} clients={clients} count={count} "
                    f"failures={data['failures']} "
                    f"per_s={count / data['took_s']:.0f} "
                    f"p50_ms={cuts[499] * 1000:.1f} p99_ms={cuts[989] * 1000:.1f} "
                    f"syncs={syncs}"
                )

    async def _print_stall(self, role: str, clients: int) -> None:
        """Print every member's state after a call without a response."""
        print(f"commits at={role} clients={clients} no answer")
        for number in range(MEMBERS):
            print(json.dumps(await self.call(number, Call("dump"), 2.0)))

    async def rate(self) -> None:
        """Measure the latency at fixed rates, from each proposal's scheduled time."""
        leader = await self.leader()
        for rate in (1000, 2000, 4000):
            call = Call("rate", rate * FLAGS.rate_s, rate)
            data = await self.call(leader, call)
            cuts = statistics.quantiles(data["latencies"], n=1000)
            print(
                f"rate asked_per_s={rate} seconds={FLAGS.rate_s} "
                f"failures={data['failures']} "
                f"per_s={call.count / data['took_s']:.0f} "
                f"p50_ms={cuts[499] * 1000:.1f} p99_ms={cuts[989] * 1000:.1f} "
                f"p999_ms={cuts[998] * 1000:.1f}"
            )

    async def failover(self) -> None:
        """Measure the time from a leader crash to the next commit."""
        times = []
        for _ in range(FLAGS.failovers):
            leader = await self.leader()
            started_at = time.monotonic()
            self.kill(leader)
            follower = (leader + 1) % MEMBERS
            await self.leader()
            elected = time.monotonic() - started_at
            data = await self.call(follower, Call("commit", 1, 1))
            committed = time.monotonic() - started_at
            times.append(elected)
            print(
                f"failover elected_s={elected:.2f} committed_s={committed:.2f} "
                f"failures={data['failures']}"
            )
            self.start(leader)
            await self._wait_caught_up()
        print(f"failover runs={len(times)} worst_s={max(times):.2f}")

    async def _wait_caught_up(self) -> None:
        """Wait until every member has applied the same number of commands."""
        leader = await self.leader()
        while True:
            states = [await self.call(n, Call("state"), 0.5) for n in range(MEMBERS)]
            if all(states) and len({state["count"] for state in states}) == 1:
                return
            leader = leader if states[leader] else await self.leader()
            await asyncio.sleep(POLL_S)

    async def catchup(self) -> None:
        """Measure how long a restarted member takes to apply `--missed` changes."""
        leader = await self.leader()
        follower = (leader + 1) % MEMBERS
        self.kill(follower)
        await self.call(leader, Call("commit", FLAGS.missed, 10))
        await asyncio.sleep(FLAGS.down_s)
        expected = (await self.call(leader, Call("state")))["count"]
        started_at = time.monotonic()
        self.start(follower)
        answered = None
        while True:
            state = await self.call(follower, Call("state"), 0.2)
            if state is not None and answered is None:
                answered = time.monotonic()
            if state is not None and state["count"] >= expected:
                break
            await asyncio.sleep(POLL_S)
        done = time.monotonic()
        print(
            f"catchup missed={FLAGS.missed} down_s={FLAGS.down_s} "
            f"from_process_start_s={done - started_at:.2f} "
            f"from_first_answer_s={done - answered:.2f}"
        )

    async def replace(self) -> None:
        """Measure how long a member with a deleted data folder takes to vote again."""
        leader = await self.leader()
        follower = (leader + 1) % MEMBERS
        self.kill(follower)
        shutil.rmtree(self.folder / f"control-{follower}")
        started_at = time.monotonic()
        self.start(follower)
        while True:
            state = await self.call(follower, Call("state"), 0.2)
            voters = (await self.call(leader, Call("state")))["voters"]
            if state is not None and state["identity"] in voters:
                break
            await asyncio.sleep(POLL_S)
        print(f"replace voter_again_s={time.monotonic() - started_at:.2f}")

    async def idle(self) -> None:
        """Measure the cost of an idle leader and an idle follower."""
        leader = await self.leader()
        await asyncio.sleep(1)
        for name, number in (("leader", leader), ("follower", (leader + 1) % MEMBERS)):
            before = await self.call(number, Call("state"))
            await asyncio.sleep(FLAGS.idle_s)
            after = await self.call(number, Call("state"))
            cpu = (after["cpu_s"] - before["cpu_s"]) / FLAGS.idle_s
            sent = (after["sent_bytes"] - before["sent_bytes"]) / FLAGS.idle_s
            print(
                f"idle role={name} seconds={FLAGS.idle_s} cpu_share={cpu * 100:.2f}% "
                f"max_rss_mb={after['rss_mb']:.0f} sent_bytes_per_s={sent:.0f}"
            )


async def bench() -> None:
    """Run the selected parts, then kill every process."""
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
                run.kill(number)
            await run.bus.stop()


def main(argv: list[str]) -> None:
    """Run the benchmark, or one member if `--member` is set."""
    if not FLAGS.member:
        uvloop.run(bench())
        return
    logs.configure("WARNING")
    data = Path(FLAGS.member).read_bytes()
    settings = msgspec.json.decode(data, type=Settings)

    async def member() -> None:
        await BenchMember(settings).run()

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
