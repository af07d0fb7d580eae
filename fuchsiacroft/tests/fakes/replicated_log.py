"""Fake replicated logs whose members commit immediately."""

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.control.log import Applied, ProposeError, ReplicatedLog


class FakeLogGroup:
    """The members of a group whose leader the test chooses."""

    def __init__(self) -> None:
        self.members: list[FakeReplicatedLog] = []
        self.term = 1
        self.leader: FakeReplicatedLog | None = None
        self._index = 0

    def member(self) -> "FakeReplicatedLog":
        """Add a member and return it; the first member is the leader."""
        log = FakeReplicatedLog(self)
        self.members.append(log)
        self.leader = self.leader or log
        return log

    def elect(self, log: "FakeReplicatedLog") -> None:
        """Start a new term with the given leader."""
        self.term += 1
        self.leader = log

    def commit(self, command: msgspec.Struct) -> Applied:
        """Apply a command on every member."""
        self._index += 1
        results = [log.apply(self._index, command) for log in self.members]
        return Applied(self._index, results[0])


class FakeReplicatedLog(ReplicatedLog):
    """The log of one member; any member may propose, as proposals are forwarded."""

    def __init__(self, group: FakeLogGroup) -> None:
        self._group = group
        self._machines = []
        self.is_isolated = False

    def register_state_machine(self, name, machine) -> None:
        """Register a state machine."""
        self._machines.append(machine)

    def apply(self, index, command):
        """Apply a command to the state machine that accepts it."""
        for machine in self._machines:
            if isinstance(command, machine.commands):
                return machine.apply(index, command)
        return None

    async def propose(self, command, timeout) -> Result[Applied, ProposeError]:
        """Commit a command, or fail if the member is isolated or there is no leader."""
        if self.is_isolated or self._group.leader is None:
            return Error(ProposeError.NO_QUORUM)
        return Ok(self._group.commit(command))

    async def read_barrier(self, timeout) -> Result[int, ProposeError]:
        """Return 0; entries are applied at once, so there is nothing to wait for."""
        return Ok(0)

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader."""
        return self._group.leader is self

    @property
    def term(self) -> int:
        """The current term."""
        return self._group.term

    @property
    def leader_peer(self) -> str | None:
        """None; the fake group has no peer addresses."""
        return None
