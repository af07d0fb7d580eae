"""Starts the program from its single file without writing to disk.

Python modules are imported directly from the archive. Shared libraries are
copied from it into anonymous memory files and loaded from there.
"""

import ctypes
import importlib.machinery
import json
import os
import sys
import zipimport

NATIVE_FILES = "native_files.json"


class ArchiveExtensions:
    """Import finder for the extension modules in the archive."""

    def __init__(self, archive: zipimport.zipimporter, files: dict[str, str]) -> None:
        self._archive = archive
        self._files = files

    def find_spec(self, name, path=None, target=None):
        """Return the spec of an extension module, or None if the archive lacks it."""
        member = self._files.get(name)
        if member is None:
            return None
        path_in_memory = memory_file(self._archive.get_data(member), name)
        loader = importlib.machinery.ExtensionFileLoader(name, path_in_memory)
        return importlib.machinery.ModuleSpec(name, loader, origin=path_in_memory)


def memory_file(data: bytes, name: str) -> str:
    """Return the path of a new anonymous memory file that contains `data`.

    The file stays open so that its path is not reused: the dynamic loader treats
    two files with the same path as one.
    """
    fd = os.memfd_create(name, os.MFD_CLOEXEC)
    with open(fd, "wb", closefd=False) as file:  # noqa: PTH123
        file.write(data)
    return f"/proc/self/fd/{fd}"


def main() -> None:
    """Load the libraries that the extension modules need, and run the command line."""
    archive = zipimport.zipimporter(sys.path[0])
    native = json.loads(archive.get_data(NATIVE_FILES))
    for member in native["libraries"]:
        ctypes.CDLL(memory_file(archive.get_data(member), member))
    sys.meta_path.insert(0, ArchiveExtensions(archive, native["extensions"]))
    from fuchsiacroft.__main__ import run

    run()


if __name__ == "__main__":
    main()
