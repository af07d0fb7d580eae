"""Tests of asking replicas when they started."""

from fuchsiacroft.kernel import Kernel
from fuchsiacroft.platform import start_probe
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.tests.fakes.replica import Replica, response

ANSWERS = {
    "its start": (b'{"stage": "unified", "born": 1700000000123}', "200 OK"),
    "no start": (b'{"stage": "unified"}', "200 OK"),
    "another type": (b'{"born": "1700000000123"}', "200 OK"),
    "no text": (b"\xff\xfe", "200 OK"),
    "a refusal": (b'{"born": 1700000000123}', "421 Misdirected Request"),
}


class StartProbeTests(SocketTestCase):
    """One replica, which answers in different ways."""

    async def asyncSetUp(self):
        self.probe = start_probe.create()
        await self.probe.start(Kernel())
        self.addAsyncCleanup(self.probe.stop)
        self.replica = Replica("i-1", free_address())
        await self.replica.start()
        self.addAsyncCleanup(self.replica.stop)

    async def ask(self) -> str | None:
        return await self.probe.ask("i-1", self.replica.address)

    async def test_an_answer_without_a_start_is_taken_for_one(self):
        for name, (body, status) in ANSWERS.items():

            async def answer(req, writer, body=body, status=status):
                writer.write(response(req, body, status))

            self.replica.handler = answer
            expected = "1700000000123" if name == "its start" else None
            with self.subTest(name):
                self.assertEqual(expected, await self.ask())

    async def test_another_replica_at_the_address_is_asked(self):
        await self.ask()
        [asked] = self.replica.received
        self.assertEqual("i-1", asked.get("Fuchsiacroft-Expect-Replica"))
        self.assertEqual("GET /v1/report HTTP/1.1", asked.request_line)

    async def test_a_replica_that_has_ended_is_awaited(self):
        await self.replica.stop()
        self.assertIsNone(await self.ask())
