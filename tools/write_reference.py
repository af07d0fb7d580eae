"""Write the reference pages of the user guide from the schemas.

Run: `python tools/write_reference.py`; with `--check` it writes nothing and
exits with 1 if a page is out of date.
"""

import inspect
import sys
from pathlib import Path

import msgspec

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from fuchsiacroft.config import document, settings  # noqa: E402

GUIDE = ROOT / "docs" / "user-guide"
UNITS = {
    "_s": "seconds",
    "_bytes": "bytes",
    "_mb": "MiB",
    "_per_s": "per second",
    "_per_min": "per minute",
}
PAGES = {
    "settings": (
        settings,
        settings.Settings,
        "Settings",
        "Each process reads one JSON file, named by `--settings`. It is checked as a\n"
        "whole: `fuchsiacroft check --settings=FILE` names every fault with its path,\n"
        "and unknown keys are refused. `fuchsiacroft check --schema=settings` prints\n"
        "the JSON Schema. Addresses are `IP:PORT`.",
    ),
    "document": (
        document,
        document.Document,
        "The operators' document",
        "One JSON document is in force at a time, everywhere. It is changed through\n"
        "the console or with `fuchsiacroft apply`, and either takes effect everywhere\n"
        "or is refused with every fault named. `fuchsiacroft check --schema=document`\n"
        "prints the JSON Schema.",
    ),
}


def page(name: str) -> str:
    """Return the text of a reference page."""
    module, root, title, intro = PAGES[name]
    schema = msgspec.json.schema(root)
    defined = schema["$defs"]
    lines = [f"# {title}", "", "<!-- Written by tools/write_reference.py. -->", ""]
    lines += [intro, ""]
    for struct in _in_order(root.__name__, defined):
        lines += _section(struct, defined[struct], getattr(module, struct))
    return "\n".join(lines).rstrip() + "\n"


def _in_order(first: str, defined: dict) -> list[str]:
    found = [first]
    for name in found:
        text = msgspec.json.encode(defined[name]).decode()
        found += [
            other
            for other in defined
            if f'"#/$defs/{other}"' in text and other not in found
        ]
    return found


def _section(name: str, schema: dict, cls: type) -> list[str]:
    lines = [f"## {name}", "", inspect.getdoc(cls), ""]
    lines += ["| key | value | default | unit |", "| --- | --- | --- | --- |"]
    required = schema.get("required", [])
    for key, value in schema["properties"].items():
        default = "needed" if key in required else _default(value)
        lines.append(f"| `{key}` | {_type(value)} | {default} | {_unit(key)} |")
    return [*lines, ""]


def _type(value: dict) -> str:
    if "$ref" in value:
        name = value["$ref"].rpartition("/")[2]
        return f"[{name}](#{name.lower()})"
    if "anyOf" in value:
        return " or ".join(_type(option) for option in value["anyOf"])
    if "enum" in value:
        return ", ".join(f"`{option}`" for option in value["enum"])
    kind = value.get("type", "any")
    if kind == "array":
        text = f"list of {_type(value['items'])}"
        return f"{text}, {value['maxItems']} at most" if "maxItems" in value else text
    if kind == "object":
        inner = value.get("additionalProperties")
        return f"object of {_type(inner)}" if isinstance(inner, dict) else "object"
    return kind + _limits(value)


def _limits(value: dict) -> str:
    phrases = {
        "minimum": "at least",
        "maximum": "at most",
        "exclusiveMinimum": "more than",
        "exclusiveMaximum": "less than",
    }
    parts = [
        f"{phrase} {value[key]}" for key, phrase in phrases.items() if key in value
    ]
    if "pattern" in value:
        pattern = value["pattern"].replace("|", "\\|")
        parts.append(f"form `{pattern}`")
    return ", " + ", ".join(parts) if parts else ""


def _default(value: dict) -> str:
    if "default" not in value:
        return ""
    text = msgspec.json.encode(value["default"]).decode()
    return f"`{text}`" if len(text) <= 40 else "as below"


def _unit(key: str) -> str:
    for suffix in sorted(UNITS, key=len, reverse=True):
        if key.endswith(suffix):
            return UNITS[suffix]
    return ""


def main() -> int:
    """Write the pages, or check that they are up to date."""
    stale = []
    for name in PAGES:
        path = GUIDE / f"{name}.md"
        text = page(name)
        current = path.read_text(encoding="utf-8") if path.exists() else ""
        if current != text:
            stale.append(path.name)
        if "--check" not in sys.argv:
            path.write_text(text, encoding="utf-8")
    if stale and "--check" in sys.argv:
        print(f"out of date: {', '.join(stale)}; run make docs", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
