"""Reads the logs of several processes and reports progress on large ones."""

import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from expression import Result

from fuchsiacroft.explain import log_line
from fuchsiacroft.explain.log_line import LogLine

PROGRESS_BYTES = 64 * 1024 * 1024
"""Bytes read between two progress messages."""


@dataclass(slots=True)
class LogFiles:
    """Log files; `parse_errors` maps lines that cannot be parsed to the reason."""

    paths: list[Path]
    parse_errors: dict[str, str] = field(default_factory=dict)

    def lines(self, wanted: Callable[[str], bool]) -> Iterator[LogLine]:
        """Yield the parsed lines whose text satisfies `wanted`."""
        total = sum(path.stat().st_size for path in self.paths)
        done = reported = 0
        for path in self.paths:
            with path.open(encoding="utf-8", errors="replace") as lines:
                for number, text in enumerate(lines, 1):
                    done += len(text)
                    if done - reported >= PROGRESS_BYTES:
                        reported = done
                        _print_progress(done, total)
                    if wanted(text):
                        yield from self._parsed(text, path, number)

    def _parsed(self, text: str, path: Path, number: int) -> Iterator[LogLine]:
        match log_line.parse(text.rstrip("\n"), path.stem):
            case Result(tag="ok", ok=line):
                yield line
            case Result(error=reason):
                self.parse_errors[f"{path}:{number}"] = reason


def _print_progress(done: int, total: int) -> None:
    print(f"read {done / 1e6:.0f} of {total / 1e6:.0f} MB", file=sys.stderr)


def find_log_files(patterns: list[str]) -> list[Path]:
    """Return the files that match paths, folders or glob patterns."""
    found: list[Path] = []
    for pattern in patterns:
        path = Path(pattern)
        if path.is_dir():
            found.extend(sorted(p for p in path.rglob("*") if p.is_file()))
        elif path.is_file():
            found.append(path)
        else:
            matching = sorted(path.parent.glob(path.name)) if path.name else []
            found.extend(p for p in matching if p.is_file())
    return found
