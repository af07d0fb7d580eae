"""Tests of the operator endpoints, and that they and the logs show no secrets."""

import tempfile
import uuid
from pathlib import Path

import aiohttp
import msgspec
from loguru import logger

from fuchsiacroft import operators_client
from fuchsiacroft.demo import system
from fuchsiacroft.demo.caller import Caller
from fuchsiacroft.operators_client import Change
from fuchsiacroft.tests.base import SocketTestCase


class OperationsTests(SocketTestCase):
    """Checks state, metrics and logs after served requests and a document change."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.lines = []
        sink = logger.add(self.lines.append, level=0, format="{message} {extra}")
        self.addCleanup(logger.remove, sink)
        self.system = system.create(Path(folder.name))
        await self.system.start()
        self.addAsyncCleanup(self.system.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def serve_requests(self):
        token = self.system.operator_token
        async with operators_client.create(
            [self.system.control_address], token
        ) as client:
            data = msgspec.json.encode(self.system.document())
            answer = await client.submit_change(
                Change(data, 0, uuid.uuid4().hex, "ana")
            )
            self.assertTrue(answer.is_ok())
        caller = Caller(self.session, self.system.caller_addresses)
        key = self.system.workspace_key
        for _ in self.system.caller_addresses:
            answer = await caller.complete(key, "counter", 2)
            while answer.status == 401:
                answer = await caller.complete(key, "counter", 2)
            self.assertTrue(answer.is_complete, answer)
        self.booking = f"booking-{uuid.uuid4().hex}"
        answer = await caller.confirm_booking(key, self.booking)
        self.assertEqual(200, answer.status)
        self.wrong_key = f"wrong-{uuid.uuid4().hex}"
        await caller.complete(self.wrong_key, "counter", 2)

    async def read(self, path):
        texts = {}
        addresses = {
            "control": self.system.control_address
        } | self.system.operator_addresses
        for name, address in addresses.items():
            async with self.session.get(f"http://{address}{path}") as res:
                self.assertEqual(200, res.status)
                texts[name] = await res.text()
        return texts

    async def test_metrics_and_secrets_after_served_requests(self):
        await self.serve_requests()
        dumps = await self.read("/dump")
        metrics = await self.read("/metrics")
        with self.subTest("metrics show the state, with units in their names"):
            self.check_metrics(metrics)
        with self.subTest("no key or token is shown anywhere"):
            shown = "".join([*self.lines, *dumps.values(), *metrics.values()])
            self.check_secrets(shown)

    def check_metrics(self, metrics):
        entry = metrics["entry-1"]
        self.assertIn("fuchsiacroft_document_version 1", entry)
        self.assertIn("fuchsiacroft_backend_servers 3", entry)
        self.assertIn("fuchsiacroft_requests_in_progress 0", entry)
        self.assertIn('fuchsiacroft_answers_total{service="lens-assistant"', entry)
        self.assertIn("fuchsiacroft_process_memory_bytes", metrics["control"])

    def check_secrets(self, shown):
        self.assertIn("event=answered", shown)
        secrets = {
            "operator token": self.system.operator_token,
            "workspace key": self.system.workspace_key,
            "wrong key": self.wrong_key,
            "idempotency key": self.booking,
            "prompt": "front element",
        }
        for name, secret in secrets.items():
            self.assertNotIn(secret, shown, f"the {name} is shown")
