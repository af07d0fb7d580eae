"""The consensus state of this member, shared by elections and replication."""

import asyncio
import enum

from fuchsiacroft.control import records
from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.configurations import (
    CONFIGURATION_KIND,
    ConfigurationHistory,
)
from fuchsiacroft.control.consensus.memory_log import MemoryLog
from fuchsiacroft.control.records import (
    Configuration,
    Entry,
    HighWaterMark,
    Position,
    Snapshot,
)
from fuchsiacroft.control.recovery import Recovered
from fuchsiacroft.control.storage import Storage
from fuchsiacroft.exceptions import InvariantError
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.logs import event


class Role(enum.Enum):
    """The role of a member in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Member:
    """Term, vote, log and commit index of this process.

    Changes take effect in memory immediately and are queued for the disk. Callers
    must await `storage.sync` before they acknowledge a change to another member.
    """

    def __init__(self, node: str, address: str, bus: Bus, storage: Storage) -> None:
        self.node = node
        self.address = address
        self.bus = bus
        self.storage = storage
        self.identity = ""
        self.term = 0
        self.vote = ""
        self.role = Role.FOLLOWER
        self.leader = ""
        self.log = MemoryLog()
        self.configurations = ConfigurationHistory()
        self.commit_index = 0
        self.applied_index = 0
        self.verified = False
        self.min_vote_position = Position(0, 0)
        self.is_installing_snapshot = False
        self.leaderless_since = 0.0
        self.halted: str | None = None
        self.leader_contact_at = 0.0
        self.has_seen_leader = False
        self.terms_led: set[int] = set()
        self.marks: dict[str, HighWaterMark] = {}
        self.commit_advanced = asyncio.Event()
        self.role_changed = asyncio.Event()

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.configurations.current

    @property
    def is_formed(self) -> bool:
        """Return whether this disk belongs to a group."""
        return self.log.last.index > 0

    @property
    def leader_address(self) -> str | None:
        """Return the address of the last known leader, or None."""
        found = self.configuration.find(self.leader)
        return found.address if found is not None else None

    @property
    def is_voter(self) -> bool:
        """Return whether this member is a voter in the configuration in force."""
        found = self.configuration.find(self.identity)
        return found is not None and found.voter

    def recover(self, state: Recovered) -> None:
        """Initialize from the state recovered from the disk."""
        self.identity = state.identity.identity
        self.term, self.vote = state.term, state.vote
        self.marks = {mark.identity: mark for mark in state.marks}
        self.log.reset(state.base, state.entries)
        self.configurations.clear()
        self.commit_index = 0
        self.applied_index = 0
        if state.snapshot is not None:
            snapshot = state.snapshot
            self.configurations.reset(
                snapshot.configuration_index, snapshot.configuration
            )
            self.commit_index = snapshot.index
        for entry in state.entries:
            self.configurations.append_entry(entry)
        self.leader_contact_at = clock.now()
        self.has_seen_leader = False
        self.leaderless_since = clock.now()

    def accepts(self, group: str, target: str) -> bool:
        """Return whether a message is addressed to this disk and may be handled."""
        if self.halted is not None or not self.verified or target != self.identity:
            return False
        return not self.is_formed or group == self.configuration.group

    def has_recent_leader_contact(self) -> bool:
        """Return whether a leader made contact within the minimum election timeout."""
        return clock.now() - self.leader_contact_at < timing.ELECTION_TIMEOUT_MIN_S

    @property
    def is_fresh(self) -> bool:
        """Return whether this member has had no contact with a leader since it started.

        It is false for the leader itself.
        """
        return self.role is not Role.LEADER and not self.has_seen_leader

    def become_follower(self, term: int, leader: str) -> None:
        """Become a follower of `leader`, or of none if it is empty.

        The term is raised to `term` if that is higher.
        """
        if term > self.term:
            self.term, self.vote = term, ""
            self.storage.save_term(term, "")
        self._set_role(Role.FOLLOWER, leader)

    def become_candidate(self) -> None:
        """Start the next term as a candidate that votes for itself."""
        self.term, self.vote = self.term + 1, self.identity
        self.storage.save_term(self.term, self.vote)
        self._set_role(Role.CANDIDATE, "")

    def forfeit_votes(self, term: int) -> None:
        """Grant no votes up to `term`: the disk may have lost a vote it recorded."""
        self.term = max(self.term, term)
        self.vote = self.identity
        self.storage.save_term(self.term, self.vote)

    def meets_min_vote_position(self, last: Position) -> bool:
        """Return whether a log contains all that this member may have acknowledged."""
        floor = self.min_vote_position
        return (last.term, last.index) >= (floor.term, floor.index)

    def become_leader(self) -> None:
        """Become the leader of the current term."""
        self.terms_led.add(self.term)
        self._set_role(Role.LEADER, self.identity)

    def grant_vote(self, candidate: str) -> None:
        """Record the vote for a candidate in the current term."""
        self.vote = candidate
        self.storage.save_term(self.term, candidate)

    def append_new(self, kind: str, body: bytes) -> Entry:
        """Append an entry of the current term, as leader."""
        entry = Entry(self.log.last.index + 1, self.term, kind, body)
        self._append(entry)
        self.storage.append([entry])
        return entry

    def append_received(self, entries: list[Entry]) -> None:
        """Append entries from the leader, replacing conflicting ones."""
        added = []
        for entry in entries:
            if entry.index <= self.log.base.index:
                continue
            held = self.log.term_at(entry.index)
            if held == entry.term:
                continue
            if held is not None:
                self._truncate(entry.index)
            self._append(entry)
            added.append(entry)
        if added:
            self.storage.append(added)

    def advance_commit(self, index: int) -> None:
        """Advance the commit index, at most to the last log index."""
        index = min(index, self.log.last.index)
        if index > self.commit_index:
            self.commit_index = index
            self.commit_advanced.set()

    def raise_mark(self, identity: str, term: int, index: int) -> None:
        """Raise another member's high-water mark if the position is higher."""
        known = self.marks.get(identity)
        if known is None or (known.term, known.index) < (term, index):
            self.marks[identity] = HighWaterMark(identity, term, index)
            self.storage.save_marks(list(self.marks.values()))

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Install a durable snapshot; keep the log after it if the log matches."""
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.compact(snapshot.index)
        else:
            self.log.reset(Position(snapshot.index, snapshot.term))
            index = snapshot.configuration_index
            self.configurations.reset(index, snapshot.configuration)
        self.commit_index = max(self.commit_index, snapshot.index)

    def retire(self, reason: str) -> None:
        """Stop taking part in the group under this identity."""
        self.halted = reason
        self._set_role(Role.FOLLOWER, "")

    def halt(self, reason: str) -> None:
        """Stop taking part in the group until the process is restarted."""
        self.retire(reason)
        event("critical", "member_halted", identity=self.identity, reason=reason)

    def _append(self, entry: Entry) -> None:
        self.log.append(entry)
        self.configurations.append_entry(entry)

    def _truncate(self, index: int) -> None:
        if index <= self.commit_index:
            self.halt(f"entry {index} is committed and would be replaced")
            raise InvariantError(f"committed entry {index} would be replaced")
        self.log.truncate(index)
        self.configurations.truncate(index)

    def _set_role(self, role: Role, leader: str) -> None:
        if (role, leader) != (self.role, self.leader):
            event("info", "role", role=role.value, term=self.term, leader=leader or "-")
        if self.leader and not leader:
            self.leaderless_since = clock.now()
        self.role, self.leader = role, leader
        self.role_changed.set()


def encode_configuration(configuration: Configuration) -> tuple[str, bytes]:
    """Return the kind and body of the log entry for a configuration."""
    return CONFIGURATION_KIND, records.encode(configuration)
