"""Hands the place of a failure domain's coordinator over before it stops in order.

It answers the time in which the successor doesn't know yet that it is one: nobody
would report to the other failure domains, whose requests would be refused.
"""

import asyncio

from expression import Result

from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.placing.coordinator import Coordinator
from fuchsiacroft.placing.coordinators import coordinator_of
from fuchsiacroft.placing.messages import EntryLeaving, TakenOver
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

TIMEOUT_S = 1.0
"""A coordinator that stops keeps its place for this long if no other one takes it."""
REPLY_TIMEOUT_S = 0.3
PAUSE_S = 0.05


class OutgoingHandOver:
    """Lets the next entry take over from this one once this one is draining."""

    def __init__(
        self,
        bus: Bus,
        roster: Roster,
        coordinator: Coordinator,
        tasks: BackgroundTasks,
    ) -> None:
        self._bus = bus
        self._roster = roster
        self._coordinator = coordinator
        self._tasks = tasks
        self._has_begun = False
        self._has_ended = False

    def keeps_place(self, current: EntryRecord | None, successor: EntryRecord) -> bool:
        """Return whether this entry is draining, and stays coordinator for now.

        Begins to hand over to the `successor` if this entry is the `current` one.
        """
        local_entry = self._roster.local_entry
        if self._has_ended or not local_entry.leaving:
            return False
        if current is None or current.node != local_entry.node:
            return False
        if successor.node == local_entry.node:
            return False
        if not self._has_begun:
            self._has_begun = True
            self._tasks.spawn(self._run(), "hand-over")
        return True

    async def _run(self) -> None:
        """Ask the next entry to take over, and notify those that use this one."""
        deadline = now() + TIMEOUT_S
        successor = self._successor()
        accepted = False
        while successor.node != self._roster.local_entry.node and now() < deadline:
            accepted = await self._ask(successor)
            if accepted:
                break
            successor = self._successor()
        event(
            "info",
            "coordinator_handed_over",
            coordinator=successor.node,
            accepted=accepted,
        )
        self._has_ended = True
        self._notify_others()

    async def _ask(self, successor: EntryRecord) -> bool:
        """Return whether an entry has taken over."""
        state = self._coordinator.state(self._roster.local_entry)
        # Ends that come while the request is under way follow it to the successor.
        self._coordinator.successor_peers = successor.peers
        match await self._bus.request(successor.peers, state, REPLY_TIMEOUT_S):
            case Result(tag="ok", ok=TakenOver(accepted=True)):
                return True
        await asyncio.sleep(PAUSE_S)
        return False

    def _notify_others(self) -> None:
        """Notify the entries of the domain and the other domains' coordinators."""
        local_entry = self._roster.local_entry
        entries = self._roster.entries()
        users = [e for e in entries if e.failure_domain == local_entry.failure_domain]
        for domain in {entry.failure_domain for entry in entries}:
            coordinator = coordinator_of(entries, domain)
            if domain != local_entry.failure_domain and coordinator is not None:
                users.append(coordinator)
        for entry in users:
            if entry.node != local_entry.node:
                self._bus.send(entry.peers, EntryLeaving(local_entry))

    def _successor(self) -> EntryRecord:
        """Return the entry that comes next, this one if there is no other."""
        local_entry = self._roster.local_entry
        found = coordinator_of(self._roster.entries(), local_entry.failure_domain)
        return found if found is not None else local_entry
