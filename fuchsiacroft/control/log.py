"""The interfaces of the replicated log and of its state machines.

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
    """Why a proposal failed.

    After `NOT_LEADER` and `NO_QUORUM` the command is not in the log and will never
    be applied; after `UNKNOWN` it may be applied later.
    """

    NOT_LEADER = "not_leader"
    NO_QUORUM = "no_quorum"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Applied:
    """A committed command: its log index and the result of applying it."""

    index: int
    result: msgspec.Struct | None


class StateMachine(ABC):
    """Deterministic state that is changed by committed commands."""

    @property
    @abstractmethod
    def commands(self) -> tuple[type[msgspec.Struct], ...]:
        """Return the command types that this state machine handles."""

    @abstractmethod
    def apply(self, index: int, command: msgspec.Struct) -> msgspec.Struct | None:
        """Apply a command and return the result for its proposer."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Restore the whole state from a snapshot."""


class ReplicatedLog(Service, ABC):
    """Commits commands on a durable majority of the control members."""

    name = "log"

    @abstractmethod
    def register_state_machine(self, name: str, machine: StateMachine) -> None:
        """Add a state machine before the start; snapshots are keyed by its name."""

    @abstractmethod
    async def propose(
        self, command: msgspec.Struct, timeout: float
    ) -> Result[Applied, ProposeError]:
        """Commit and apply a command; `timeout` is in seconds."""

    @abstractmethod
    async def read_barrier(self, timeout: float) -> Result[int, ProposeError]:
        """Return an applied index that covers all commits made before the call."""

    @property
    @abstractmethod
    def is_leader(self) -> bool:
        """Return whether this member is leader with a valid lease."""

    @property
    @abstractmethod
    def term(self) -> int:
        """Return the current term; the leader uses it as fencing token."""

    def not_ready_reason(self) -> str | None:
        """Return why this member is not ready, or None."""
        return None

    @property
    @abstractmethod
    def leader_peer(self) -> str | None:
        """Return the peer address of the last known leader, or None."""
