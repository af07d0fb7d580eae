"""Validates JSON against a schema and lists every issue with its path."""

import difflib
import types
import typing
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

import msgspec
from expression import Error, Ok, Result

if TYPE_CHECKING:
    from jsonschema.exceptions import ValidationError

T = TypeVar("T")

SECRET_PATH = "$.keys"
MAX_SHOWN_CHARS = 100
TYPE_NAMES = {
    "integer": "a whole number",
    "number": "a number",
    "string": "a string",
    "boolean": "true or false",
    "array": "a list",
    "object": "an object",
    "null": "null",
}


@dataclass(frozen=True, slots=True)
class ValidationIssue:
    """A validation issue: its JSON path and a message."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


def decode_wire(data: bytes, cls: type[T]) -> Result[T, ValidationIssue]:
    """Return the decoded value of type `cls`, or its first issue.

    The issue holds the field, the value if it is a number or text, and the limit.
    """
    try:
        return Ok(msgspec.json.decode(data, type=cls))
    except msgspec.ValidationError as exc:
        return Error(_first_issue_of(data, cls) or ValidationIssue("$", str(exc)))
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        return Error(ValidationIssue("$", f"cannot be read: {exc}"))


def first_issue(value: object, cls: type, path: str = "$") -> ValidationIssue | None:
    """Return the first issue of a JSON value that should be of type `cls`."""
    try:
        msgspec.convert(value, cls)
        return None
    except msgspec.ValidationError as exc:
        reason = str(exc).partition(" - at `")[0]
    for key, inner, inner_cls in _children(value, cls):
        issue = first_issue(inner, inner_cls, path + key)
        if issue is not None:
            return issue
    if isinstance(value, int | float | str):
        shown = msgspec.json.encode(value).decode()[:MAX_SHOWN_CHARS]
        reason += f", is {shown}"
    return ValidationIssue(path, reason)


def _first_issue_of(data: bytes, cls: type) -> ValidationIssue | None:
    try:
        value = msgspec.json.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return None
    return first_issue(value, cls)


def _children(value: object, cls: type) -> Iterator[tuple[str, object, type]]:
    """Yield the path, value and type of what a value of type `cls` holds."""
    for plain in _plain_types(cls):
        origin = typing.get_origin(plain)
        if isinstance(value, list) and origin in (list, tuple):
            for i, item in enumerate(value):
                yield f"[{i}]", item, typing.get_args(plain)[0]
        elif isinstance(value, dict) and issubclass(origin or plain, msgspec.Struct):
            for field in msgspec.structs.fields(plain):
                if field.encode_name in value:
                    name = field.encode_name
                    yield f".{name}", value[name], field.type


def _plain_types(cls: type) -> Iterator[type]:
    """Yield the types of a union, each without its bounds."""
    origin = typing.get_origin(cls)
    if origin is typing.Annotated:
        yield from _plain_types(typing.get_args(cls)[0])
    elif origin in (typing.Union, types.UnionType):
        for one in typing.get_args(cls):
            yield from _plain_types(one)
    elif origin is not typing.Literal:
        yield cls


def decode_json(data: bytes | str, cls: type) -> Result[object, list[ValidationIssue]]:
    """Return the decoded value of type `cls`, or every issue found in it."""
    try:
        value = msgspec.json.decode(data)
    except (msgspec.MsgspecError, RecursionError) as exc:
        return Error([ValidationIssue("$", f"is not JSON: {exc}")])
    return validate_value(value, cls)


def validate_value(value: object, cls: type) -> Result[object, list[ValidationIssue]]:
    """Return a JSON value converted to `cls`, or every issue found in it."""
    try:
        return Ok(msgspec.convert(value, cls))
    except msgspec.ValidationError as exc:
        return Error(_collect_issues(value, cls) or [ValidationIssue("$", str(exc))])


def suggestion(name: str, known: list[str]) -> str:
    """Return a hint with the closest known name, or an empty string."""
    close = difflib.get_close_matches(name, known, n=1, cutoff=0.6)
    return f'; did you mean "{close[0]}"?' if close else ""


def _collect_issues(value: object, cls: type) -> list[ValidationIssue]:
    # Imported for invalid values only, as every process would start later by it.
    from jsonschema import Draft202012Validator

    validator = Draft202012Validator(msgspec.json.schema(cls))
    issues = []
    for error in validator.iter_errors(value):
        issues.extend(_issues_of(error))
    return sorted(issues, key=lambda issue: issue.path)


def _issues_of(error: "ValidationError") -> list[ValidationIssue]:
    path = error.json_path
    if _is_secret(path):
        return _issues_of_secret(error, path)
    if error.validator == "additionalProperties":
        return _unknown_key_issues(error, path)
    if error.validator == "enum":
        allowed = ", ".join(str(name) for name in error.validator_value)
        hint = suggestion(str(error.instance), [str(v) for v in error.validator_value])
        return [
            ValidationIssue(path, f"{error.instance!r} is not one of {allowed}{hint}")
        ]
    if error.validator == "anyOf" and error.context:
        inner = max(error.context, key=lambda err: len(err.absolute_path))
        if inner.json_path != path:
            return _issues_of(inner)
    return [ValidationIssue(path, _describe(error))]


def _describe(error: "ValidationError") -> str:
    value = "this value"
    if not isinstance(error.instance, (dict, list)):
        value = msgspec.json.encode(error.instance).decode()[:MAX_SHOWN_CHARS]
    limit = error.validator_value
    match error.validator:
        case "type":
            wanted = [limit] if isinstance(limit, str) else limit
            names = " or ".join(TYPE_NAMES.get(name, name) for name in wanted)
            return f"{value} is not {names}"
        case "required":
            return error.message
        case "minimum":
            return f"{value} is less than {limit}"
        case "exclusiveMinimum":
            return f"{value} is not more than {limit}"
        case "maximum":
            return f"{value} is more than {limit}"
        case "pattern":
            return f"{value} does not have the form {limit}"
    return error.message


def _is_secret(path: str) -> bool:
    return path == SECRET_PATH or path.startswith(SECRET_PATH + ".")


def _issues_of_secret(error: "ValidationError", path: str) -> list[ValidationIssue]:
    """Describe an issue without the value, which may contain a secret key."""
    if error.validator == "additionalProperties":
        return _unknown_key_issues(error, path)
    if error.validator == "required":
        return [ValidationIssue(path, error.message)]
    if error.context:
        relevant = [nested for nested in error.context if nested.validator != "type"]
        if relevant:
            return [
                issue
                for nested in relevant
                for issue in _issues_of_secret(nested, nested.json_path)
            ]
    return [ValidationIssue(path, f"does not fit the schema ({error.validator})")]


def _unknown_key_issues(error: "ValidationError", path: str) -> list[ValidationIssue]:
    known = list(error.schema.get("properties", {}))
    issues = []
    for key in error.instance:
        if key not in known:
            text = f"unknown key; known are {', '.join(known)}"
            issues.append(
                ValidationIssue(f"{path}.{key}", text + suggestion(key, known))
            )
    return issues
