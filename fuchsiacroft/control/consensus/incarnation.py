"""The components that take part in the group under one identity of this member."""

import random
from collections.abc import Callable, Mapping

import msgspec

from fuchsiacroft.control.consensus.applying import Applying
from fuchsiacroft.control.consensus.elections import Elections
from fuchsiacroft.control.consensus.follower import Follower
from fuchsiacroft.control.consensus.joining import Contacts, Joining, JoinPolicy
from fuchsiacroft.control.consensus.leadership import Leadership
from fuchsiacroft.control.consensus.member import Member
from fuchsiacroft.control.consensus.membership import Membership
from fuchsiacroft.control.consensus.proposals import Proposals
from fuchsiacroft.control.consensus.read_barriers import ReadBarriers
from fuchsiacroft.control.log import StateMachine
from fuchsiacroft.control.records import Snapshot
from fuchsiacroft.utils.tasks import BackgroundTasks


class Incarnation:
    """Connects the components of one identity, from the opening of its disk on.

    A member that gives up its identity gets a new incarnation, so that nothing that
    was promised under the old identity is carried over to the new one.
    """

    def __init__(
        self,
        member: Member,
        contacts: Contacts,
        rng: random.Random,
        policy: JoinPolicy,
        on_identity_lost: Callable[[], None],
    ) -> None:
        self.member = member
        self.leadership: Leadership | None = None
        self.applying = Applying(member)
        self.proposals = Proposals(member, self.applying, self._get_leadership)
        self.read_barriers = ReadBarriers(member, self.applying, self._get_leadership)
        self._tasks = BackgroundTasks("consensus")
        self._snapshot: Snapshot | None = None
        self._elections = Elections(member, rng, self._start_leadership)
        self._follower = Follower(member, self.applying.install_snapshot)
        self._joining = Joining(
            member, contacts, self._on_verified, on_identity_lost, policy
        )
        self._membership = Membership(
            member,
            self._joining,
            contacts.listed,
            self._get_leadership,
            policy.wanted_voters,
        )

    async def start(self, machines: Mapping[str, StateMachine]) -> None:
        """Recover from the disk, then find the group in the background."""
        for name, machine in machines.items():
            self.applying.add_state_machine(name, machine)
        state = await self.member.storage.open()
        self._snapshot = state.snapshot
        self.member.recover(state)
        self._register()
        for component in (
            self._joining,
            self._elections,
            self.applying,
            self._membership,
        ):
            self._tasks.spawn_critical(
                component.run(), type(component).__name__.lower()
            )
        self._tasks.spawn_critical(self._stop_old_leaderships(), "leadership-end")

    async def stop(self) -> None:
        """Stop all tasks; the outcome of pending proposals becomes unknown."""
        await self._tasks.cancel()
        if self.leadership is not None:
            await self.leadership.stop()
        await self.proposals.stop()
        await self.applying.stop()

    def dump(self) -> dict:
        """Return the state of this member and its view of the group."""
        member = self.member
        configuration = member.configuration
        leader = self.leadership
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
            "applying": self.applying.dump(),
            "proposals": self.proposals.dump(),
            "leadership": leader.dump() if leader is not None else None,
        }

    def _register(self) -> None:
        """Register the message handlers, in place of those of an older incarnation."""
        for component in (
            self._elections,
            self._follower,
            self.proposals,
            self.read_barriers,
            self._joining,
        ):
            component.register()

    def _on_verified(self) -> None:
        """Restore the recovered snapshot, now that the disk is verified."""
        if self._snapshot is not None:
            self.applying.restore(self._snapshot)
            self._snapshot = None
        self.member.commit_advanced.set()

    def _get_leadership(self) -> Leadership | None:
        return self.leadership

    def _start_leadership(self) -> None:
        if self.leadership is not None:
            self._tasks.spawn(self.leadership.stop())
        self.leadership = Leadership(self.member)
        self.leadership.start()

    async def _stop_old_leaderships(self) -> None:
        """Stop the tasks of terms that this member no longer leads."""
        while True:
            await self.member.role_changed.wait()
            self.member.role_changed.clear()
            leader = self.leadership
            if leader is not None and not leader.is_active:
                self.leadership = None
                await leader.stop()
