"""Tests that a decision takes as many steps however much waits or was reported."""

import itertools

import msgspec

from fuchsiacroft.config.route_table import Quota, Workspace
from fuchsiacroft.placing.allocator import Allocator, Assignment
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.messages import PlaceRequest
from fuchsiacroft.placing.quotas import Quotas, QuotaTolerance
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport, WorkSize
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.fakes.step_counter import StepCounter
from fuchsiacroft.tests.membership.server_table_tests import record

ENTRIES = 43
WORKSPACES = tuple(f"w-{n}" for n in range(16))
UNITS_PER_S = 36_000.0
WINDOW_S = 8
SERVERS = 15
DECISIONS = 200
DECISIONS_PER_S = 200.0
FEW_WAIT = 5
MANY_WAIT = 200
"""As many requests wait in a domain while a burst lasts for a second."""
GROWTH = 1.1
"""What a decision may take more; lists that are kept in order are cheap."""


class AdmissionStepsTests(TestCase):
    """The steps to charge a request to the quota of its workspace."""

    def steps(self, entries_alone: int) -> float:
        """Return the steps after so many entries have reported what they spent."""
        quotas = Quotas(QuotaTolerance(window_s=WINDOW_S))
        quota = Quota(UNITS_PER_S, 0.0)
        quotas.replace({name: Workspace(name, quota=quota) for name in WORKSPACES})
        quotas.earlier.counted_since = -WINDOW_S
        units = dict.fromkeys(WORKSPACES, (1.0,) * WINDOW_S)
        for number in range(entries_alone):
            quotas.earlier.replace_apart(f"edge-{number}", units, 0.0)
        with StepCounter() as counter:
            for number in range(DECISIONS):
                name = WORKSPACES[number % len(WORKSPACES)]
                quotas.take(name, 1.0, number / DECISIONS_PER_S)
        return counter.count / DECISIONS

    def test_an_admission_takes_more_steps_after_entries_decided_alone(self):
        self.assertLess(self.steps(ENTRIES), GROWTH * self.steps(1))


class WaitingStepsTests(TestCase):
    """The steps for the end of a run while requests wait."""

    def setUp(self):
        super().setUp()
        self.allocator = Allocator(SharedLimits())
        self.allocator.fleet.replace_servers(
            [record(f"i-{n}", address=f"10.0.0.{n}:80") for n in range(SERVERS)], 0.0
        )
        self.running: list[str] = []
        self.numbers = itertools.count()

    def request(self, name: str, in_time_s: float) -> PlaceRequest:
        """Return a request whose run takes a second at most."""
        size = WorkSize(600, 40)
        ask = PermitRequest(name, "lens", 1, 8.0, "tills", size=size)
        return PlaceRequest(name, ask, 0.0, False, in_time_s, 60.0)

    def fill(self, waiting: int) -> None:
        """Let all slots be taken, and so many requests wait."""
        while self.allocator.waiting("lens") < waiting:
            self.add(0.0)

    def add(self, at: float) -> None:
        """Place or queue a request."""
        request = self.request(f"run-{next(self.numbers)}", 50.0)
        if isinstance(self.allocator.place(request, at), Assignment):
            self.running.append(request.run_id)

    def end_one(self, number: int, at: float) -> None:
        """End a run, and place the next waiter."""
        report = RunReport(RunOutcome.COMPLETED, 0.1, 0.002, 0.5)
        self.allocator.end(self.running[number], report, at)
        for waiter, _ in self.allocator.place_first_waiters(at):
            self.running.append(waiter.request.run_id)

    def steps(self, waiting: int) -> float:
        """Return the mean steps for the end of a run while so many requests wait."""
        self.setUp()
        self.fill(waiting)
        counter = StepCounter()
        for number in range(DECISIONS):
            at = number / DECISIONS_PER_S
            with counter:
                self.end_one(number, at)
            self.add(at)
        return counter.count / DECISIONS

    def test_the_end_of_a_run_takes_more_steps_the_more_requests_wait(self):
        self.assertLess(self.steps(MANY_WAIT), GROWTH * self.steps(FEW_WAIT))

    def steps_in_vain(self, waiting: int) -> float:
        """Return the steps for the end of a run that no waiter may follow."""
        self.setUp()
        self.fill(1)
        servers = tuple(f"i-{n}" for n in range(SERVERS))
        while self.allocator.waiting("lens") <= waiting:
            request = self.request(f"run-{next(self.numbers)}", 50.0)
            ask = msgspec.structs.replace(request.ask, rank=0, avoid=servers)
            request = msgspec.structs.replace(request, ask=ask)
            self.allocator.enqueue(request, 0.0, 0.0)
        report = RunReport(RunOutcome.COMPLETED, 0.1, 0.002, 0.5)
        with StepCounter() as counter:
            self.allocator.end(self.running[0], report, 0.0)
            self.placed = self.allocator.place_first_waiters(0.0)
        return counter.count

    def test_the_end_of_a_run_looks_at_all_waiters_that_can_not_follow_it(self):
        few, many = self.steps_in_vain(FEW_WAIT), self.steps_in_vain(MANY_WAIT)
        self.assertLess(many, GROWTH * few)

    def test_a_waiter_is_not_placed_behind_others_that_have_to_wait(self):
        self.steps_in_vain(MANY_WAIT)
        self.placed += self.allocator.place_waiters(0.0)
        self.assertEqual(1, len(self.placed))
