"""The addresses of the control members, as known to one of them."""

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.control.consensus import ConsensusLog
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.control_directory import ReportedGroup


class ControlMembers(Service):
    """Control members from the log's configuration, or else those to find it by."""

    name = "control_members"

    def __init__(self, settings: Settings) -> None:
        self._own = settings.addresses.peers

    async def start(self, kernel: Kernel) -> None:
        """Look up the replicated log."""
        self._log = kernel.get("log", ConsensusLog)

    def dump(self) -> dict:
        """Return the addresses."""
        return {"addresses": self.all()}

    def all(self) -> tuple[str, ...]:
        """Return every address, including this member's own."""
        members = self._log.member.configuration.members
        known = {member.address for member in members} or self._log.contacts
        return tuple(sorted(known | {self._own}))

    def reported_group(self) -> ReportedGroup:
        """Return every address, and the committed change that they reflect."""
        member = self._log.member
        index, committed = member.configurations.at_index(member.commit_index)
        addresses = {group_member.address for group_member in committed.members}
        return ReportedGroup(committed.group, index, addresses.union(self.all()))

    def others(self) -> tuple[str, ...]:
        """Return the addresses of the other members."""
        return tuple(address for address in self.all() if address != self._own)


def create(settings: Settings) -> ControlMembers:
    """Return the service for a control member."""
    return ControlMembers(settings)
