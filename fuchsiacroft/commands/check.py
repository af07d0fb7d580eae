"""Check settings and an operators' document, and print every fault.

Each fault states its JSON path, the allowed values and the closest known name.
Warnings are printed for values that are valid but probably unintended. With
--against, or with the version in force of --control, the differences are printed
with what each does to callers. Only faults make the command fail.
"""

import sys
from pathlib import Path

import msgspec
from absl import flags
from expression import Error, Ok, Result

from fuchsiacroft.commands import check_report, operators
from fuchsiacroft.commands.check_report import Finding, Report
from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.commands.operators import Access
from fuchsiacroft.config import delta, document, effects, lint, settings
from fuchsiacroft.config.document import Document
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.config.validation import ValidationIssue
from fuchsiacroft.operators_client import OperatorsClient

EXIT_CODES = (ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE, ExitCode.UNREACHABLE)
SCHEMAS = {"settings": Settings, "document": Document}


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    flags.DEFINE_string("settings", None, "a settings file to check", values)
    flags.DEFINE_string("document", None, "a document file to check", values)
    flags.DEFINE_string(
        "against", None, "a document file to list the differences from", values
    )
    operators.define_connection(
        values, "to list the differences from the version in force"
    )
    flags.DEFINE_enum(
        "format", "text", list(check_report.FORMATS), "the form of the output", values
    )
    flags.DEFINE_enum("schema", None, list(SCHEMAS), "print this JSON Schema", values)


def run(values: flags.FlagValues) -> int:
    """Print a schema, or what was found in the given files."""
    if values.schema:
        print(schema(values.schema))
        return ExitCode.OK
    problem = _usage_problem(values)
    if problem:
        print(problem, file=sys.stderr)
        return ExitCode.USAGE
    report = Report()
    if values.settings:
        _check_settings(report, Path(values.settings))
    code = ExitCode.OK
    if values.document:
        checked = _check_document(report, Path(values.document))
        if checked is not None:
            code = _compare(report, values, checked)
    check_report.FORMATS[values.format](report)
    return ExitCode.FAILED if report.faults else code


def schema(name: str) -> str:
    """Return the JSON Schema of the settings or of the document."""
    encoded = msgspec.json.encode(msgspec.json.schema(SCHEMAS[name]))
    return msgspec.json.format(encoded).decode()


def read_document(path: Path) -> Result[Document, list[ValidationIssue]]:
    """Return the document in a file, or every issue found in it."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        return Error([ValidationIssue(str(path), f"cannot be read: {exc.strerror}")])
    return document.decode(data)


def _usage_problem(values: flags.FlagValues) -> str | None:
    if not values.settings and not values.document:
        return "--settings, --document or --schema is needed"
    if (values.against or values.control) and not values.document:
        return "--against and --control compare with --document, which is needed"
    if values.against and values.control:
        return "--against and --control can't be used together"
    return None


def _check_settings(report: Report, path: Path) -> None:
    match settings.load(path):
        case Result(tag="ok", ok=loaded):
            report.warnings += map(Finding.of, lint.lint_settings(loaded))
        case Result(error=issues):
            report.faults += map(Finding.of, issues)


def _check_document(report: Report, path: Path) -> Document | None:
    match read_document(path):
        case Result(tag="ok", ok=parsed):
            report.warnings += [
                Finding.of(issue, rule) for rule, issue in lint.named_warnings(parsed)
            ]
            return parsed
        case Result(error=issues):
            report.faults += map(Finding.of, issues)
            return None


def _compare(report: Report, values: flags.FlagValues, checked: Document) -> int:
    """Add the differences to the report; return the exit code."""
    if values.against:
        base = read_document(Path(values.against))
    elif values.control and not report.faults:
        base = _fetch_document(values)
    else:
        return ExitCode.OK
    match base:
        case Result(tag="ok", ok=old):
            report.differences = effects.list_differences(old, checked)
            issue = delta.size_issue(delta.compute_delta(old, checked))
            if issue is not None:
                report.faults.append(Finding.of(issue))
            return ExitCode.OK
        case Result(error=list(issues)):
            report.faults += [
                Finding(f"--against {issue.path}", issue.message) for issue in issues
            ]
            return ExitCode.FAILED
        case Result(error=code):
            return code


def _fetch_document(values: flags.FlagValues) -> Result[Document, int]:
    fetched: list[Document] = []

    async def fetch(client: OperatorsClient, access: Access) -> int:
        match await client.get_document():
            case Result(tag="ok", ok=answer):
                fetched.append(answer.document)
                return ExitCode.OK
            case Result(error=error):
                return operators.print_error(error)

    code = operators.run(values, fetch)
    return Ok(fetched[0]) if fetched else Error(code)
