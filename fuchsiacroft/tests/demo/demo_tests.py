"""Tests of the demo: it ends by itself, and its exit code is its verdict."""

import contextlib
import io
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import mock

from fuchsiacroft.__main__ import main
from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.tests.base import TestCase

TIME_LIMIT_S = 30


class DemoTests(TestCase):
    """The demo as a command."""

    def test_every_outcome_holds_in_one_process(self):
        with tempfile.TemporaryDirectory() as folder:
            done = subprocess.run(
                [sys.executable, "-m", "fuchsiacroft", "demo"],
                capture_output=True,
                text=True,
                timeout=TIME_LIMIT_S,
                env=os.environ | {"TMPDIR": folder},
                check=False,
            )
            self.assertEqual([], list(Path(folder).iterdir()))
        self.assertEqual(ExitCode.OK, done.returncode, done.stdout + done.stderr)
        self.assertIn("outcomes not held: 0", done.stdout)

    def test_an_outcome_that_is_not_held_is_a_failure(self):
        async def show(system, say):
            return 1

        with (
            mock.patch("fuchsiacroft.demo.outcomes.show", show),
            mock.patch("fuchsiacroft.utils.logs.configure"),
            contextlib.redirect_stdout(io.StringIO()),
        ):
            self.assertEqual(ExitCode.FAILED, main(["fuchsiacroft", "demo"]))
