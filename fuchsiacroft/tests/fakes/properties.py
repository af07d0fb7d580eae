"""Strategies of what others send, and the profile of the tests that use them.

The profile makes runs small and the same each time: no seed by chance, no database.
"""

import msgspec
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

settings.register_profile(
    "fuchsiacroft",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fuchsiacroft")

EDGES = (
    0,
    -1,
    1,
    2**31,
    2**53,
    2**63 - 1,
    2**63,
    2**64 - 1,
    2**64,
    -(2**63) - 1,
    10**30,
)
NUMBERS = st.one_of(
    st.sampled_from(EDGES),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
)
TEXTS = st.one_of(
    st.sampled_from(("", "\n", "a\n", "\x00", "10.0.0.1:99999", "\u20ac", "\uff11")),
    st.text(st.characters(exclude_categories=("Cs",)), max_size=20),
)
VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), NUMBERS, TEXTS),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(TEXTS, inner, max_size=3)
    ),
    max_leaves=8,
)
FOREIGN_BYTES = st.one_of(
    st.binary(max_size=60),
    VALUES.map(msgspec.json.encode),
    st.sampled_from(
        (b"[" * 20_000, b"9" * 5_000, b'{"version":' + b"9" * 5_000 + b"}", b"1e999")
    ),
)


@st.composite
def changed(draw: st.DrawFn, document: dict) -> dict:
    """Return a document in which one or two values, at any depth, are others."""
    copy = msgspec.json.decode(msgspec.json.encode(document))
    for _ in range(draw(st.integers(1, 2))):
        holder, key = draw(st.sampled_from(list(_places(copy))))
        is_number = isinstance(holder[key], int | float)
        holder[key] = draw(NUMBERS if is_number else VALUES)
    return copy


def _places(value: object):
    """Yield each holder and key of a document."""
    pairs = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in list(pairs):
        yield value, key
        if isinstance(inner, dict | list):
            yield from _places(inner)


def numbers_of(value: object):
    """Yield every number in a value of plain types."""
    if isinstance(value, dict):
        value = [*value.keys(), *value.values()]
    if isinstance(value, list | tuple | set | frozenset):
        for inner in value:
            yield from numbers_of(inner)
    elif isinstance(value, int | float) and not isinstance(value, bool):
        yield value
