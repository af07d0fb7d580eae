"""Check settings and an operators' document, and print every fault."""

from pathlib import Path

import msgspec
from absl import flags
from expression import Result

from fuchsiacroft.commands.common import print_faults
from fuchsiacroft.config import document, settings
from fuchsiacroft.config.faults import Fault


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    flags.DEFINE_string("settings", None, "a settings file to check", values)
    flags.DEFINE_string("document", None, "a document file to check", values)
    flags.DEFINE_enum(
        "schema", None, ["settings", "document"], "print this JSON Schema", values
    )


def run(values: flags.FlagValues) -> int:
    """Print a schema, or the faults of the named files."""
    if values.schema:
        cls = settings.Settings if values.schema == "settings" else document.Document
        print(
            msgspec.json.format(msgspec.json.encode(msgspec.json.schema(cls))).decode()
        )
        return 0
    faults = []
    if values.settings:
        faults += _faults(settings.load(Path(values.settings)))
    if values.document:
        faults += _check_document(Path(values.document))
    print_faults(faults)
    if not faults:
        print("no faults")
    return 1 if faults else 0


def _check_document(path: Path) -> list[Fault]:
    try:
        value = msgspec.json.decode(path.read_bytes())
    except OSError as exc:
        return [Fault(str(path), f"cannot be read: {exc.strerror}")]
    except (msgspec.MsgspecError, RecursionError) as exc:
        return [Fault("$", f"is not JSON: {exc}")]
    return _faults(document.parse(value))


def _faults(result: Result) -> list[Fault]:
    return [] if result.is_ok() else result.error
