"""The command line: `fuchsiacroft COMMAND --flag=VALUE ...`."""

import importlib
import sys

from absl import flags

from fuchsiacroft.config.faults import nearest

COMMANDS = {
    "entry": "run an entry: take callers' requests and dispatch them",
    "control": "run a control member: configuration, ledger, leases, orders",
    "standin": "run a stand-in model engine or plain application",
    "experiment": "replay traces under each policy set in a model",
    "check": "check settings and a document, and print every fault",
}

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def main(argv: list[str]) -> int:
    """Run the command named first; return the exit code."""
    name = argv[1] if len(argv) > 1 else "--help"
    if name in ("--help", "-h", "help"):
        print(usage())
        return EXIT_OK
    if name not in COMMANDS:
        hint = nearest(name, list(COMMANDS))
        print(f'unknown command "{name}"{hint}\n\n{usage()}', file=sys.stderr)
        return EXIT_USAGE
    module = importlib.import_module(f"fuchsiacroft.commands.{name.replace('-', '_')}")
    values = flags.FlagValues()
    module.define_flags(values)
    if any(arg in ("--help", "-h") for arg in argv[2:]):
        print(f"{module.__doc__}\n{values.main_module_help() or values.get_help()}")
        return EXIT_OK
    try:
        values([f"fuchsiacroft {name}", *argv[2:]])
    except flags.Error as exc:
        print(f"{name}: {exc}", file=sys.stderr)
        return EXIT_USAGE
    return module.run(values)


def usage() -> str:
    """Return the list of commands and exit codes."""
    lines = ["usage: fuchsiacroft COMMAND [--flag=VALUE ...]", "", "commands:"]
    lines += [f"  {name:10} {text}" for name, text in COMMANDS.items()]
    lines += ["", "exit codes: 0 done, 1 failed or refused, 2 wrong usage"]
    return "\n".join(lines)


def run() -> None:
    """Run the command line and exit with its code."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
