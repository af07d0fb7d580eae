"""The command line: `fuchsiacroft COMMAND --flag=VALUE ...`."""

import importlib
import sys

from absl import flags

from fuchsiacroft.commands import exit_codes
from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.config.validation import suggestion

COMMANDS = {
    "demo": "demonstrate the system on one machine in under 30 s",
    "entry": "run an entry: accept and dispatch callers' requests",
    "control": "run a control member: configuration, ledger, leases, orders to engines",
    "platform": "run a role of the system on the users' platform",
    "console": "run the web console for operators",
    "check": "validate settings and a document, and print all issues",
    "apply": "apply a document to the running system",
    "status": "show versions, control members, entries, backend servers, queues",
    "history": "show the versions of the document",
    "diff": "show the differences between two versions",
    "rollback": "apply the document of an older version again",
    "rollout": "move a service to a software version, or show the rollouts",
    "dump": "print the state of a process",
    "explain": "show the history of a request or of a field value from logs",
    "inspect": "show the contents of a stopped control member's data folder",
    "recover": "continue with one control member after permanent loss of a majority",
    "keys": "generate CURVE key pairs for the settings",
    "replay": "replay a recorded trace against a running system and check the results",
    "experiment": "replay traces under each policy set in a simulation",
    "standin": "run a stand-in model engine or plain application",
}
HELP_FLAGS = ("--help", "-h", "-help", "--helpfull", "help")
DEFAULT_EXIT_CODES = (ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE)


def main(argv: list[str]) -> int:
    """Run the command named by the first argument; return the exit code."""
    name = argv[1] if len(argv) > 1 else "--help"
    if name in HELP_FLAGS:
        print(usage())
        return ExitCode.OK
    if name not in COMMANDS:
        hint = suggestion(name, list(COMMANDS))
        print(f'unknown command "{name}"{hint}\n\n{usage()}', file=sys.stderr)
        return ExitCode.USAGE
    module = importlib.import_module(f"fuchsiacroft.commands.{name.replace('-', '_')}")
    values = flags.FlagValues()
    module.define_flags(values)
    if any(arg in HELP_FLAGS for arg in argv[2:]):
        print(command_help(name, module, values))
        return ExitCode.OK
    try:
        positional = values([f"fuchsiacroft {name}", *argv[2:]])
    except flags.Error as exc:
        print(f"{name}: {exc}", file=sys.stderr)
        return ExitCode.USAGE
    if len(positional) > 1:
        print(f'{name}: "{positional[1]}" is not a flag', file=sys.stderr)
        return ExitCode.USAGE
    try:
        return int(module.run(values))
    except KeyboardInterrupt:
        return ExitCode.FAILED


def usage() -> str:
    """Return the list of commands and exit codes."""
    lines = ["usage: fuchsiacroft COMMAND [--flag=VALUE ...]", "", "commands:"]
    lines += [f"  {name:10} {text}" for name, text in COMMANDS.items()]
    lines += ["", "fuchsiacroft COMMAND --help lists its flags.", "", "exit codes:"]
    lines.append(exit_codes.format_exit_codes(tuple(ExitCode)))
    return "\n".join(lines)


def command_help(name: str, module, values: flags.FlagValues) -> str:
    """Return a command's description, flags and exit codes."""
    lines = [f"usage: fuchsiacroft {name} [--flag=VALUE ...]", ""]
    lines += [module.__doc__.strip(), "", "flags:"]
    for flag_name in values:
        flag = values[flag_name]
        lines += [f"  --{flag_name}{_default(flag)}", f"      {flag.help}"]
    codes = getattr(module, "EXIT_CODES", DEFAULT_EXIT_CODES)
    lines += ["", "exit codes:", exit_codes.format_exit_codes(codes)]
    return "\n".join(lines)


def _default(flag: flags.Flag) -> str:
    if flag.default in (None, "", []):
        return ""
    return f" (default: {flag.default_as_str})"
