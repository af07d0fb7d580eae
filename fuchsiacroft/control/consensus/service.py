"""The replicated log service of one member, which connects its components."""

import random

import msgspec
from expression import Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.control.consensus.applying import Applying
from fuchsiacroft.control.consensus.elections import Elections
from fuchsiacroft.control.consensus.follower import Follower
from fuchsiacroft.control.consensus.joining import Joining, JoinPolicy
from fuchsiacroft.control.consensus.leadership import Leadership
from fuchsiacroft.control.consensus.member import Member
from fuchsiacroft.control.consensus.membership import Membership
from fuchsiacroft.control.consensus.proposals import Proposals
from fuchsiacroft.control.consensus.read_barriers import ReadBarriers
from fuchsiacroft.control.log import (
    Applied,
    ProposeError,
    ReplicatedLog,
    StateMachine,
)
from fuchsiacroft.control.records import Snapshot
from fuchsiacroft.control.storage import Storage
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.tasks import BackgroundTasks


class ConsensusLog(ReplicatedLog):
    """One member of the consensus group that maintains the replicated log."""

    def __init__(
        self,
        member: Member,
        addresses: tuple[str, ...],
        rng: random.Random,
        may_form_group: bool = True,
        wanted_voters: int | None = None,
    ) -> None:
        self._member = member
        self._storage = member.storage
        self._tasks = BackgroundTasks("consensus")
        self._active_leadership: Leadership | None = None
        self._snapshot: Snapshot | None = None
        self._applying = Applying(member)
        self._elections = Elections(member, rng, self._start_leadership)
        self._follower = Follower(member, self._applying.install_snapshot)
        self._proposals = Proposals(member, self._applying, self._get_leadership)
        self._read_barriers = ReadBarriers(member, self._applying, self._get_leadership)
        self._joining = Joining(
            member,
            addresses,
            self._reset_storage,
            self._on_verified,
            JoinPolicy(may_form_group, exits_when_replaced=wanted_voters is not None),
        )
        self._membership = Membership(
            member, self._joining, addresses, self._get_leadership, wanted_voters
        )

    def register_state_machine(self, name: str, machine: StateMachine) -> None:
        """Add a state machine before the start; snapshots are keyed by its name."""
        self._applying.add_state_machine(name, machine)

    async def start(self, kernel: Kernel) -> None:
        """Recover from the disk, then find the group in the background."""
        await self._open()
        for component in (
            self._elections,
            self._follower,
            self._proposals,
            self._read_barriers,
            self._joining,
        ):
            component.register()
        for component in (
            self._joining,
            self._elections,
            self._applying,
            self._membership,
        ):
            self._tasks.spawn_critical(
                component.run(), type(component).__name__.lower()
            )
        self._tasks.spawn_critical(self._stop_old_leaderships(), "leadership-end")

    async def stop(self) -> None:
        """Stop all tasks and release the disk."""
        await self._tasks.cancel()
        if self._active_leadership is not None:
            await self._active_leadership.stop()
        await self._proposals.stop()
        await self._applying.stop()
        await self._storage.close()

    def not_ready_reason(self) -> str | None:
        """Return why this member is not ready, or None."""
        if self._member.halted:
            return f"halted: {self._member.halted}"
        if self._member.storage.failure:
            return f"storage failed: {self._member.storage.failure}"
        return None

    def dump(self) -> dict:
        """Return the state of this member and its view of the group."""
        member = self._member
        configuration = member.configuration
        leader = self._active_leadership
        return {
            "identity": member.identity,
            "group": configuration.group,
            "role": member.role.value,
            "term": member.term,
            "leader": member.leader,
            "verified": member.verified,
            "halted": member.halted,
            "last": member.log.last.index,
            "base": member.log.base.index,
            "commit": member.commit_index,
            "members": msgspec.to_builtins(configuration.members, str_keys=True),
            "applying": self._applying.dump(),
            "proposals": self._proposals.dump(),
            "leadership": leader.dump() if leader is not None else None,
            "storage": self._storage.dump(),
        }

    async def propose(
        self, command: msgspec.Struct, timeout: float
    ) -> Result[Applied, ProposeError]:
        """Commit and apply a command; `timeout` is in seconds."""
        return await self._proposals.propose(command, timeout)

    async def read_barrier(self, timeout: float) -> Result[int, ProposeError]:
        """Return an applied index that covers all commits made before the call."""
        return await self._read_barriers.wait_for_barrier(timeout)

    @property
    def is_leader(self) -> bool:
        """Return whether this member is leader with a valid lease."""
        return self._active_leadership is not None and self._active_leadership.may_serve

    @property
    def term(self) -> int:
        """Return the current term; the leader uses it as fencing token."""
        return self._member.term

    @property
    def leader_peer(self) -> str | None:
        """Return the peer address of the last known leader, or None."""
        return self._member.leader_address

    @property
    def member(self) -> Member:
        """Return the state of this member, for inspection."""
        return self._member

    @property
    def leadership(self) -> Leadership | None:
        """Return the leadership of this member, if any, for inspection."""
        return self._active_leadership

    async def _open(self) -> None:
        state = await self._storage.open()
        self._snapshot = state.snapshot
        self._member.recover(state)

    async def _reset_storage(self) -> None:
        """Delete the disk's content and start with a new identity."""
        await self._storage.discard()
        await self._open()

    def _on_verified(self) -> None:
        """Restore the recovered snapshot, now that the disk is verified."""
        if self._snapshot is not None:
            self._applying.restore(self._snapshot)
            self._snapshot = None
        self._member.commit_advanced.set()

    def _get_leadership(self) -> Leadership | None:
        return self._active_leadership

    def _start_leadership(self) -> None:
        if self._active_leadership is not None:
            self._tasks.spawn(self._active_leadership.stop())
        self._active_leadership = Leadership(self._member)
        self._active_leadership.start()

    async def _stop_old_leaderships(self) -> None:
        """Stop the tasks of terms that this member no longer leads."""
        while True:
            await self._member.role_changed.wait()
            self._member.role_changed.clear()
            leader = self._active_leadership
            if leader is not None and not leader.is_active:
                self._active_leadership = None
                await leader.stop()


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
