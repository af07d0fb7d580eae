"""Tests of the console as a separate process."""

import ssl
import tempfile
from pathlib import Path

import aiohttp

from fuchsiacroft import operators_client
from fuchsiacroft.config.settings import Addresses, Member, Settings
from fuchsiacroft.console import process
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes import certificates
from fuchsiacroft.tests.fakes.ports import free_addresses

BASE = Settings(
    node="console-1",
    failure_domain="mvd-cordon",
    region="mvd",
    addresses=Addresses(operators="127.0.0.1:1"),
)


class ProcessTests(SocketTestCase):
    """Checks settings that are refused, and TLS on both listeners."""

    async def test_incomplete_settings_are_refused(self):
        with self.assertRaisesRegex(SettingsError, "addresses.console"):
            process.create(BASE)
        addresses = Addresses(operators="127.0.0.1:1", console="127.0.0.1:2")
        settings = Settings("c", "d", "r", addresses)
        with self.assertRaisesRegex(SettingsError, "control members"):
            process.create(settings)

    async def test_both_listeners_use_tls(self):
        operators, console, control = free_addresses(3)
        with tempfile.TemporaryDirectory() as folder:
            settings = Settings(
                node="console-1",
                failure_domain="mvd-cordon",
                region="mvd",
                addresses=Addresses(operators=operators, console=console),
                control=[Member("control-1", "d", control, control)],
                tls=certificates.write_certificate(Path(folder)),
            )
            kernel = process.create(settings)
            trusting_context = ssl.create_default_context(cafile=settings.tls.ca)
        await kernel.start()
        self.addAsyncCleanup(kernel.stop)
        async with operators_client.create([], "", trusting_context) as client:
            state = await client.get_dump(operators)
        self.assertEqual({"pages_shown": 0}, state.ok["console"])
        async with operators_client.create([], "") as client:
            self.assertTrue((await client.get_dump(operators)).is_error())
        connector = aiohttp.TCPConnector(ssl=trusting_context)
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            session.get(f"https://{console}/login") as res,
        ):
            self.assertEqual(200, res.status)
