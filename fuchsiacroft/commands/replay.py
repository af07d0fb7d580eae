"""Replay a recorded trace against a running system and judge the outcomes."""

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
    flags.DEFINE_string("trace", None, "the trace, JSON lines", values)
    flags.DEFINE_string("stated", None, "the stated outcomes, JSON", values)
    flags.DEFINE_list("entries", [], "entries as ADDRESS@FAILURE-DOMAIN", values)
    flags.DEFINE_string(
        "keys", None, "a JSON file that maps workspaces to their keys", values
    )
    flags.DEFINE_list("tiers", [], "tier names, the most urgent first", values)
    flags.DEFINE_list("run_logs", [], "logs of stand-ins, to count runs in", values)
    flags.DEFINE_integer("seed", 1, "seed of the choice of entries", flag_values=values)
    for name in ("trace", "keys"):
        flags.mark_flag_as_required(name, values)


def run(values: flags.FlagValues) -> int:
    """Replay, print the report, and fail where a stated outcome does not hold."""
    try:
        arrivals = trace.load(Path(values.trace))
        keys = msgspec.json.decode(Path(values.keys).read_bytes(), type=dict[str, str])
        wanted = Expectations()
        if values.stated:
            wanted = msgspec.json.decode(
                Path(values.stated).read_bytes(), type=Expectations
            )
    except (OSError, msgspec.MsgspecError) as exc:
        print(f"replay: {exc}", file=sys.stderr)
        return ExitCode.USAGE
    tiers = dict(enumerate(values.tiers))
    doors = [EntryAddress(*entry.split("@", 1)) for entry in values.entries]
    player = Player(doors, keys, tiers, values.seed)
    outcomes = asyncio.run(player.play(arrivals))
    log = RunLog()
    if values.run_logs:
        log = expectations.read_run_log([Path(path) for path in values.run_logs])
    print("\n".join(report.lines(outcomes, log)))
    wrong = expectations.violations(wanted, outcomes, log)
    for sentence in wrong:
        print(f"not as stated: {sentence}", file=sys.stderr)
    return ExitCode.FAILED if wrong else ExitCode.OK
