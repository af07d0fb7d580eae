"""Measure what the origins of streams cost an entry: choosing owners, and memory.

Usage: python tools/bench_stream_origins.py
"""

import sys
import timeit
import tracemalloc
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.streams.origin import StreamOrigin, stream_key
from fuchsiacroft.streams.origin_store import OriginFact, OriginStore
from fuchsiacroft.streams.owners import owners_to_notify, owners_to_query

SIZES = ((3, 2), (3, 13), (3, 65), (8, 118))
"""Failure domains, and entries in each."""
CALLS = 2_000
STREAMS = 20_000
KEPT_S = 15.0


def entries(domains: int, each: int) -> tuple[EntryRecord, ...]:
    """Return the entries of a region."""
    return tuple(
        EntryRecord(f"e-{domain}-{number}", f"d-{domain}", "10.0.0.1:1", 1)
        for domain in range(domains)
        for number in range(each)
    )


def mean_us(call) -> float:
    """Return the mean time of a call with a new key each time."""
    keys = iter(stream_key("w", str(number)) for number in range(CALLS))
    return timeit.timeit(lambda: call(next(keys)), number=CALLS) / CALLS * 1e6


def bytes_a_stream() -> float:
    """Return the memory of one stream in the store."""
    tracemalloc.start()
    store = OriginStore()
    for number in range(STREAMS):
        origin = StreamOrigin("lens", "v1")
        store.merge(OriginFact(stream_key("w", str(number)), (origin,), KEPT_S), 0.0)
    return tracemalloc.get_traced_memory()[0] / STREAMS


def main() -> int:
    """Print a line for each size of a region, and the memory of a stream."""
    for domains, each in SIZES:
        known = entries(domains, each)
        told_us = mean_us(lambda key, known=known: owners_to_notify(key, known, "d-0"))
        asked_us = mean_us(lambda key, known=known: owners_to_query(key, known))
        print(
            f"domains={domains} entries={len(known)} told_us={told_us:.0f} "
            f"asked_us={asked_us:.0f}"
        )
    print(f"bytes_a_stream={bytes_a_stream():.0f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
