"""Tests for reloading keys and certificates at runtime."""

import asyncio
import datetime
import json
import ssl
import tempfile
from pathlib import Path
from unittest import mock

import zmq
from aiohttp import web
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from fuchsiacroft.config import settings as settings_file
from fuchsiacroft.config.settings import Tls
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.tests.base import SocketTestCase, TestCase
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.transport import key_reload, keys, tls
from fuchsiacroft.utils.http import Listener, split_address


def write_certificate(folder, name):
    """Write a self-signed certificate and its key; return their PEM paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    today = datetime.datetime(2020, 1, 1)
    cert = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(today)
        .not_valid_after(today + datetime.timedelta(days=36_500))
        .sign(key, hashes.SHA256())
    )
    (folder / "cert.pem").write_bytes(cert.public_bytes(serialization.Encoding.PEM))
    (folder / "key.pem").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return Tls(str(folder / "cert.pem"), str(folder / "key.pem"))


def write_settings(path, **parts):
    base = {
        "node": "a",
        "failure_domain": "d",
        "region": "r",
        "addresses": {"operators": "127.0.0.1:1"},
    }
    path.write_text(json.dumps(base | parts))
    return settings_file.load(path)


def key_pair():
    public, secret = (part.decode() for part in zmq.curve_keypair())
    return {"public": public, "secret": secret, "accepted": [public]}


class SettingsKeysTests(TestCase):
    """Invalid keys are reported without printing them."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.json"

    def test_mismatched_key_pair_is_rejected(self):
        mixed = key_pair() | {"public": key_pair()["public"]}
        (issue,) = write_settings(self.path, keys=mixed).error
        self.assertEqual("$.keys.public", issue.path)

    def test_issues_do_not_contain_the_secret(self):
        good = key_pair()
        secret = good["secret"]
        for bad in (
            {"secret": secret},
            good | {"secret": secret + "x"},
            good | {"publik": "x"},
            good | {"accepted": secret},
            secret,
            [secret],
        ):
            issues = write_settings(self.path, keys=bad).error
            self.assertNotIn(secret, " ".join(str(issue) for issue in issues))
            self.assertIn("$.keys", issues[0].path)


class KeyReloaderTests(SocketTestCase):
    """Changed files take effect; invalid files are ignored."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.path = self.folder / "settings.json"

    def reloader(self, **parts):
        cfg = write_settings(self.path, **parts).ok
        self.ring = keys.create(cfg)
        self.context = tls.server_context(cfg.tls).ok if cfg.tls else None
        return key_reload.create(self.path, cfg, self.ring, self.context)

    async def test_changed_settings_file_changes_the_keys(self):
        one, two = key_pair(), key_pair()
        service = self.reloader(keys=one)
        both = one | {"accepted": [one["public"], two["public"]]}
        write_settings(self.path, keys=both)
        service.reload()
        raw = zmq.utils.z85.decode(two["public"].encode())
        self.assertTrue(self.ring.accepts(raw))

    async def test_invalid_settings_are_ignored(self):
        one = key_pair()
        service = self.reloader(keys=one)
        for text in ("{", "{}", json.dumps({"keys": one})):
            self.path.write_text(text)
            service.reload()
        write_settings(self.path)
        service.reload()
        raw = zmq.utils.z85.decode(one["public"].encode())
        self.assertTrue(self.ring.accepts(raw))
        self.assertEqual(4, service.dump()["counts"]["refused"])

    async def test_file_change_is_detected(self):
        one, two = key_pair(), key_pair()
        service = self.reloader(keys=one)
        with mock.patch.object(key_reload, "CHECK_PERIOD_S", 0.02):
            await self.wait_for_change(service, two)

    async def wait_for_change(self, service, new):
        await service.start(Kernel())
        self.addAsyncCleanup(service.stop)
        write_settings(self.path, keys=new)
        async with asyncio.timeout(5):
            while "keys_changed" not in service.dump()["counts"]:
                await asyncio.sleep(0.01)

    async def test_new_certificate_is_serve_without_restart(self):
        files = write_certificate(self.folder, "one")
        service, address = await self.serve_with(files)
        self.assertEqual("one", await self.served_certificate_name(address))
        write_certificate(self.folder, "two")
        service.reload()
        self.assertEqual("two", await self.served_certificate_name(address))

    async def test_certificate_without_its_key_is_ignored(self):
        files = write_certificate(self.folder, "one")
        service, address = await self.serve_with(files)
        old_key = Path(files.key).read_bytes()
        write_certificate(self.folder, "two")
        Path(files.key).write_bytes(old_key)
        service.reload()
        self.assertEqual("one", await self.served_certificate_name(address))
        self.assertEqual(1, service.dump()["counts"]["refused"])

    async def serve_with(self, files):
        """Listen with a certificate; return its reloader and the address."""
        service = self.reloader(
            tls={"certificate": files.certificate, "key": files.key}
        )
        address = free_address()
        listener = Listener(web.Application(), address, self.context)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        return service, address

    async def served_certificate_name(self, address):
        context = ssl.create_default_context()
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        host, port = split_address(address)
        _, writer = await asyncio.open_connection(host, port, ssl=context)
        der = writer.get_extra_info("ssl_object").getpeercert(True)
        writer.close()
        subject = x509.load_der_x509_certificate(der).subject
        return subject.get_attributes_for_oid(NameOID.COMMON_NAME)[0].value
