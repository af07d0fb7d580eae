"""The control members that an entry knows, and when it forgets one.

What the members report of their group comes from the replicated log and carries its
index there, so that reports can be ordered. The addresses in the settings are only a
way to find the members: a change of the settings adds addresses and removes none.
"""

from collections.abc import Iterable
from dataclasses import dataclass

RETENTION_S = 15.0
"""Longer than a restart of all control members at once takes."""
REPORT_TTL_S = 2.0
"""Several heartbeat periods of an entry."""


@dataclass(frozen=True, slots=True)
class ReportedGroup:
    """The control members that one of them named.

    `index` is the log index of the last committed change of `group`, which `addresses`
    reflect; 0 if the member knows of none and names the addresses in its settings.
    """

    group: str
    index: int
    addresses: frozenset[str]


class ControlDirectory:
    """Addresses of control members; it does no I/O and takes the time as an argument.

    An address is forgotten once the newest report, repeated just now, doesn't name it,
    and it has neither replied nor been named nor been a seed for `RETENTION_S`.
    """

    def __init__(self, seeds: Iterable[str]) -> None:
        self._seeds = frozenset(seeds)
        self._named_at = dict.fromkeys(self._seeds, 0.0)
        self._newest: ReportedGroup | None = None
        self._newest_at = 0.0

    def addresses(self) -> tuple[str, ...]:
        """Return every address under which a control member may be reached."""
        return tuple(sorted(self._named_at))

    def members(self) -> frozenset[str]:
        """Return the group by its newest report, or all addresses if there is none."""
        if self._newest is None:
            return frozenset(self._named_at)
        return self._newest.addresses

    def set_seeds(self, seeds: Iterable[str], at: float) -> None:
        """Replace the addresses that the settings name."""
        before, self._seeds = self._seeds, frozenset(seeds)
        self._record_named(before | self._seeds, at)

    def record_reply(self, source: str, reported: ReportedGroup, at: float) -> None:
        """Record that `source` has replied, and what it reported."""
        self._record_named({source} | reported.addresses, at)
        if reported.index and self._is_current(reported, at):
            self._newest, self._newest_at = reported, at

    def remove_expired(self, at: float) -> None:
        """Forget the addresses whose retention has ended."""
        if self._newest is None or at - self._newest_at > REPORT_TTL_S:
            return
        kept = self._seeds | self._newest.addresses
        self._named_at = {
            address: named_at
            for address, named_at in self._named_at.items()
            if address in kept or at - named_at <= RETENTION_S
        }

    def _record_named(self, addresses: Iterable[str], at: float) -> None:
        self._named_at.update(dict.fromkeys(addresses, at))

    def _is_current(self, reported: ReportedGroup, at: float) -> bool:
        """Return whether a report is at least as new as the newest one.

        Indexes of different groups can't be compared: another group counts once the
        known one has not been reported for `RETENTION_S`.
        """
        newest = self._newest
        if newest is None:
            return True
        if reported.group == newest.group:
            return reported.index >= newest.index
        return at - self._newest_at > RETENTION_S
