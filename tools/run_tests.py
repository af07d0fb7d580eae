"""Run the tests, allow the failures listed in KNOWN-RED.txt, and print a summary.

Exits with 0 if every test passed or is listed in KNOWN-RED.txt, and with 1 if an
unlisted test failed, a listed test passed or does not exist, or the tests took
longer than `TIMEOUT_S`. Without names all modules run, some of them side by side. A
listed test that fails only at times, as the third column of its entry begins with
`AT_TIMES`, may pass.
"""

import faulthandler
import io
import multiprocessing
import os
import sys
import time
import unittest
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
SLOWEST_SHOWN = 5
TIMEOUT_S = 1_200
AT_TIMES = "at times:"
"""Begins what was seen of a test that also passes."""
TESTS = ROOT / "fuchsiacroft" / "tests"
WORKERS = 3
"""Processes that run modules side by side, with loopback addresses of their own."""
BLOCK_VARIABLE = "LOOPBACK_BLOCK"


def read_known_red(path: Path) -> dict[str, str]:
    """Return the listed test ids, each with its full line."""
    entries = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.strip() and not line.startswith("#"):
            entries[line.split("|")[0].strip()] = line
    return entries


def may_pass(entry: str) -> bool:
    """Return whether an entry is of a test that fails only at times."""
    return entry.split("|")[2].strip().startswith(AT_TIMES)


class Recorder(unittest.TextTestResult):
    """Records which tests ran, which failed, and how long each took."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.ran: set[str] = set()
        self.failed: set[str] = set()
        self.seconds: dict[str, float] = {}

    def startTest(self, test):  # noqa: N802
        """Record the start of a test."""
        self.ran.add(test.id())
        self.seconds[test.id()] = time.monotonic()
        super().startTest(test)

    def stopTest(self, test):  # noqa: N802
        """Record the duration of a test."""
        self.seconds[test.id()] = time.monotonic() - self.seconds[test.id()]
        super().stopTest(test)

    def addFailure(self, test, err):  # noqa: N802
        """Record a failed assertion."""
        self.failed.add(test.id())
        super().addFailure(test, err)

    def addError(self, test, err):  # noqa: N802
        """Record an unexpected exception."""
        self.failed.add(test.id())
        super().addError(test, err)

    def addSubTest(self, test, subtest, err):  # noqa: N802
        """Record a failed subtest as a failure of its test."""
        if err is not None:
            self.failed.add(test.id())
        super().addSubTest(test, subtest, err)


def print_slowest(seconds: dict[str, float]) -> None:
    """Print the slowest tests."""
    slowest = sorted(seconds.items(), key=lambda item: -item[1])[:SLOWEST_SHOWN]
    for test, taken in slowest:
        print(f"slow: {taken:.1f} s {test}")


@dataclass(frozen=True)
class Outcome:
    """The ids of the tests that ran and that failed, their times, and the output."""

    ran: frozenset[str]
    failed: frozenset[str]
    seconds: dict[str, float]
    output: str = ""


def run_names(names: list[str], stream=None) -> Outcome:
    """Run the tests of modules, classes or methods in this process."""
    sys.path.insert(0, str(ROOT))
    suite = unittest.TestLoader().loadTestsFromNames(names)
    runner = unittest.TextTestRunner(
        stream, resultclass=Recorder, verbosity=1, buffer=True
    )
    result = runner.run(suite)
    return Outcome(frozenset(result.ran), frozenset(result.failed), result.seconds)


def run_module(name: str) -> Outcome:
    """Run the tests of one module, and return its output."""
    stream = io.StringIO()
    outcome = run_names([name], stream)
    return Outcome(outcome.ran, outcome.failed, outcome.seconds, stream.getvalue())


def start_worker(blocks) -> None:
    """Take addresses for this worker, before its modules are imported."""
    os.environ[BLOCK_VARIABLE] = str(blocks.get())
    faulthandler.dump_traceback_later(TIMEOUT_S, exit=True)


def modules() -> list[str]:
    """Return the names of all test modules."""
    paths = sorted(path.relative_to(ROOT) for path in TESTS.rglob("*_tests.py"))
    return [".".join(path.with_suffix("").parts) for path in paths]


def run_all() -> Outcome:
    """Run every module, some of them side by side; print those that failed."""
    context = multiprocessing.get_context("spawn")
    blocks = context.Queue()
    first = int(os.environ.get(BLOCK_VARIABLE, "0"))
    for number in range(WORKERS):
        blocks.put(first + number)
    ran: set[str] = set()
    failed: set[str] = set()
    seconds: dict[str, float] = {}
    with ProcessPoolExecutor(WORKERS, context, start_worker, (blocks,)) as pool:
        for name, outcome in zip(
            modules(), pool.map(run_module, modules()), strict=True
        ):
            print(f"{name}: {len(outcome.ran)} ran", flush=True)
            if outcome.failed:
                print(outcome.output, flush=True)
            ran |= outcome.ran
            failed |= outcome.failed
            seconds |= outcome.seconds
    return Outcome(frozenset(ran), frozenset(failed), seconds)


def main() -> int:
    """Run the tests named on the command line, or all of them."""
    faulthandler.dump_traceback_later(TIMEOUT_S, exit=True)
    names = sys.argv[1:]
    result = run_names(names) if names else run_all()
    known = read_known_red(KNOWN_RED)
    checked = {test: line for test, line in known.items() if test in result.ran}
    unlisted = result.failed - known.keys()
    now_passing = {
        test for test in checked.keys() - result.failed if not may_pass(known[test])
    }
    missing = set() if names else known.keys() - result.ran
    for line in checked.values():
        print(f"known red: {line}")
    for test in sorted(unlisted):
        print(f"failed: {test}")
    for test in sorted(now_passing):
        print(f"listed in KNOWN-RED.txt but passes: {test}")
    for test in sorted(missing):
        print(f"listed in KNOWN-RED.txt but does not exist: {test}")
    print_slowest(result.seconds)
    failed = len(unlisted) + len(now_passing) + len(missing)
    print(f"{len(result.ran) - len(result.failed)} passed, {failed} failed")
    return 1 if failed or not result.ran else 0


if __name__ == "__main__":
    sys.exit(main())
