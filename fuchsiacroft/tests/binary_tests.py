"""Tests of the single-file program; `make test-binary` also runs its demo."""

import json
import os
import stat
import subprocess
import sys
import tempfile
from pathlib import Path

from fuchsiacroft.tests.base import TestCase

ROOT = Path(__file__).resolve().parent.parent.parent
BUILD = ROOT / "tools" / "build_binary.py"
TIMEOUT_S = 30


class BinaryTests(TestCase):
    """Checks that the file needs no installation and writes no files."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def build(self):
        path = self.folder / "fuchsiacroft"
        command = [sys.executable, str(BUILD), str(path)]
        subprocess.run(command, check=True, capture_output=True, timeout=TIMEOUT_S)
        return path

    def run_file(self, path, *args):
        home = self.folder / "home"
        home.mkdir(exist_ok=True)
        variables = {"HOME": str(home), "TMPDIR": str(home), "PYTHONPATH": str(ROOT)}
        return subprocess.run(
            [str(path), *args],
            check=True,
            capture_output=True,
            timeout=TIMEOUT_S,
            cwd=home,
            env=os.environ | variables,
        ).stdout

    def test_the_file_runs_by_itself_and_writes_nothing(self):
        path = self.build()
        self.assertTrue(path.stat().st_mode & stat.S_IXUSR)
        schema = json.loads(self.run_file(path, "check", "--schema=document"))
        self.assertIn("$defs", schema)
        pair = json.loads(self.run_file(path, "keys"))
        self.assertEqual({"public", "secret"}, pair.keys())
        for command in ("control", "entry", "console", "demo"):
            self.assertIn(b"exit codes", self.run_file(path, command, "--help"))
        self.assertEqual([], list((self.folder / "home").iterdir()))
