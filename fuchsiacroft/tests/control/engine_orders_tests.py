"""Tests of orders over HTTP against the simulated engine."""

from aiohttp import web

from fuchsiacroft.control import engine_orders
from fuchsiacroft.control.engine_orders import EngineOrder, SendError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.standin.orders import OrderExecutor
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.utils.http import Listener


class EngineOrdersTests(SocketTestCase):
    """HTTP responses of an engine are mapped to results."""

    async def asyncSetUp(self):
        self.sender = engine_orders.create()
        await self.sender.start(Kernel())
        self.addAsyncCleanup(self.sender.stop)

    async def serve(self, checks_fencing):
        app = web.Application()
        OrderExecutor(checks_fencing, load_s=0.0).add_routes(app)
        address = free_address()
        listener = Listener(app, address)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        return address

    async def test_an_order_is_executed(self):
        address = await self.serve(True)
        sent = await self.sender.send(address, EngineOrder("1", 7, "load", "a"))
        self.assertTrue(sent.is_ok())

    async def test_an_old_fencing_token_is_rejected(self):
        address = await self.serve(True)
        await self.sender.send(address, EngineOrder("1", 7, "load", "a"))
        sent = await self.sender.send(address, EngineOrder("2", 6, "unload", "a"))
        self.assertIs(SendError.FENCED, sent.error)

    async def test_an_engine_may_ignore_fencing_tokens(self):
        address = await self.serve(False)
        await self.sender.send(address, EngineOrder("1", 7, "load", "a"))
        sent = await self.sender.send(address, EngineOrder("2", 6, "unload", "a"))
        self.assertTrue(sent.is_ok())

    async def test_a_stopped_engine_gives_no_answer(self):
        sent = await self.sender.send(free_address(), EngineOrder("1", 7, "load"))
        self.assertIs(SendError.NO_ANSWER, sent.error)
