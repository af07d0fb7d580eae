"""Replay a recorded trace against a running system and check the outcomes."""

import asyncio
import sys
from pathlib import Path

import msgspec
from absl import flags

from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.model import trace
from fuchsiacroft.replay import expectations, report
from fuchsiacroft.replay.expectations import Expectations, RunLog
from fuchsiacroft.replay.player import EntryAddress, Player

EXIT_CODES = (ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE)


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    flags.DEFINE_string("trace", None, "the trace to replay, JSON lines", values)
    flags.DEFINE_string("stated", None, "the expected outcomes, JSON", values)
    flags.DEFINE_list("entries", [], "entries as ADDRESS@FAILURE-DOMAIN", values)
    flags.DEFINE_string(
        "keys", None, "a JSON file that maps workspaces to their keys", values
    )
    flags.DEFINE_list("tiers", [], "tier names, most urgent first", values)
    flags.DEFINE_list(
        "run_logs", [], "stand-in logs from which runs are counted", values
    )
    flags.DEFINE_integer(
        "seed", 1, "seed for the choice of entries", flag_values=values
    )
    for name in ("trace", "keys"):
        flags.mark_flag_as_required(name, values)


def run(values: flags.FlagValues) -> int:
    """Replay the trace and print the report; fail if an expectation is not met."""
    try:
        arrivals = trace.load(Path(values.trace))
        keys = msgspec.json.decode(Path(values.keys).read_bytes(), type=dict[str, str])
        expected = Expectations()
        if values.stated:
            expected = msgspec.json.decode(
                Path(values.stated).read_bytes(), type=Expectations
            )
    except (OSError, msgspec.MsgspecError) as exc:
        print(f"replay: {exc}", file=sys.stderr)
        return ExitCode.USAGE
    tiers = dict(enumerate(values.tiers))
    entries = [EntryAddress(*entry.split("@", 1)) for entry in values.entries]
    player = Player(entries, keys, tiers, values.seed)
    outcomes = asyncio.run(player.play(arrivals))
    log = RunLog()
    if values.run_logs:
        log = expectations.read_run_log([Path(path) for path in values.run_logs])
    print("\n".join(report.lines(outcomes, log)))
    violations = expectations.violations(expected, outcomes, log)
    for violation in violations:
        print(f"not as stated: {violation}", file=sys.stderr)
    return ExitCode.FAILED if violations else ExitCode.OK
