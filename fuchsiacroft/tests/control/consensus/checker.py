"""Checks the invariants of a consensus group while it runs.

1. At most one member is leader of a term.
2. At most one member holds a lease at any time.
3. All members apply the same command at the same index, each command once.
4. An acknowledged command is contained in every later state.
5. A command rejected with `NOT_LEADER` or `NO_QUORUM` is in no state.
6. A write or read that begins after a write was acknowledged is ordered after it.
"""

from expression import Result

from fuchsiacroft.control.log import Applied, ProposeError
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup, Node


class Checker:
    """Records acknowledged outcomes and compares them with what members apply."""

    def __init__(self, group: ConsensusGroup) -> None:
        self.group = group
        self.leaders: dict[int, str] = {}
        self.applied: dict[int, int] = {}
        self.index_of: dict[int, int] = {}
        self.acknowledged: set[int] = set()
        self.rejected: set[int] = set()
        self.last_acknowledged = 0
        self.counts = {"ok": 0, "refused": 0, "unknown": 0, "reads": 0, "no_read": 0}
        group.on_apply = self.record_apply
        group.on_start = self.watch_elections

    def watch_elections(self, node: Node) -> None:
        """Record each election that the member wins."""
        member = node.log.member
        become_leader = member.become_leader

        def record_leader():
            known = self.leaders.setdefault(member.term, member.identity)
            self.require(known == member.identity, f"two leaders in term {member.term}")
            become_leader()

        member.become_leader = record_leader

    def record_apply(self, index: int, value: int) -> None:
        """Compare an applied command with what others applied at the index."""
        known = self.applied.setdefault(index, value)
        self.require(
            known == value, f"both {known} and {value} applied at index {index}"
        )
        known_index = self.index_of.setdefault(value, index)
        self.require(
            known_index == index, f"{value} at indexes {known_index} and {index}"
        )
        self.require(value not in self.rejected, f"{value} was rejected and applied")

    def record_outcome(
        self, value: int, began_after: int, outcome: Result[Applied, ProposeError]
    ) -> None:
        """Record the outcome that a proposer received."""
        match outcome:
            case Result(tag="ok", ok=applied):
                self.counts["ok"] += 1
                self.require(
                    applied.index > began_after,
                    f"{value} is ordered before an acknowledged write",
                )
                self.acknowledged.add(value)
                self.last_acknowledged = max(self.last_acknowledged, applied.index)
            case Result(error=ProposeError.UNKNOWN):
                self.counts["unknown"] += 1
            case _:
                self.counts["refused"] += 1
                self.require(
                    value not in self.index_of, f"{value} was applied and rejected"
                )
                self.rejected.add(value)

    def record_read(
        self, node: Node, began_after: int, outcome: Result[int, ProposeError]
    ) -> None:
        """Compare a read with the writes acknowledged before it began."""
        if outcome.is_error():
            self.counts["no_read"] += 1
            return
        self.counts["reads"] += 1
        self.require(outcome.ok >= began_after, f"stale read at {node.name}")

    def check_leases(self) -> None:
        """Check that at most one member holds a lease now."""
        holders = []
        for node in self.group.nodes:
            if node.is_running and not node.folder.is_closed and holds_lease(node):
                holders.append(node.name)
        self.require(len(holders) <= 1, f"leases held by {holders}")

    def check_states(self) -> None:
        """Compare the final states with each other and with the recorded outcomes."""
        states = {node.name: node.machine.values for node in self.group.nodes}
        first = next(iter(states.values()))
        for name, values in states.items():
            self.require(values == first, f"states differ at {name}")
        self.require(len(set(first)) == len(first), "a command was applied twice")
        missing = self.acknowledged - set(first)
        self.require(not missing, f"acknowledged and lost: {sorted(missing)[:5]}")
        wrong = self.rejected & set(first)
        self.require(not wrong, f"rejected and applied: {sorted(wrong)[:5]}")

    def require(self, condition: bool, text: str) -> None:
        """Record a violation and raise if the condition does not hold."""
        if not condition:
            self.violation = text
            raise ViolationError(text)

    violation: str | None = None


class ViolationError(AssertionError):
    """An invariant is violated."""


def holds_lease(node: Node) -> bool:
    """Return whether a member holds a lease now."""
    leadership = node.log.leadership
    return leadership is not None and leadership.holds_lease
