"""Tests of how the programs are built and started on the users' platform."""

import importlib.util
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = ROOT / "deploy"
SEND_HANGUP = "import os, signal; os.kill(os.getpid(), signal.SIGHUP)"


def load_build():
    """Return the build script as a module."""
    spec = importlib.util.spec_from_file_location("build", DEPLOY / "build.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class BuildTests(unittest.TestCase):
    """A folder of packages that came with the repository, or was cut short."""

    def setUp(self):
        self.build = load_build()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write_stamp(self, text: str) -> None:
        (self.folder / self.build.STAMP).write_text(text, encoding="utf-8")

    def test_a_folder_of_another_machine_or_interpreter_is_used(self):
        self.write_stamp(self.build.stamp())
        self.assertTrue(self.build.is_current(self.folder))
        for target in ("sysconfig.get_platform", "sys.version"):
            other = "other" if target == "sys.version" else lambda: "linux-other"
            with self.subTest(target), mock.patch(target, other):
                self.assertFalse(self.build.is_current(self.folder))

    def test_a_folder_that_was_not_built_to_its_end_is_used(self):
        self.assertFalse(self.build.is_current(self.folder))

    def test_what_another_build_left_stays_beside_the_packages(self):
        (self.folder / "other").mkdir()
        with mock.patch.object(self.build.subprocess, "run") as run:
            run.side_effect = lambda *_, **__: self.folder.mkdir()
            self.build.install(self.folder)
        self.assertEqual([self.build.STAMP], [p.name for p in self.folder.iterdir()])
        self.assertTrue(self.build.is_current(self.folder))


class StartTests(unittest.TestCase):
    """A process that has just started."""

    def test_a_reload_before_any_module_of_ours_ends_the_process(self):
        done = subprocess.run(
            [sys.executable, "-c", SEND_HANGUP],
            env={"PYTHONPATH": str(DEPLOY)},
            check=False,
        )
        self.assertEqual(0, done.returncode)
