"""Which version each process was last heard to hold."""

from dataclasses import dataclass

from fuchsiacroft.utils.clock import now

TTL_S = 15.0


@dataclass(frozen=True, slots=True)
class Heard:
    """A version that a process said it holds, and when."""

    version: int
    heard_at: float


class NodeVersions:
    """Versions by node name; a node not heard for `TTL_S` is forgotten."""

    def __init__(self) -> None:
        self._heard: dict[str, Heard] = {}

    def record(self, versions: dict[str, int]) -> None:
        """Take over what another process reported, unless it is older news."""
        for node, version in versions.items():
            known = self._heard.get(node)
            if known is None or version >= known.version or self._is_old(known):
                self._heard[node] = Heard(version, now())

    def versions(self) -> dict[str, int]:
        """Return the versions heard lately."""
        for node, heard in list(self._heard.items()):
            if self._is_old(heard):
                del self._heard[node]
        return {node: heard.version for node, heard in self._heard.items()}

    @staticmethod
    def _is_old(heard: Heard) -> bool:
        return heard.heard_at < now() - TTL_S
