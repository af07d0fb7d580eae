"""Tests of the data folder on disk."""

import os
import tempfile
from pathlib import Path
from unittest import mock

from fuchsiacroft.control.folder import DiskFolder
from fuchsiacroft.tests.base import TestCase


class DiskFolderTests(TestCase):
    """A folder that is created stays after a power loss."""

    def test_a_new_data_folder_is_lost_with_all_that_was_synced_in_it(self):
        top = Path(self.enterContext(tempfile.TemporaryDirectory())).resolve()
        synced = []

        def record(handle: int) -> None:
            synced.append(Path(f"/proc/self/fd/{handle}").readlink())

        with mock.patch.object(os, "fsync", record):
            DiskFolder(top / "data" / "member").close()
        self.assertEqual([top, top / "data"], synced)
