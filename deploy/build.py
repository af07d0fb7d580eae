"""Builds `target/deps`: the required packages, for this machine and interpreter.

A folder that was built for others, or not to its end, is built anew: native modules of
another machine can't be loaded.
"""

import hashlib
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "requirements.txt"
TARGET = ROOT / "target" / "deps"
STARTUP_MODULE = ROOT / "deploy" / "sitecustomize.py"
STAMP = "built-for.txt"


def stamp() -> str:
    """Return what the folder depends on."""
    digest = hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest()
    return f"{sysconfig.get_platform()}\n{sys.version}\n{digest}\n"


def is_current(folder: Path) -> bool:
    """Return whether a folder was built to its end from the same."""
    path = folder / STAMP
    return path.is_file() and path.read_text(encoding="utf-8") == stamp()


def install(folder: Path) -> None:
    """Install the packages into an empty folder."""
    shutil.rmtree(folder, ignore_errors=True)
    pip = [sys.executable, "-m", "pip", "install", "-q", "--require-hashes"]
    command = [*pip, "--target", str(folder), "-r", str(REQUIREMENTS)]
    subprocess.run(command, check=True)  # noqa: S603
    (folder / STAMP).write_text(stamp(), encoding="utf-8")


def main() -> None:
    """Build the folder, unless it is current."""
    if not is_current(TARGET):
        install(TARGET)
    shutil.copy(STARTUP_MODULE, TARGET)


if __name__ == "__main__":
    main()
