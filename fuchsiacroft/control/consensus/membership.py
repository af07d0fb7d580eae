"""Membership changes by the leader, one member at a time.

If the settings list every member, the configuration is reconciled with that
list. If they give the number of voters instead, any member that sends a hello
is admitted as a learner, and a standby learner replaces a voter that no longer
replies.

A member with a new disk is added as a learner. Once it has caught up, the
voter that it replaces is removed and the learner is promoted to voter, in two
changes, so that the majorities of successive configurations overlap.
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

JOINER_TTL_S = 5.0


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The next configuration and the reason for the change."""

    reason: str
    members: tuple[GroupMember, ...]


class Membership:
    """Reconciles the configuration with the settings."""

    def __init__(
        self,
        member: Member,
        joining: Joining,
        addresses: tuple[str, ...],
        leadership: GetLeadership,
        wanted_voters: int | None = None,
    ) -> None:
        self._wanted_voters = wanted_voters
        self._member = member
        self._joining = joining
        self._addresses = addresses
        self._leadership = leadership

    async def run(self) -> None:
        """Propose a change whenever one is due and no other is uncommitted."""
        while True:
            await asyncio.sleep(timing.RECONCILE_PERIOD_S)
            leadership = self._leadership()
            if leadership is None or not leadership.may_serve:
                continue
            if self._member.configurations.index > self._member.commit_index:
                continue
            change = self._next_change(leadership)
            if change is not None:
                self._propose(leadership, change)

    def _propose(self, leadership: Leadership, change: ConfigurationChange) -> None:
        group = self._member.configuration.group
        configuration = Configuration(group, change.members)
        event("info", "membership_change", reason=change.reason)
        leadership.append(*encode_configuration(configuration))

    def _next_change(self, leadership: Leadership) -> ConfigurationChange | None:
        if self._wanted_voters is not None:
            return (
                self._admit_learner()
                or self._promote_standby(leadership, self._wanted_voters)
                or self._remove_unresponsive_learner(leadership)
            )
        return (
            self._admit_learner()
            or self._promote_learner(leadership)
            or self._remove_unlisted()
        )

    def _promote_standby(
        self, leadership: Leadership, wanted: int
    ) -> ConfigurationChange | None:
        """Promote a learner if there are too few voters or one is unresponsive."""
        configuration = self._member.configuration
        for learner in configuration.members:
            if learner.voter or not self._is_caught_up(leadership, learner):
                continue
            replaced = self._voter_at_address_of(learner)
            if replaced is not None:
                return self._removal_of(replaced, "replaced")
            if len(configuration.voters()) < wanted:
                return self._promote(learner)
            unresponsive = self._unresponsive_voter(leadership)
            if unresponsive is not None:
                return self._removal_of(unresponsive, "silent")
        return None

    def _voter_at_address_of(self, learner: GroupMember) -> GroupMember | None:
        """Return the voter with the learner's address, whose disk was replaced."""
        for voter in self._member.configuration.voters():
            if voter.address == learner.address:
                return voter
        return None

    def _unresponsive_voter(self, leadership: Leadership) -> GroupMember | None:
        for voter in self._member.configuration.voters():
            is_local = voter.identity == self._member.identity
            idle_s = leadership.seconds_since_ack(voter.identity)
            if not is_local and idle_s > timing.VOTER_TIMEOUT_S:
                return voter
        return None

    def _remove_unresponsive_learner(
        self, leadership: Leadership
    ) -> ConfigurationChange | None:
        for group_member in self._member.configuration.members:
            idle_s = leadership.seconds_since_ack(group_member.identity)
            if not group_member.voter and idle_s > timing.LEARNER_TIMEOUT_S:
                return self._removal_of(group_member, "silent")
        return None

    def _promote(self, learner: GroupMember) -> ConfigurationChange:
        members = self._member.configuration.members
        voter = GroupMember(learner.identity, learner.node, learner.address, True)
        kept = tuple(
            group_member for group_member in members if group_member is not learner
        )
        return ConfigurationChange(f"voter_{voter.address}", (*kept, voter))

    def _admit_learner(self) -> ConfigurationChange | None:
        for joiner in self._joining.joiners.values():
            if self._should_admit(joiner):
                new = GroupMember(joiner.identity, joiner.node, joiner.address, False)
                kept = tuple(
                    group_member
                    for group_member in self._member.configuration.members
                    if group_member.voter or group_member.address != joiner.address
                )
                return ConfigurationChange(f"learner_{new.address}", (*kept, new))
        return None

    def _should_admit(self, joiner: Joiner) -> bool:
        if self._wanted_voters is None and joiner.address not in self._addresses:
            return False
        if clock.now() - joiner.last_hello_at > JOINER_TTL_S:
            return False
        return self._member.configuration.find(joiner.identity) is None

    def _promote_learner(self, leadership: Leadership) -> ConfigurationChange | None:
        members = self._member.configuration.members
        for learner in members:
            if learner.voter or not self._is_caught_up(leadership, learner):
                continue
            replaced = self._voter_replaced_by(learner)
            if replaced is not None:
                return self._removal_of(replaced, "replaced")
            if len(self._member.configuration.voters()) >= len(self._addresses):
                continue
            return self._promote(learner)
        return None

    def _is_caught_up(self, leadership: Leadership, learner: GroupMember) -> bool:
        peer = leadership.peers.get(learner.identity)
        if peer is None or not peer.has_space():
            return False
        return peer.match_index >= self._member.commit_index

    def _voter_replaced_by(self, learner: GroupMember) -> GroupMember | None:
        """Return the voter that a caught-up learner replaces."""
        same = self._voter_at_address_of(learner)
        if same is not None:
            return same
        for voter in self._member.configuration.voters():
            is_local = voter.identity == self._member.identity
            if voter.address not in self._addresses and not is_local:
                return voter
        return None

    def _remove_unlisted(self) -> ConfigurationChange | None:
        """Remove a member that is no longer listed, once all listed ones are voters."""
        configuration = self._member.configuration
        listed = [v for v in configuration.voters() if v.address in self._addresses]
        if len(listed) < len(set(self._addresses)):
            return None
        for group_member in configuration.members:
            is_local = group_member.identity == self._member.identity
            if group_member.address not in self._addresses and not is_local:
                return self._removal_of(group_member, "unlisted")
        return None

    def _removal_of(self, removed: GroupMember, reason: str) -> ConfigurationChange:
        members = self._member.configuration.members
        kept = tuple(
            group_member for group_member in members if group_member is not removed
        )
        return ConfigurationChange(f"{reason}_{removed.address}", kept)
