"""Checks JSON against a schema and names every fault with its path."""

import difflib
from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result
from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

SECRET_PART = "$.keys"
MAX_SHOWN_CHARS = 100
TYPE_NAMES = {
    "integer": "a whole number",
    "number": "a number",
    "string": "a text",
    "boolean": "true or false",
    "array": "a list",
    "object": "an object",
    "null": "null",
}


@dataclass(frozen=True, slots=True)
class ValidationIssue:
    """One thing wrong: the JSON path, and a sentence that says what to do."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


def decode_json(data: bytes | str, cls: type) -> Result[object, list[ValidationIssue]]:
    """Return the decoded value of type `cls`, or every fault found in it."""
    try:
        value = msgspec.json.decode(data)
    except (msgspec.MsgspecError, RecursionError) as exc:
        return Error([ValidationIssue("$", f"is not JSON: {exc}")])
    return validate_value(value, cls)


def validate_value(value: object, cls: type) -> Result[object, list[ValidationIssue]]:
    """Return a JSON value converted to `cls`, or every fault found in it."""
    try:
        return Ok(msgspec.convert(value, cls))
    except msgspec.ValidationError as exc:
        return Error(_every_fault(value, cls) or [ValidationIssue("$", str(exc))])


def suggestion(name: str, known: list[str]) -> str:
    """Return a hint that names the nearest known name, or an empty string."""
    close = difflib.get_close_matches(name, known, n=1, cutoff=0.6)
    return f'; did you mean "{close[0]}"?' if close else ""


def _every_fault(value: object, cls: type) -> list[ValidationIssue]:
    validator = Draft202012Validator(msgspec.json.schema(cls))
    faults = []
    for error in validator.iter_errors(value):
        faults.extend(_explain(error))
    return sorted(faults, key=lambda fault: fault.path)


def _explain(error: ValidationError) -> list[ValidationIssue]:
    path = error.json_path
    if _is_secret(path):
        return _explain_secret(error, path)
    if error.validator == "additionalProperties":
        return _unknown_keys(error, path)
    if error.validator == "enum":
        allowed = ", ".join(str(name) for name in error.validator_value)
        hint = suggestion(str(error.instance), [str(v) for v in error.validator_value])
        return [
            ValidationIssue(path, f"{error.instance!r} is not one of {allowed}{hint}")
        ]
    if error.validator == "anyOf" and error.context:
        inner = max(error.context, key=lambda err: len(err.absolute_path))
        if inner.json_path != path:
            return _explain(inner)
    return [ValidationIssue(path, _in_words(error))]


def _in_words(error: ValidationError) -> str:
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
    return path == SECRET_PART or path.startswith(SECRET_PART + ".")


def _explain_secret(error: ValidationError, path: str) -> list[ValidationIssue]:
    """Name a fault without the value, which may hold a secret key."""
    if error.validator == "additionalProperties":
        return _unknown_keys(error, path)
    if error.validator == "required":
        return [ValidationIssue(path, error.message)]
    if error.context:
        inner = [one for one in error.context if one.validator != "type"]
        if inner:
            return [
                fault for one in inner for fault in _explain_secret(one, one.json_path)
            ]
    return [ValidationIssue(path, f"does not fit the schema ({error.validator})")]


def _unknown_keys(error: ValidationError, path: str) -> list[ValidationIssue]:
    known = list(error.schema.get("properties", {}))
    faults = []
    for key in error.instance:
        if key not in known:
            text = f"unknown key; known are {', '.join(known)}"
            faults.append(
                ValidationIssue(f"{path}.{key}", text + suggestion(key, known))
            )
    return faults
