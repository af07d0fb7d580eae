"""The bytes that a process may hold for its callers, and who gets them.

It is for hundreds of callers at a time that send bodies of the largest size, most of
which stop short of their end, or that don't read their responses. All of them would
need more than ten times the memory of the VM.

A claim is admitted by the size that is announced, before anything is received. Parts of
the budget are reserved for smaller claims, so that large ones can't use up what most
callers need. When there is no room, claims without progress are dropped, the one
without progress for the longest time first, but only if that makes room.
"""

import enum
from collections import Counter
from collections.abc import Callable, Sequence

BYTES_PER_MB = 1024 * 1024
DEFAULT_BYTES = 128 * BYTES_PER_MB
"""Budget of a process whose memory is not known; half of it is for large bodies."""
PROCESS_MB = 67
"""Resident memory of a loaded entry without what it holds for callers."""
BUDGET_SHARE = 0.4
"""Part of the remaining memory; the rest is for buffers of connections, which take
128 KiB each at most, for copies, and for the reserve of the allocator."""
MIN_BYTES = 8 * BYTES_PER_MB
SMALL_BYTES = 64 * 1024
"""Most bodies are smaller than this."""
MEDIUM_BYTES = BYTES_PER_MB
SHARES = {SMALL_BYTES: 0.75, MEDIUM_BYTES: 0.5}
"""Which part of the budget all claims may use that are larger than a size. The rest is
for smaller ones: on the smallest entry over a hundred of the small ones at a time."""
STALL_S = 1.0
"""A claim may be dropped after that time without progress. It is several times what a
lost packet takes to be sent again."""
FULL_TRANSFER_S = 30.0
"""Progress means to be complete in that time at the same rate."""


class Use(enum.Enum):
    """What a claim is for."""

    BODY = "body"
    RESPONSE = "response"


def budget_bytes(memory_mb: float | None) -> int:
    """Return the budget of a process on a VM with some memory, None if not known."""
    if memory_mb is None:
        return DEFAULT_BYTES
    usable_mb = max(memory_mb - PROCESS_MB, 0.0)
    return max(int(BUDGET_SHARE * usable_mb * BYTES_PER_MB), MIN_BYTES)


class Claim:
    """What one request holds.

    It can be dropped while `on_drop` is set, which must free its bytes at once.
    """

    __slots__ = (
        "_at_progress",
        "_budget",
        "_progress_at",
        "is_dropped",
        "on_drop",
        "size",
        "use",
    )

    def __init__(self, budget: "MemoryBudget", use: Use) -> None:
        self._budget = budget
        self._progress_at = 0.0
        self._at_progress = 0
        self.use = use
        self.size = 0
        self.is_dropped = False
        self.on_drop: Callable[[], None] | None = None

    def try_hold(self, size: int, at: float) -> bool:
        """Hold `size` bytes in all, if there is room for them."""
        return self._budget.try_change(self, size, at)

    def fits(self, size: int) -> bool:
        """Return whether there is room for `size` bytes without dropping anything."""
        return self._budget.has_free_room(self, size)

    def hold(self, size: int) -> None:
        """Hold `size` bytes in all, which are there already."""
        self._budget.change(self, size)

    def release(self) -> None:
        """Hold nothing any more."""
        self.on_drop = None
        self._budget.change(self, 0)

    def watch_progress(self, on_drop: Callable[[], None], at: float) -> None:
        """Let the claim be dropped from now on while it makes no progress."""
        self.on_drop = on_drop
        self._progress_at = at
        self._at_progress = 0

    def record_progress(self, transferred: int, at: float) -> None:
        """Record how many bytes have been transferred since `watch_progress`.

        It counts as progress if the rate suffices to be complete in time.
        """
        due = min(self.size * STALL_S / FULL_TRANSFER_S, self.size)
        if transferred - self._at_progress >= max(due, 1.0):
            self._progress_at = at
            self._at_progress = transferred

    def stalled_s(self, at: float) -> float:
        """Return for how long the claim has made no progress."""
        return at - self._progress_at


class MemoryBudget:
    """The claims of all requests of a process, `max_bytes` at most."""

    def __init__(self, max_bytes: int = DEFAULT_BYTES) -> None:
        self.max_bytes = max_bytes
        self.held = 0
        self.held_by: Counter[Use] = Counter()
        self.on_refused: Callable[[Use, int], None] | None = None
        self.on_dropped: Callable[[Claim, float], None] | None = None
        self._held_larger = dict.fromkeys(SHARES, 0)
        self._claims: set[Claim] = set()

    @property
    def max_claim_bytes(self) -> int:
        """Return the size of the largest claim that is ever admitted."""
        return int(min(SHARES.values()) * self.max_bytes)

    def open(self, use: Use) -> Claim:
        """Return a claim that holds nothing yet."""
        return Claim(self, use)

    def try_change(self, claim: Claim, size: int, at: float) -> bool:
        """Let a claim hold `size` bytes, dropping stalled ones if that makes room."""
        if claim.is_dropped:
            return False
        if size <= claim.size or self._has_room(claim, size, at):
            self.change(claim, size)
            return True
        if self.on_refused is not None:
            self.on_refused(claim.use, size)
        return False

    def change(self, claim: Claim, size: int) -> None:
        """Let a claim hold `size` bytes, whether there is room or not."""
        if claim.is_dropped:
            return
        self.held += size - claim.size
        self.held_by[claim.use] += size - claim.size
        for larger_than in SHARES:
            before = claim.size if claim.size > larger_than else 0
            after = size if size > larger_than else 0
            self._held_larger[larger_than] += after - before
        claim.size = size
        if size:
            self._claims.add(claim)
        else:
            self._claims.discard(claim)

    def has_free_room(self, claim: Claim, size: int) -> bool:
        """Return whether a claim may hold `size` bytes without dropping another."""
        return size <= claim.size or self._fits(claim, size)

    def _has_room(self, claim: Claim, size: int, at: float) -> bool:
        return self._fits(claim, size) or self._make_room(claim, size, at)

    def _fits(self, claim: Claim, size: int, dropped: Sequence[Claim] = ()) -> bool:
        """Return whether there is room for a claim without itself and those dropped."""
        gone = (claim, *dropped)
        if self.held - sum(other.size for other in gone) + size > self.max_bytes:
            return False
        for larger_than, share in SHARES.items():
            if size > larger_than:
                freed = sum(other.size for other in gone if other.size > larger_than)
                held = self._held_larger[larger_than] - freed
                if held + size > int(share * self.max_bytes):
                    return False
        return True

    def _make_room(self, claim: Claim, size: int, at: float) -> bool:
        """Drop as many stalled claims as are needed, or none if that isn't enough.

        Smaller claims are not dropped for larger ones.
        """
        stalled = [
            other
            for other in self._claims
            if other is not claim
            and other.on_drop is not None
            and other.stalled_s(at) >= STALL_S
            and _is_droppable_for(other, size)
        ]
        if not self._fits(claim, size, stalled):
            return False
        stalled.sort(key=lambda other: other.stalled_s(at), reverse=True)
        for count in range(1, len(stalled) + 1):
            if self._fits(claim, size, stalled[:count]):
                for dropped in stalled[:count]:
                    self._drop(dropped, at)
                return True
        return False

    def _drop(self, claim: Claim, at: float) -> None:
        if self.on_dropped is not None:
            self.on_dropped(claim, at)
        on_drop = claim.on_drop
        claim.release()
        claim.is_dropped = True
        on_drop()


def _is_droppable_for(other: Claim, size: int) -> bool:
    """Return whether a claim uses no part of the budget that `size` may not use."""
    return all(other.size > bound for bound in SHARES if size > bound)
