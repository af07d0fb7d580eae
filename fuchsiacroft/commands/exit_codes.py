"""Exit codes of the commands and their descriptions."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes, the same for all commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    NOT_IN_FORCE = 5


DESCRIPTIONS = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "failed, refused, or a fault was found; nothing changed",
    ExitCode.USAGE: "wrong usage: a flag, a file or the operator token",
    ExitCode.CONFLICT: "another change came first; nothing changed",
    ExitCode.UNREACHABLE: "no control member answered; send the change again "
    "under the same change id",
    ExitCode.NOT_IN_FORCE: "accepted, but not in force everywhere in time",
}


def format_exit_codes(codes: tuple[ExitCode, ...]) -> str:
    """Return one help line per given exit code."""
    return "\n".join(f"  {code.value}  {DESCRIPTIONS[code]}" for code in codes)
