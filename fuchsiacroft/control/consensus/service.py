"""The replicated log service of one member."""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import replace

import msgspec
from expression import Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.control.consensus.incarnation import Incarnation
from fuchsiacroft.control.consensus.joining import Contacts, JoinPolicy
from fuchsiacroft.control.consensus.leadership import Leadership
from fuchsiacroft.control.consensus.member import Member
from fuchsiacroft.control.log import (
    Applied,
    ProposeError,
    ReplicatedLog,
    StateMachine,
)
from fuchsiacroft.control.storage import Storage
from fuchsiacroft.exceptions import InvariantError, SettingsError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks


class ConsensusLog(ReplicatedLog):
    """One member of the consensus group that maintains the replicated log.

    A member whose identity is no longer valid continues in the same process under a
    new one: its disk is erased, its state machines are set back to their state
    before the start, and it joins the group as a new member.
    """

    def __init__(
        self,
        member: Member,
        addresses: tuple[str, ...],
        rng: random.Random,
        may_form_group: bool = True,
        wanted_voters: int | None = None,
    ) -> None:
        self._storage = member.storage
        self._contacts = Contacts(addresses)
        self._random = rng
        self._policy = JoinPolicy(may_form_group, wanted_voters)
        self._machines: dict[str, StateMachine] = {}
        self._initial_states: dict[str, bytes] = {}
        self._identity_lost = asyncio.Event()
        self._tasks = BackgroundTasks("consensus")
        self._incarnation = self._create_incarnation(member)

    def register_state_machine(self, name: str, machine: StateMachine) -> None:
        """Add a state machine before the start; snapshots are keyed by its name."""
        if name in self._machines:
            raise InvariantError(f"two state machines are named {name}")
        self._machines[name] = machine
        self._initial_states[name] = machine.snapshot()

    def add_contacts(self, addresses: Iterable[str]) -> None:
        """Add addresses at which members of the group may be."""
        self._contacts.add(addresses)

    @property
    def contacts(self) -> frozenset[str]:
        """Return every address at which a member was or may be, with the own one."""
        return frozenset(self._contacts.known)

    async def start(self, kernel: Kernel) -> None:
        """Recover from the disk, then find the group in the background."""
        await self._incarnation.start(self._machines)
        self._tasks.spawn_critical(self._replace_lost_identities(), "identity")

    async def stop(self) -> None:
        """Stop all tasks and release the disk."""
        await self._tasks.cancel()
        await self._incarnation.stop()
        await self._storage.close()

    def not_ready_reason(self) -> str | None:
        """Return why this member is not ready, or None."""
        if self.member.halted:
            return f"halted: {self.member.halted}"
        if self._storage.failure:
            return f"storage failed: {self._storage.failure}"
        return None

    def dump(self) -> dict:
        """Return the state of this member, its view of the group and its disk."""
        return {**self._incarnation.dump(), "storage": self._storage.dump()}

    async def propose(
        self, command: msgspec.Struct, timeout: float
    ) -> Result[Applied, ProposeError]:
        """Commit and apply a command; `timeout` is in seconds."""
        return await self._incarnation.proposals.propose(command, timeout)

    async def read_barrier(self, timeout: float) -> Result[int, ProposeError]:
        """Return an applied index that covers all commits made before the call."""
        return await self._incarnation.read_barriers.wait_for_barrier(timeout)

    @property
    def is_leader(self) -> bool:
        """Return whether this member is leader with a valid lease."""
        leadership = self._incarnation.leadership
        return leadership is not None and leadership.may_serve

    @property
    def term(self) -> int:
        """Return the current term; the leader uses it as fencing token."""
        return self.member.term

    @property
    def leader_peer(self) -> str | None:
        """Return the peer address of the last known leader, or None."""
        return self.member.leader_address

    @property
    def member(self) -> Member:
        """Return the state of this member under its present identity."""
        return self._incarnation.member

    @property
    def leadership(self) -> Leadership | None:
        """Return the leadership of this member, if any, for inspection."""
        return self._incarnation.leadership

    def _create_incarnation(self, member: Member) -> Incarnation:
        return Incarnation(
            member,
            self._contacts,
            self._random,
            self._policy,
            self._identity_lost.set,
        )

    async def _replace_lost_identities(self) -> None:
        while True:
            await self._identity_lost.wait()
            self._identity_lost.clear()
            await self._replace_identity()

    async def _replace_identity(self) -> None:
        """Erase the disk and continue under a new identity.

        A disk that belonged to a group shows that a group exists, so this process
        forms none from then on.
        """
        old = self.member
        self.add_contacts(m.address for m in old.configuration.members)
        await self._incarnation.stop()
        await self._storage.discard()
        for name, machine in self._machines.items():
            machine.restore(self._initial_states[name])
        if old.is_formed:
            self._policy = replace(self._policy, may_form_group=False)
        member = Member(old.node, old.address, old.bus, self._storage)
        self._incarnation = self._create_incarnation(member)
        await self._incarnation.start(self._machines)
        event("info", "identity_replaced", before=old.identity, now=member.identity)


def create(
    settings: Settings, bus: Bus, storage: Storage, rng: random.Random | None = None
) -> ConsensusLog:
    """Return this process's member of the group that the settings list."""
    address = settings.addresses.peers
    if address is None:
        raise SettingsError("a control member needs addresses.peers")
    listed = {member.peers for member in settings.control} | {address}
    member = Member(settings.node, address, bus, storage)
    rng = rng or random.Random()
    listed_addresses = tuple(sorted(listed))
    return ConsensusLog(
        member,
        listed_addresses,
        rng,
        settings.may_form_group,
        settings.wanted_voters,
    )
