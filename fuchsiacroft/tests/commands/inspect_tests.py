"""Tests of the `inspect` command."""

import contextlib
import io
import tempfile
from pathlib import Path

from fuchsiacroft.commands import inspect
from fuchsiacroft.control import storage
from fuchsiacroft.control.records import Entry
from fuchsiacroft.tests.base import SocketTestCase


def run_inspect(path: str) -> tuple[int, str]:
    out = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        code = inspect.inspect(path)
    return code, out.getvalue()


class InspectTests(SocketTestCase):
    """The command prints the folder's contents and modifies nothing."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "data"
        member_storage = storage.create(self.path, "control-1")
        await member_storage.open()
        member_storage.save_term(4, "abc")
        member_storage.append([Entry(1, 4, "ledger.claim", b"x")])
        await member_storage.sync()
        member_storage.append([Entry(2, 4, "ledger.claim", b"y")])
        await member_storage.sync()
        await member_storage.close()
        self.segment = next(self.path.glob("log-*"))

    async def test_an_intact_folder_is_shown(self):
        before = self.segment.read_bytes()
        code, text = run_inspect(str(self.path))
        self.assertEqual(0, code)
        for part in ("control-1", "term=4 vote=abc", "last=2", "ledger.claim"):
            self.assertIn(part, text)
        self.assertEqual(before, self.segment.read_bytes())

    async def test_a_damaged_folder_is_reported_with_advice_on_rejoining(self):
        data = bytearray(self.segment.read_bytes())
        data[40] ^= 1
        self.segment.write_bytes(data)
        code, text = run_inspect(str(self.path))
        self.assertEqual(1, code)
        self.assertIn("rejoins the group as a learner", text)

    async def test_a_missing_folder_is_reported(self):
        self.assertEqual(2, run_inspect(str(self.path / "none"))[0])
