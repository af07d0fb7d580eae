"""Build the program as one executable file, `dist/fuchsiacroft`.

Run: `python tools/build_binary.py [FILE]`, with the interpreter of a virtual
environment with the packages of requirements.txt. The file needs only a CPython of
the same minor version and architecture. The build is reproducible: the same input
gives the same bytes.
"""

import importlib.machinery
import importlib.metadata
import importlib.util
import io
import json
import marshal
import re
import stat
import sys
import zipfile
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
START = ROOT / "tools" / "binary_start.py"
NATIVE_FILES = "native_files.json"
PACKAGE = "fuchsiacroft"
DEFAULT_OUTPUT = ROOT / "dist" / PACKAGE
PINNED = re.compile(r"^([A-Za-z0-9._-]+)(?:\[[^\]]*\])?==([^\s;\\]+)", re.MULTILINE)
BUILD_ONLY = {"setuptools", "pbr", "pycparser"}
UNUSED_SUFFIXES = {".pyi", ".pxd", ".pyx", ".c", ".h", ".hash", ".pyc", ".pth"}
UNUSED_FOLDERS = {"tests", "testing", "bin", "__pycache__", "include"}
EXTENSION_SUFFIXES = tuple(importlib.machinery.EXTENSION_SUFFIXES)
HASH_BASED_UNCHECKED = 1
TIMESTAMP = (1980, 1, 1, 0, 0, 0)


@dataclass
class Contents:
    """The contents of the archive: file data by name, and the shared libraries."""

    files: dict[str, bytes] = field(default_factory=dict)
    extensions: dict[str, str] = field(default_factory=dict)
    libraries: list[str] = field(default_factory=list)

    def add(self, name: str, data: bytes) -> None:
        """Add a file; record extension modules by module name, and shared libraries."""
        path = Path(name)
        if path.suffix in UNUSED_SUFFIXES or UNUSED_FOLDERS & set(path.parts[:-1]):
            return
        self.files[name] = data
        if name.endswith(EXTENSION_SUFFIXES):
            folder = [*path.parts[:-1], path.name.partition(".")[0]]
            self.extensions[".".join(folder)] = name
        elif ".so" in path.suffixes:
            self.libraries.append(name)
        elif path.suffix == ".py":
            self.files[f"{name}c"] = compile_module(name, data)


def compile_module(name: str, source: bytes) -> bytes:
    """Return the bytecode of a module, which Python never checks against its source."""
    code = compile(source, f"{PACKAGE}.zip/{name}", "exec", dont_inherit=True)
    header = importlib.util.MAGIC_NUMBER + HASH_BASED_UNCHECKED.to_bytes(4, "little")
    return header + importlib.util.source_hash(source) + marshal.dumps(code)


def collect() -> Contents:
    """Return the files of the installed pinned packages and of this project."""
    contents = Contents()
    requirements = (ROOT / "requirements.txt").read_text(encoding="utf-8")
    for name, version in PINNED.findall(requirements):
        if name.lower() in BUILD_ONLY:
            continue
        distribution = importlib.metadata.distribution(name)
        if distribution.version != version:
            raise SystemExit(
                f"{name} {distribution.version} is installed, expected {version}"
            )
        for file in distribution.files:
            path = distribution.locate_file(file)
            if ".." not in file.parts and path.is_file():
                contents.add(file.as_posix(), path.read_bytes())
    for path in sorted((ROOT / PACKAGE).rglob("*")):
        if path.is_file():
            name = path.relative_to(ROOT).as_posix()
            contents.add(name, path.read_bytes())
    return contents


def native_files(contents: Contents) -> bytes:
    """Return the list of shared libraries and extension modules.

    Libraries are listed after the libraries that they depend on.
    """
    libraries = sorted(contents.libraries, key=lambda name: "zmq" in Path(name).name)
    native = {
        "libraries": libraries,
        "extensions": dict(sorted(contents.extensions.items())),
    }
    return json.dumps(native).encode()


def archive(contents: Contents) -> bytes:
    """Return the zip archive."""
    members = contents.files | {
        "__main__.py": START.read_bytes(),
        NATIVE_FILES: native_files(contents),
    }
    buffer = io.BytesIO()
    with zipfile.ZipFile(buffer, "w", zipfile.ZIP_DEFLATED) as file:
        for name, data in sorted(members.items()):
            info = zipfile.ZipInfo(name, TIMESTAMP)
            info.compress_type = zipfile.ZIP_DEFLATED
            file.writestr(info, data)
    return buffer.getvalue()


def build(output: Path) -> None:
    """Write the executable file."""
    major, minor = sys.version_info[:2]
    first_line = f"#!/usr/bin/env -S python{major}.{minor} -I\n".encode()
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_bytes(first_line + archive(collect()))
    output.chmod(output.stat().st_mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH)


def main() -> None:
    """Build the file named on the command line, or `dist/fuchsiacroft`."""
    output = Path(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_OUTPUT
    build(output)
    print(f"{output}: {output.stat().st_size} bytes")


if __name__ == "__main__":
    main()
