"""Starts the program from its one file, without writing anything to disk.

Python modules are imported straight from the archive. Shared libraries are
read from it into anonymous files in memory and loaded from there.
"""

import ctypes
import importlib.machinery
import json
import os
import sys
import zipimport

NATIVE_FILES = "native_files.json"


class ArchiveExtensions:
    """Finds extension modules in the archive, by module name."""

    def __init__(self, archive: zipimport.zipimporter, files: dict[str, str]) -> None:
        self._archive = archive
        self._files = files

    def find_spec(self, name, path=None, target=None):
        """Return the spec of an extension module, or None if it is not here."""
        member = self._files.get(name)
        if member is None:
            return None
        loaded_from = in_memory(self._archive.get_data(member), name)
        loader = importlib.machinery.ExtensionFileLoader(name, loaded_from)
        return importlib.machinery.ModuleSpec(name, loader, origin=loaded_from)


def in_memory(data: bytes, name: str) -> str:
    """Return the path of a new anonymous file in memory that holds `data`.

    The file stays open, since the loader takes two files of one path for one.
    """
    fd = os.memfd_create(name, os.MFD_CLOEXEC)
    with open(fd, "wb", closefd=False) as file:  # noqa: PTH123
        file.write(data)
    return f"/proc/self/fd/{fd}"


def main() -> None:
    """Load what the extension modules link to, and run the command line."""
    archive = zipimport.zipimporter(sys.path[0])
    native = json.loads(archive.get_data(NATIVE_FILES))
    for member in native["libraries"]:
        ctypes.CDLL(in_memory(archive.get_data(member), member))
    sys.meta_path.insert(0, ArchiveExtensions(archive, native["extensions"]))
    from fuchsiacroft.__main__ import run

    run()


if __name__ == "__main__":
    main()
