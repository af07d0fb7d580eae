"""Tests for the operator API of the quarantine."""

import aiohttp

from fuchsiacroft import operations
from fuchsiacroft.config.document import hash_key
from fuchsiacroft.config.settings import Addresses, Settings
from fuchsiacroft.entry import quarantine_api
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.model.network import MemoryNetwork
from fuchsiacroft.quarantine import service as quarantine
from fuchsiacroft.quarantine.evidence import Treatment
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.utils.metrics import Metrics

TOKEN = {"Authorization": "Bearer operator"}


class QuarantineApiTests(SocketTestCase):
    """An operator with a token can list and lift quarantined requests."""

    async def asyncSetUp(self):
        address = free_address()
        self.url = f"http://{address}/v1/quarantine"
        settings = Settings("e", "d", "r", Addresses(operators=address))
        self.quarantine = quarantine.create_for(settings)
        ops = operations.create(address, Metrics())
        kernel = Kernel()
        for service in (
            MemoryNetwork().bus("e", "10.0.0.1:1"),
            self.quarantine,
            quarantine_api.create(ops, [hash_key("operator")]),
            ops,
        ):
            kernel.add(service)
        await kernel.start()
        self.addAsyncCleanup(kernel.stop)
        self.quarantine.record_crash("death-1", {"bad"})
        self.quarantine.record_crash("death-2", {"bad"})
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def test_lifted_request_may_run_again(self):
        self.assertIs(Treatment.REFUSED, self.quarantine.treatment({"bad"}))
        async with self.session.get(self.url, headers=TOKEN) as res:
            self.assertTrue((await res.json())["bad"]["quarantined"])
        async with self.session.delete(f"{self.url}/bad", headers=TOKEN) as res:
            self.assertEqual(200, res.status)
        self.assertIs(Treatment.UNRESTRICTED, self.quarantine.treatment({"bad"}))

    async def test_quarantined_content_is_counted(self):
        metrics_url = self.url.replace("/v1/quarantine", "/metrics")
        async with self.session.get(metrics_url) as res:
            self.assertIn("fuchsiacroft_quarantined_content 1", await res.text())

    async def test_missing_token_is_rejected(self):
        for call in (self.session.get, self.session.delete):
            async with call(f"{self.url}/bad") as res:
                self.assertEqual(401, res.status)
        self.assertIs(Treatment.REFUSED, self.quarantine.treatment({"bad"}))

    async def test_unknown_content_is_not_found(self):
        async with self.session.delete(f"{self.url}/other", headers=TOKEN) as res:
            self.assertEqual(404, res.status)
