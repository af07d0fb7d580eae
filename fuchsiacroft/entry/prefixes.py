"""Digests of prompt prefixes, computed identically on entries and engines."""

import xxhash

PREFIX_BLOCK_BYTES = 1024
MAX_PREFIX_BLOCKS = 32


def digests(body: bytes | None) -> tuple[int, ...]:
    """Return the digest of each prefix of full blocks, shortest first."""
    if body is None or len(body) < PREFIX_BLOCK_BYTES:
        return ()
    digest = xxhash.xxh64()
    found = []
    full_blocks = min(len(body) // PREFIX_BLOCK_BYTES, MAX_PREFIX_BLOCKS)
    for i in range(full_blocks):
        start = i * PREFIX_BLOCK_BYTES
        digest.update(body[start : start + PREFIX_BLOCK_BYTES])
        found.append(digest.intdigest())
    return tuple(found)
