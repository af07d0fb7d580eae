"""Helpers shared by several commands."""

import sys
from collections.abc import Callable
from pathlib import Path

import zmq
from absl import flags
from expression import Result

from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.config import settings
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.config.validation import ValidationIssue
from fuchsiacroft.exceptions import InvariantError, SettingsError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.utils import allocator, logs, process


def define_settings(values: flags.FlagValues) -> None:
    """Define the flag that names the settings file."""
    flags.DEFINE_string(
        "settings", None, "the JSON file with the settings of this process", values
    )
    flags.mark_flag_as_required("settings", values)


def load_settings(values: flags.FlagValues) -> Settings | None:
    """Return the settings, or None after printing every issue in them."""
    match settings.load(Path(values.settings)):
        case Result(tag="ok", ok=loaded):
            return loaded
        case Result(error=issues):
            print_issues(issues)
            return None


def run_process(
    values: flags.FlagValues, create: Callable[[Settings, Path], Kernel]
) -> int:
    """Run a process with the settings of --settings until a signal stops it."""
    loaded = load_settings(values)
    if loaded is None:
        return ExitCode.FAILED
    path = Path(values.settings)
    return run_kernel(lambda: create(loaded, path), loaded.node, loaded.log_level)


def run_kernel(create: Callable[[], Kernel], node: str, log_level: str) -> int:
    """Run the services of a process until a signal stops it."""
    logs.configure(log_level, to_stdout=True)
    allocator.return_large_blocks()

    async def serve() -> None:
        await process.serve(create(), node)

    try:
        process.run(serve())
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return ExitCode.FAILED
    except InvariantError as exc:
        print(f"stopped, an invariant is broken: {exc}", file=sys.stderr)
        return ExitCode.FAILED
    except (OSError, zmq.ZMQError) as exc:
        print(f"cannot start: {exc}", file=sys.stderr)
        return ExitCode.FAILED
    finally:
        logs.close()
    return ExitCode.OK


def print_issues(issues: list[ValidationIssue]) -> None:
    """Print one issue per line on standard error."""
    for issue in issues:
        print(issue, file=sys.stderr)
