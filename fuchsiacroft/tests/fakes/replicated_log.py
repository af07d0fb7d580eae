"""Replicated logs of several members that agree at once."""

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.control.log import Applied, ProposeError, ReplicatedLog


class FakeLogGroup:
    """Members whose leader the test names."""

    def __init__(self) -> None:
        self.members: list[FakeReplicatedLog] = []
        self.term = 1
        self.leader: FakeReplicatedLog | None = None
        self._index = 0

    def member(self) -> "FakeReplicatedLog":
        """Return a new member; the first one leads."""
        log = FakeReplicatedLog(self)
        self.members.append(log)
        self.leader = self.leader or log
        return log

    def elect(self, log: "FakeReplicatedLog") -> None:
        """Begin a new term under another leader."""
        self.term += 1
        self.leader = log

    def commit(self, command: msgspec.Struct) -> Applied:
        """Apply a command at every member."""
        self._index += 1
        results = [log.apply(self._index, command) for log in self.members]
        return Applied(self._index, results[0])


class FakeReplicatedLog(ReplicatedLog):
    """One member's log; any member may propose, as proposals are forwarded."""

    def __init__(self, group: FakeLogGroup) -> None:
        self._group = group
        self._machines = []
        self.is_isolated = False

    def register_state_machine(self, name, machine) -> None:
        """Add a state machine."""
        self._machines.append(machine)

    def apply(self, index, command):
        """Apply a command to the machine that takes it."""
        for machine in self._machines:
            if isinstance(command, machine.commands):
                return machine.apply(index, command)
        return None

    async def propose(self, command, timeout) -> Result[Applied, ProposeError]:
        """Commit a command."""
        if self.is_isolated or self._group.leader is None:
            return Error(ProposeError.NO_QUORUM)
        return Ok(self._group.commit(command))

    async def read_barrier(self, timeout) -> Result[int, ProposeError]:
        """Return the last index."""
        return Ok(0)

    @property
    def is_leader(self) -> bool:
        """Tell whether this member leads."""
        return self._group.leader is self

    @property
    def term(self) -> int:
        """Return the term."""
        return self._group.term

    @property
    def leader_peer(self) -> str | None:
        """Return nothing."""
        return None
