"""A seeded search: whatever happens, the allocator's counts stay right."""

import random

from fuchsiacroft.membership.registry_wire import ServerRecord
from fuchsiacroft.placing.allocator import Allocator, Assignment
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.messages import HeldRun, PlaceRequest
from fuchsiacroft.placing.queue import Waiter
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport, WorkSize
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.membership.server_table_tests import record

SEEDS = 60
STEPS = 600
OUTCOMES = tuple(RunOutcome)


class Search:
    """One allocator that anything may happen to, and what it was told."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.allocator = Allocator(SharedLimits())
        self.at = 0.0
        self.number = 0
        self.born = 1_000
        self.runs: dict[str, PermitRequest] = {}
        self.waiting: dict[str, PlaceRequest] = {}
        self.taken: list[Waiter] = []
        self.servers: list[ServerRecord] = []

    def step(self) -> None:
        """Let one thing happen."""
        self.at += self.rng.choice((0.0, 0.001, 0.02, 0.1))
        self.rng.choice(
            (
                self.place,
                self.place,
                self.place,
                self.end,
                self.end,
                self.serve,
                self.give_up,
                self.dequeue,
                self.pop_head,
                self.requeue,
                self.adopt,
                self.change_servers,
            )
        )()

    def request(self) -> PlaceRequest:
        """Return a request of any rank and size."""
        self.number += 1
        run_id = f"run-{self.number}"
        prompt = self.rng.choice((0, 600, 5_000, 40_000))
        ask = PermitRequest(
            run_id,
            "lens",
            self.rng.choice((0, 1, 2, 17)),
            self.rng.choice((0.5, 8.0)),
            "tills",
            size=WorkSize(prompt, self.rng.randint(1, 400)),
            fingerprint=self.rng.choice(("", "a", "b")),
            avoid=self.rng.choice(((), ("i-1",))),
            token_gap_target_s=0.3,
        )
        in_time_s = self.rng.choice((0.0, 0.05, 0.2))
        return PlaceRequest(run_id, ask, 0.0, False, in_time_s, 0.5, 9)

    def place(self) -> None:
        """Ask for a place."""
        request = self.request()
        decision = self.allocator.place(request, self.at)
        if isinstance(decision, Assignment):
            self.runs[request.run_id] = request.ask
        elif isinstance(decision, Waiter):
            self.waiting[request.run_id] = request

    def end(self) -> None:
        """End a run in any way."""
        if self.runs:
            run_id = self.rng.choice(sorted(self.runs))
            del self.runs[run_id]
            outcome = self.rng.choice(OUTCOMES)
            gap_s = self.rng.choice((None, 0.001, 0.006))
            report = RunReport(outcome, token_gap_s=gap_s, duration_s=0.1)
            self.allocator.end(run_id, report, self.at)

    def serve(self) -> None:
        """Place who can be placed."""
        for waiter, place in self.allocator.place_waiters(self.at):
            request = self.waiting.pop(waiter.request.run_id)
            self.runs[place.run_id] = request.ask

    def give_up(self) -> None:
        """Refuse whose time is over."""
        for waiter, _ in self.allocator.expire_waiters(self.at):
            del self.waiting[waiter.request.run_id]

    def dequeue(self) -> None:
        """Have a caller leave that waits, is placed elsewhere, or neither."""
        if self.waiting:
            run_id = self.rng.choice(sorted(self.waiting))
            del self.waiting[run_id]
            self.allocator.end(run_id, RunReport(RunOutcome.UNUSED), self.at)
            self.taken = [w for w in self.taken if w.request.run_id != run_id]

    def pop_head(self) -> None:
        """Take the next waiter out, as for another domain."""
        if self.allocator.services_with_waiters():
            waiter = self.allocator.pop_head("lens")
            if waiter is not None:
                self.taken.append(waiter)

    def requeue(self) -> None:
        """Put back one that no other domain had a place for."""
        if self.taken:
            self.allocator.requeue(self.taken.pop())

    def adopt(self) -> None:
        """Hear of a run that began under another coordinator."""
        if self.servers:
            request = self.request()
            server = self.rng.choice(self.servers)
            held = HeldRun(request.run_id, server.name, request.ask)
            self.allocator.fleet.adopt(held, self.at)
            self.runs[request.run_id] = request.ask

    def change_servers(self) -> None:
        """Have servers come, go, and come again."""
        count = self.rng.choice((0, 1, 2, 3))
        self.born += self.rng.choice((0, 1))
        self.servers = [
            record(f"i-{n}", born_ms=self.born, address=f"10.0.0.{n}:80")
            for n in range(count)
        ]
        self.allocator.fleet.replace_servers(self.servers, self.at)


class AllocatorSearchTests(TestCase):
    """Nothing raises, nobody is lost, and no count is off."""

    def test_any_order_of_events(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                search = Search(seed)
                for _ in range(STEPS):
                    search.step()
                    taken = {w.request.run_id for w in search.taken}
                    waiting = len(search.waiting.keys() - taken)
                    self.assertEqual(waiting, search.allocator.waiting("lens"))
