"""A replicated log with a single member and no persistence, for tests."""

import msgspec
from expression import Ok, Result

from fuchsiacroft.control.log import (
    Applied,
    ProposeError,
    ReplicatedLog,
    StateMachine,
)


class LocalLog(ReplicatedLog):
    """Applies each command immediately."""

    def __init__(self) -> None:
        self._machines: dict[type[msgspec.Struct], StateMachine] = {}
        self._index = 0

    def register_state_machine(self, name: str, machine: StateMachine) -> None:
        """Add a state machine."""
        for command in machine.commands:
            self._machines[command] = machine

    async def propose(
        self, command: msgspec.Struct, timeout: float
    ) -> Result[Applied, ProposeError]:
        """Apply a command."""
        self._index += 1
        machine = self._machines[type(command)]
        return Ok(Applied(self._index, machine.apply(self._index, command)))

    async def read_barrier(self, timeout: float) -> Result[int, ProposeError]:
        """Return the last index."""
        return Ok(self._index)

    @property
    def is_leader(self) -> bool:
        """Return True, as there is no other member."""
        return True

    @property
    def term(self) -> int:
        """Return the only term."""
        return 1

    @property
    def leader_peer(self) -> str | None:
        """Return None, as there is no other member."""
        return None


def create() -> LocalLog:
    """Return an empty log."""
    return LocalLog()
