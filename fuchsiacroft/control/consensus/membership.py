"""Membership change by the leader, one member at a time.

A member with a new disk is added as a learner. Once it has caught up, the
voter that it replaces is removed and the learner is made a voter, in two
changes, so that every two successive configurations share a majority.
"""

import asyncio
from dataclasses import dataclass

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.joining import Joiner, Joining
from fuchsiacroft.control.consensus.leadership import Leadership
from fuchsiacroft.control.consensus.member import Member, encode_configuration
from fuchsiacroft.control.consensus.proposals import GetLeadership
from fuchsiacroft.control.records import Configuration, GroupMember
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.logs import event

JOINER_LIFE_S = 5.0


@dataclass(frozen=True, slots=True)
class Change:
    """The next configuration and why."""

    reason: str
    members: tuple[GroupMember, ...]


class Membership:
    """Brings the configuration toward the members named in the settings."""

    def __init__(
        self,
        member: Member,
        joining: Joining,
        addresses: tuple[str, ...],
        leadership: GetLeadership,
    ) -> None:
        self._member = member
        self._joining = joining
        self._addresses = addresses
        self._leadership = leadership

    async def run(self) -> None:
        """Propose a change whenever one is due and none is in progress."""
        while True:
            await asyncio.sleep(timing.RECONCILE_PERIOD_S)
            leadership = self._leadership()
            if leadership is None or not leadership.may_serve:
                continue
            if self._member.configurations.index > self._member.commit:
                continue
            change = self._next_change(leadership)
            if change is not None:
                self._make(leadership, change)

    def _make(self, leadership: Leadership, change: Change) -> None:
        group = self._member.configuration.group
        configuration = Configuration(group, change.members)
        event("info", "membership_change", reason=change.reason)
        leadership.append(*encode_configuration(configuration))

    def _next_change(self, leadership: Leadership) -> Change | None:
        return (
            self._admit_learner()
            or self._seat_learner(leadership)
            or self._remove_unlisted()
        )

    def _admit_learner(self) -> Change | None:
        for joiner in self._joining.joiners.values():
            if self._is_awaited(joiner):
                new = GroupMember(joiner.identity, joiner.node, joiner.address, False)
                kept = tuple(
                    found
                    for found in self._member.configuration.members
                    if found.voter or found.address != joiner.address
                )
                return Change(f"learner_{new.address}", (*kept, new))
        return None

    def _is_awaited(self, joiner: Joiner) -> bool:
        if joiner.address not in self._addresses:
            return False
        if clock.now() - joiner.seen_at > JOINER_LIFE_S:
            return False
        return self._member.configuration.find(joiner.identity) is None

    def _seat_learner(self, leadership: Leadership) -> Change | None:
        members = self._member.configuration.members
        for learner in members:
            if learner.voter or not self._is_caught_up(leadership, learner):
                continue
            replaced = self._replaced_by(learner)
            if replaced is not None:
                return self._without(replaced, "replaced")
            if len(self._member.configuration.voters()) >= len(self._addresses):
                continue
            voter = GroupMember(learner.identity, learner.node, learner.address, True)
            kept = tuple(found for found in members if found is not learner)
            return Change(f"voter_{voter.address}", (*kept, voter))
        return None

    def _is_caught_up(self, leadership: Leadership, learner: GroupMember) -> bool:
        peer = leadership.peers.get(learner.identity)
        if peer is None or not peer.has_space():
            return False
        return peer.match >= self._member.commit

    def _replaced_by(self, learner: GroupMember) -> GroupMember | None:
        """Return the voter whose place a caught-up learner takes."""
        voters = self._member.configuration.voters()
        for voter in voters:
            if voter.address == learner.address:
                return voter
        for voter in voters:
            is_own = voter.identity == self._member.identity
            if voter.address not in self._addresses and not is_own:
                return voter
        return None

    def _remove_unlisted(self) -> Change | None:
        """Remove a member that the settings drop, once the others are seated."""
        configuration = self._member.configuration
        listed = [v for v in configuration.voters() if v.address in self._addresses]
        if len(listed) < len(set(self._addresses)):
            return None
        for found in configuration.members:
            is_own = found.identity == self._member.identity
            if found.address not in self._addresses and not is_own:
                return self._without(found, "unlisted")
        return None

    def _without(self, removed: GroupMember, reason: str) -> Change:
        members = self._member.configuration.members
        kept = tuple(found for found in members if found is not removed)
        return Change(f"{reason}_{removed.address}", kept)
