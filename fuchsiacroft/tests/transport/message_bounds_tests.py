"""Tests that the numbers of all messages between processes are bounded."""

import importlib
import pkgutil
from collections.abc import Iterator

import msgspec
from msgspec import inspect

import fuchsiacroft
from fuchsiacroft.config import bounds
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.transport import codec

OPEN_ABOVE = tuple(
    inspect.type_info(kind) for kind in (bounds.Hash64, bounds.Age, bounds.Rate)
)
"""Types without an upper bound: 64 bits hold the first, the others may be infinite."""


def is_bounded(number: inspect.Type) -> bool:
    """Return whether a number has a lower and an upper bound."""
    lowest = number.ge if number.ge is not None else number.gt
    highest = number.le if number.le is not None else number.lt
    return number in OPEN_ABOVE or None not in (lowest, highest)


def numbers(
    found: inspect.Type, path: str = "", seen: frozenset[type] = frozenset()
) -> Iterator[tuple[str, inspect.Type]]:
    """Yield each number in a type, at any depth, with the path to it."""
    if isinstance(found, inspect.IntType | inspect.FloatType):
        yield path, found
    if isinstance(found, inspect.StructType) and found.cls not in seen:
        seen |= {found.cls}
        for field in found.fields:
            yield from numbers(field.type, f"{path}.{field.name}", seen)
    inner = [getattr(found, name, None) for name in ("item_type", "key_type")]
    inner += [getattr(found, name, None) for name in ("value_type", "type")]
    for number, part in enumerate((*inner, *getattr(found, "types", ()))):
        if part is not None:
            yield from numbers(part, f"{path}[{number}]", seen)
    if isinstance(found, inspect.TupleType):
        for part in found.item_types:
            yield from numbers(part, f"{path}()", seen)


class BoundsTests(TestCase):
    """What peers send is bounded by the types of the messages."""

    def setUp(self) -> None:
        super().setUp()
        for module in pkgutil.walk_packages(fuchsiacroft.__path__, "fuchsiacroft."):
            if ".tests" not in module.name and not module.name.endswith("__main__"):
                importlib.import_module(module.name)

    def test_a_number_of_a_message_has_no_bounds(self):
        unbounded = sorted(
            f"{kind}: {path}"
            for kind, message_type in codec._TYPES_BY_KIND.items()
            for path, number in numbers(inspect.type_info(message_type))
            if not is_bounded(number)
        )
        self.assertEqual([], [item for item in unbounded if "test." not in item])

    def test_a_number_that_is_none_passes_a_bound(self):
        for bounded in (bounds.Age, bounds.Rate, bounds.Seconds, bounds.Amount):
            data = msgspec.msgpack.encode(float("nan"))
            with self.assertRaises(msgspec.ValidationError):
                msgspec.msgpack.decode(data, type=bounded)
