"""The exit codes of every command."""

import enum


class ExitCode(enum.IntEnum):
    """What a command's exit code says."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    NOT_IN_FORCE = 5


MEANINGS = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "failed, refused, or a fault was found; nothing changed",
    ExitCode.USAGE: "wrong usage: a flag, a file or the operator token",
    ExitCode.CONFLICT: "another change came first; nothing changed",
    ExitCode.UNREACHABLE: "no control member answered; send the change again "
    "under the same change id",
    ExitCode.NOT_IN_FORCE: "accepted, but not in force everywhere in time",
}


def format_exit_codes(codes: tuple[ExitCode, ...]) -> str:
    """Return the help lines for some exit codes."""
    return "\n".join(f"  {code.value}  {MEANINGS[code]}" for code in codes)
