"""Tests of the command that replays a trace and judges it."""

import asyncio
import contextlib
import importlib.util
import io
import json
import tempfile
from pathlib import Path

from fuchsiacroft.__main__ import main
from fuchsiacroft.model import trace
from fuchsiacroft.model.trace import Arrival
from fuchsiacroft.tests.base import SocketTestCase, TestCase
from fuchsiacroft.tests.fakes.faulty_entry import TOKENS, EntryFault, FaultyEntry
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.utils.http import Listener

ROOT = Path(__file__).resolve().parents[3]


class ReplayTests(SocketTestCase):
    """The exit code tells whether the stated outcomes hold."""

    async def replay(self, broken: EntryFault) -> tuple[int, str]:
        address = free_address()
        listener = Listener(FaultyEntry(broken).app(), address)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        files = {name: Path(folder.name) / name for name in ("t", "s", "k")}
        one = Arrival(0.0, "r", "k", "m", 0, "w", 1.0, 5.0, 10, TOKENS)
        trace.save([one], files["t"])
        files["s"].write_text(json.dumps({"goodput": {"0": 1.0}}))
        files["k"].write_text(json.dumps({"w": "key"}))
        command = ["fuchsiacroft", "replay", f"--trace={files['t']}"]
        command += [f"--stated={files['s']}", f"--keys={files['k']}"]
        command += ["--tiers=high", f"--entries={address}@d"]
        said = io.StringIO()
        with contextlib.redirect_stdout(said), contextlib.redirect_stderr(said):
            code = await asyncio.to_thread(main, command)
        return code, said.getvalue()

    async def test_a_whole_system_passes(self):
        code, said = await self.replay(EntryFault.NONE)
        self.assertEqual(0, code, said)
        self.assertIn("rank=0 requests=1 goodput=1.0000", said)

    async def test_a_broken_one_fails_with_the_outcome_named(self):
        code, said = await self.replay(EntryFault.TRUNCATES)
        self.assertEqual(1, code, said)
        self.assertIn("not as stated: short: 1", said)


class TraceTests(TestCase):
    """The traces kept in the repository are those that the tool writes."""

    def test_the_seed_writes_the_same_traces(self):
        path = ROOT / "tools" / "write_traces.py"
        spec = importlib.util.spec_from_file_location("write_traces", path)
        tool = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(tool)
        with tempfile.TemporaryDirectory() as folder:
            tool.write(Path(folder))
            for written in sorted(Path(folder).iterdir()):
                with self.subTest(name=written.name):
                    kept = ROOT / "traces" / written.name
                    self.assertEqual(kept.read_bytes(), written.read_bytes())
