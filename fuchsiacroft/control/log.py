"""The interface of the replicated log, and of the state it drives.

Commands are `msgspec.Struct` messages registered with the codec. Every member
applies the same commands in the same order.
"""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgspec
from expression import Result

from fuchsiacroft.kernel import Service


class ProposeError(enum.Enum):
    """Why a command has no result.

    After `NOT_LEADER` and `NO_QUORUM` the command is not in the log and never
    will be; after `UNKNOWN` it may be applied later.
    """

    NOT_LEADER = "not_leader"
    NO_QUORUM = "no_quorum"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Applied:
    """A command that is committed: its index, and what applying it gave."""

    index: int
    result: msgspec.Struct | None


class StateMachine(ABC):
    """Deterministic state that committed commands change."""

    @property
    @abstractmethod
    def commands(self) -> tuple[type[msgspec.Struct], ...]:
        """Return the command types that this state takes."""

    @abstractmethod
    def apply(self, index: int, command: msgspec.Struct) -> msgspec.Struct | None:
        """Change the state and return the proposer's result."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state."""

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""


class ReplicatedLog(Service, ABC):
    """Commits commands on a durable majority of the control members."""

    name = "log"

    @abstractmethod
    def register_state_machine(self, name: str, machine: StateMachine) -> None:
        """Add a state machine before the start; its name keys snapshots."""

    @abstractmethod
    async def propose(
        self, command: msgspec.Struct, timeout: float
    ) -> Result[Applied, ProposeError]:
        """Commit and apply a command; `timeout` is in seconds."""

    @abstractmethod
    async def read_barrier(self, timeout: float) -> Result[int, ProposeError]:
        """Return an applied index that includes all committed before the call."""

    @property
    @abstractmethod
    def is_leader(self) -> bool:
        """Tell whether this member leads and its lease holds."""

    @property
    @abstractmethod
    def term(self) -> int:
        """Return the current term; the leader's is the fencing number."""

    def not_ready_reason(self) -> str | None:
        """Return why this member takes no part, or None."""
        return None

    @property
    @abstractmethod
    def leader_peer(self) -> str | None:
        """Return the peer address of the leader as last heard."""
