"""The part of shared limits that falls to one failure domain.

Each domain's coordinator tells the others what its workspaces ask for. A quota
is split by that demand. While any other domain is silent the split stays as it
was, so that the parts of domains that cannot hear each other never grow
together past the whole.
"""

from dataclasses import dataclass

FRESH_S = 0.3
"""A domain that has told nothing for longer, some periods, is silent."""
KEPT_S = 60.0
"""A domain silent for longer has no entries any more; its part is free."""
LEAST_SHARE = 0.02
"""What a domain keeps of a quota that it did not ask for lately."""


@dataclass(frozen=True, slots=True)
class Told:
    """What one other domain said of its demand, and when."""

    demand: dict[str, float]
    at: float


class Shares:
    """Splits each workspace's quota between the domains."""

    def __init__(self) -> None:
        self._told: dict[str, Told] = {}
        self._shares: dict[str, float] = {}
        self._domains = 1

    def set_domains(self, count: int) -> None:
        """Note how many failure domains the region has."""
        self._domains = max(count, 1)

    def hear(self, domain: str, demand: dict[str, float], at: float) -> None:
        """Take in what another domain asks for."""
        self._told[domain] = Told(demand, at)

    def even(self) -> float:
        """Return the part of one domain if all have the same."""
        return 1.0 / self._domains

    def of(self, workspace: str) -> float:
        """Return this domain's part of a workspace's quota."""
        return self._shares.get(workspace, self.even())

    def update(self, own: dict[str, float], at: float) -> None:
        """Split the quotas anew, if every other domain has been heard lately."""
        self._told = {
            d: told for d, told in self._told.items() if at - told.at < KEPT_S
        }
        others = list(self._told.values())
        if len(others) + 1 < self._domains:
            return
        if any(at - told.at > FRESH_S for told in others):
            return
        names = set(own)
        for told in others:
            names |= told.demand.keys()
        self._shares = {name: _share(name, own, others) for name in names}


def _share(name: str, own: dict[str, float], others: list[Told]) -> float:
    mine = own.get(name, 0.0)
    total = mine + sum(told.demand.get(name, 0.0) for told in others)
    spread = 1.0 - LEAST_SHARE * (len(others) + 1)
    return LEAST_SHARE + spread * mine / total if total > 0 else 1 / (len(others) + 1)
