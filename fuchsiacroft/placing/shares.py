"""What a region's other failure domains do with shared quotas.

While every domain is heard, each counts what all of them spent. While one is
silent, nobody knows what it spends; each then keeps to the part of the quota
that it had in what was last known, so that the parts of domains that cannot
hear each other never add up to more than the whole.
"""

from dataclasses import dataclass

from fuchsiacroft.placing.quotas import RemoteUsage

FRESH_S = 0.3
"""A domain that has told nothing for longer, some periods, is silent."""
KEPT_S = 60.0
"""A domain silent for longer has no entries any more; its part is free."""
LEAST_SHARE = 0.02
"""What a domain keeps of a quota that it did not spend from lately."""
TOLD_AGE_S = 0.03
"""How old what a domain tells is when it arrives, at most."""


@dataclass(frozen=True, slots=True)
class Told:
    """What another domain said that it spent and is asked for, and when."""

    spent: dict[str, float]
    demand: dict[str, float]
    at: float


class Shares:
    """Keeps account of the other domains."""

    def __init__(self) -> None:
        self._told: dict[str, Told] = {}
        self._parts: dict[str, float] = {}
        self._is_frozen = True
        self._domains = 1

    def heard_since(self, oldest: float) -> bool:
        """Tell whether any other domain has told anything lately."""
        return any(told.at >= oldest for told in self._told.values())

    def set_domains(self, count: int) -> None:
        """Note how many failure domains the region has."""
        self._domains = max(count, 1)

    def update_domain(
        self, domain: str, spent: dict[str, float], demand: dict[str, float], at: float
    ) -> None:
        """Take in what another domain says."""
        self._told[domain] = Told(spent, demand, at)

    def remote_usage(self, workspace: str, at: float) -> RemoteUsage:
        """Return what the others spent, or the part that is left to this domain."""
        even = 1.0 / self._domains
        part = self._parts.get(workspace, even)
        if self._is_frozen:
            return RemoteUsage(share=part)
        spent = sum(_guessed(told, workspace, at) for told in self._told.values())
        return RemoteUsage(spent, pace=max(part, even))

    def update(self, own: dict[str, float], at: float) -> None:
        """Look who is silent, given what this domain spent itself."""
        self._told = {
            d: told for d, told in self._told.items() if at - told.at < KEPT_S
        }
        others = self._told.values()
        is_whole = len(others) + 1 >= self._domains
        self._is_frozen = not is_whole or any(at - t.at > FRESH_S for t in others)
        if not self._is_frozen:
            names = set(own).union(*(told.spent for told in others))
            self._parts = {name: self._share(name, own) for name in names}

    def _share(self, name: str, own: dict[str, float]) -> float:
        count = len(self._told) + 1
        mine = own.get(name, 0.0)
        total = mine + sum(told.spent.get(name, 0.0) for told in self._told.values())
        if total <= 0:
            return 1 / count
        return LEAST_SHARE + (1.0 - LEAST_SHARE * count) * mine / total


def _guessed(told: Told, workspace: str, at: float) -> float:
    """Return what a domain has spent by now, at its demand since it told."""
    age_s = at - told.at + TOLD_AGE_S
    return told.spent.get(workspace, 0.0) + told.demand.get(workspace, 0.0) * age_s
