"""Tests of the offline inspection."""

import contextlib
import io
import tempfile
from pathlib import Path

from fuchsiacroft.commands import inspect
from fuchsiacroft.control import storage
from fuchsiacroft.control.records import Entry
from fuchsiacroft.tests.base import SocketTestCase


def inspected(path: str) -> tuple[int, str]:
    out = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        code = inspect.inspect(path)
    return code, out.getvalue()


class InspectTests(SocketTestCase):
    """The command shows what is there and changes nothing."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "data"
        held = storage.create(self.path, "control-1")
        await held.open()
        held.save_term(4, "abc")
        held.append([Entry(1, 4, "ledger.claim", b"x")])
        await held.sync()
        held.append([Entry(2, 4, "ledger.claim", b"y")])
        await held.sync()
        await held.close()
        self.segment = next(self.path.glob("log-*"))

    async def test_an_intact_folder_is_shown(self):
        before = self.segment.read_bytes()
        code, text = inspected(str(self.path))
        self.assertEqual(0, code)
        for part in ("control-1", "term=4 vote=abc", "last=2", "ledger.claim"):
            self.assertIn(part, text)
        self.assertEqual(before, self.segment.read_bytes())

    async def test_a_damaged_folder_is_reported_with_the_way_to_rejoin(self):
        data = bytearray(self.segment.read_bytes())
        data[40] ^= 1
        self.segment.write_bytes(data)
        code, text = inspected(str(self.path))
        self.assertEqual(1, code)
        self.assertIn("rejoins the group as a learner", text)

    async def test_a_missing_folder_is_reported(self):
        self.assertEqual(2, inspected(str(self.path / "none"))[0])
