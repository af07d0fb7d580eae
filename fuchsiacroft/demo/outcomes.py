"""The outcomes that the demo shows and checks."""

import asyncio
import statistics
import time
import uuid
from collections.abc import Callable

import aiohttp
import msgspec
from expression import Result

from fuchsiacroft import operators_client
from fuchsiacroft.config.document import Document
from fuchsiacroft.demo.caller import Caller
from fuchsiacroft.demo.system import DemoSystem, with_key
from fuchsiacroft.operators_client import Change, OperatorsClient
from fuchsiacroft.utils.clock import now

IN_FORCE_TIMEOUT_S = 10.0
POLL_PERIOD_S = 0.05
# Per tier: number of requests, and tokens of each answer.
BATCH = (24, 60)
DESK = (6, 20)
COUNTER = (6, 8)
BATCH_HEAD_START_S = 0.2
LEAVING_S = 2.0
LONG_ANSWER_TOKENS = 400
REQUESTS_WHILE_LEAVING = 8

PrintLine = Callable[[str], None]


class Demo:
    """Shows the outcomes in sequence; `failed` counts those that did not hold."""

    def __init__(
        self, system: DemoSystem, session: aiohttp.ClientSession, print_line: PrintLine
    ) -> None:
        self._system = system
        self._session = session
        self._print_line = print_line
        self._caller = Caller(session, system.caller_addresses)
        self._key = system.workspace_key
        self.failed = 0

    async def show(self) -> None:
        """Show every outcome."""
        client = operators_client.create(
            [self._system.control_address], self._system.operator_token
        )
        async with client:
            document = self._system.document()
            await self._show_document(client, document)
            await self._show_tiers()
            await self._show_booking()
            await self._show_leaving()
            await self._show_change(client, document)

    def _check(self, held: bool, text: str) -> None:
        self._print_line(f"  {'held' if held else 'NOT HELD'}: {text}")
        self.failed += not held

    async def _show_document(self, client: OperatorsClient, document: Document) -> None:
        self._print_line("\nAn operators' document takes effect everywhere")
        seconds = await self._apply(client, document, 0)
        entries = len(self._system.operator_addresses)
        self._check(
            seconds is not None,
            f"version 1 in force on {entries} entries{_format_delay(seconds)}",
        )
        answer = await self._caller.complete(self._key, "counter", 1)
        self._check(answer.is_complete, f"first answer after {answer.seconds:.2f} s")

    async def _show_tiers(self) -> None:
        self._print_line(
            "\nThree tiers: 24 long batch requests, then 6 desk and 6 counter"
        )
        batch = asyncio.gather(*self._requests("batch", *BATCH))
        await asyncio.sleep(BATCH_HEAD_START_S)
        urgent = asyncio.gather(
            *self._requests("desk", *DESK), *self._requests("counter", *COUNTER)
        )
        answers = {"batch": await batch}
        urgent_answers = await urgent
        answers["desk"] = urgent_answers[: DESK[0]]
        answers["counter"] = urgent_answers[DESK[0] :]
        means = {}
        for tier in ("counter", "desk", "batch"):
            means[tier] = statistics.fmean(a.seconds for a in answers[tier])
            longest = max(a.seconds for a in answers[tier])
            self._print_line(
                f"  {tier:8} {len(answers[tier])} requests, complete answer after "
                f"{means[tier]:.2f} s on average, {longest:.2f} s at most"
            )
        all_complete = all(a.is_complete for group in answers.values() for a in group)
        self._check(all_complete, "every request got a complete answer")
        ordered = means["counter"] < means["desk"] < means["batch"]
        self._check(ordered, "more urgent tiers were answered sooner on average")

    async def _show_booking(self) -> None:
        self._print_line(
            "\nA booking confirmation sent three times, through both entries"
        )
        booking = f"booking-{uuid.uuid4().hex[:8]}"
        answers = [
            await self._caller.confirm_booking(self._key, booking) for _ in range(3)
        ]
        identical = len({(a.status, a.body) for a in answers}) == 1
        self._check(
            identical and answers[0].status == 200, "each try got the same answer"
        )
        counts = await self._counts("bookings-1")
        runs = counts["bodies"].get(booking, 0)
        self._check(runs == 1, f"it ran {runs} time(s) on the backend server")

    async def _show_leaving(self) -> None:
        self._print_line("\nA backend server leaves while a request runs on it")
        running = asyncio.ensure_future(
            self._caller.complete(self._key, "desk", LONG_ANSWER_TOKENS)
        )
        leaving = await self._wait_busy_engine()
        self._system.stand_ins[leaving].announcer.leave()
        self._print_line(f"  {leaving} announces that it is leaving")
        await asyncio.sleep(LEAVING_S)
        before = len((await self._counts(leaving))["started"])
        others = await asyncio.gather(
            *self._requests("counter", REQUESTS_WHILE_LEAVING, COUNTER[1])
        )
        after = len((await self._counts(leaving))["started"])
        still_running = not running.done()
        answer = await running
        self._check(
            after == before and still_running,
            f"{after - before} of {len(others)} new requests were sent to it",
        )
        self._check(
            all(a.is_complete for a in others), "each of them got a complete answer"
        )
        self._check(
            answer.is_complete and answer.attempts == 1,
            f"its running request was answered completely after {answer.seconds:.2f} s",
        )

    async def _show_change(self, client: OperatorsClient, document: Document) -> None:
        self._print_line("\nA configuration change: the workspace gets another key")
        new_key = f"{self._key}-2"
        before = await self._caller.complete(new_key, "counter", 1)
        seconds = await self._apply(client, with_key(document, new_key), 1)
        self._check(seconds is not None, f"version 2 in force{_format_delay(seconds)}")
        after = [await self._caller.complete(new_key, "counter", 1) for _ in range(2)]
        self._check(
            before.status == 401 and all(answer.is_complete for answer in after),
            "the new key was refused before and is served by both entries now",
        )

    def _requests(self, tier: str, count: int, tokens: int):
        return [self._caller.complete(self._key, tier, tokens) for _ in range(count)]

    async def _apply(
        self, client: OperatorsClient, document: Document, base_version: int
    ) -> float | None:
        """Apply a document; return the seconds until in force everywhere, or None."""
        started_at = now()
        data = msgspec.json.encode(document)
        change = Change(data, base_version, uuid.uuid4().hex, "demo")
        answer = await client.submit_change(change)
        if answer.is_error():
            self._print_line(f"  {answer.error}")
            return None
        while now() < started_at + IN_FORCE_TIMEOUT_S:
            dumps = await client.get_dumps(
                list(self._system.operator_addresses.values())
            )
            if all(_version(dump) >= answer.ok.version for dump in dumps.values()):
                return now() - started_at
            await asyncio.sleep(POLL_PERIOD_S)
        return None

    async def _wait_busy_engine(self) -> str:
        while True:
            for name in self._system.stand_ins:
                if (await self._counts(name)).get("running"):
                    return name
            await asyncio.sleep(POLL_PERIOD_S)

    async def _counts(self, name: str) -> dict:
        address = self._system.stand_ins[name].address
        async with self._session.get(f"http://{address}/counts") as res:
            return await res.json()


async def show(system: DemoSystem, print_line: PrintLine) -> int:
    """Start the system, show all outcomes, stop it; return the number that failed."""
    started_at = time.monotonic()
    timeout = aiohttp.ClientTimeout(total=30)
    connector = aiohttp.TCPConnector(limit=0)
    await system.start()
    try:
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            demo = Demo(system, session, print_line)
            await demo.show()
    finally:
        await system.stop()
    print_line(
        f"\n{time.monotonic() - started_at:.1f} s; outcomes not held: {demo.failed}"
    )
    return demo.failed


def _version(dump: Result[dict, str]) -> int:
    match dump:
        case Result(tag="ok", ok=state):
            return state["document"]["version"]
    return -1


def _format_delay(seconds: float | None) -> str:
    return "" if seconds is None else f" after {seconds:.3f} s"
