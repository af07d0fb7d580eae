"""Seeded random test: the allocator's counts stay consistent under any operations."""

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
    """An allocator under random operations, with the expected state."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.allocator = Allocator(SharedLimits())
        self.at = 0.0
        self.request_count = 0
        self.born_ms = 1_000
        self.runs: dict[str, PermitRequest] = {}
        self.waiting: dict[str, PlaceRequest] = {}
        self.popped: list[Waiter] = []
        self.servers: list[ServerRecord] = []

    def step(self) -> None:
        """Apply one random operation."""
        self.at += self.rng.choice((0.0, 0.001, 0.02, 0.1))
        self.rng.choice(
            (
                self.place,
                self.place,
                self.place,
                self.end,
                self.end,
                self.place_waiters,
                self.expire,
                self.cancel,
                self.pop_head,
                self.requeue,
                self.adopt,
                self.change_servers,
            )
        )()

    def request(self) -> PlaceRequest:
        """Return a request of random rank and size."""
        self.request_count += 1
        run_id = f"run-{self.request_count}"
        prompt = self.rng.choice((0, 600, 5_000, 40_000))
        permit_request = PermitRequest(
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
        return PlaceRequest(run_id, permit_request, 0.0, False, in_time_s, 0.5, 9)

    def place(self) -> None:
        """Submit a request."""
        request = self.request()
        decision = self.allocator.place(request, self.at)
        if isinstance(decision, Assignment):
            self.runs[request.run_id] = request.ask
        elif isinstance(decision, Waiter):
            self.waiting[request.run_id] = request

    def end(self) -> None:
        """End a run with a random outcome."""
        if self.runs:
            run_id = self.rng.choice(sorted(self.runs))
            del self.runs[run_id]
            outcome = self.rng.choice(OUTCOMES)
            gap_s = self.rng.choice((None, 0.001, 0.006))
            report = RunReport(outcome, token_gap_s=gap_s, duration_s=0.1)
            self.allocator.end(run_id, report, self.at)

    def place_waiters(self) -> None:
        """Place the waiters that fit."""
        for waiter, assignment in self.allocator.place_waiters(self.at):
            request = self.waiting.pop(waiter.request.run_id)
            self.runs[assignment.run_id] = request.ask

    def expire(self) -> None:
        """Expire the waiters that timed out."""
        for waiter, _ in self.allocator.expire_waiters(self.at):
            del self.waiting[waiter.request.run_id]

    def cancel(self) -> None:
        """Cancel a request that is queued or was popped from the queue."""
        if self.waiting:
            run_id = self.rng.choice(sorted(self.waiting))
            del self.waiting[run_id]
            self.allocator.end(run_id, RunReport(RunOutcome.UNUSED), self.at)
            self.popped = [w for w in self.popped if w.request.run_id != run_id]

    def pop_head(self) -> None:
        """Pop the next waiter, as when it is forwarded to another domain."""
        for head in self.allocator.queue_heads(self.at):
            self.allocator.dequeue(head.request.run_id)
            self.popped.append(head)

    def requeue(self) -> None:
        """Requeue a popped waiter that no other domain placed."""
        if self.popped:
            self.allocator.requeue(self.popped.pop())

    def adopt(self) -> None:
        """Adopt a run that another coordinator placed."""
        if self.servers:
            request = self.request()
            server = self.rng.choice(self.servers)
            held = HeldRun(request.run_id, server.name, request.ask)
            self.allocator.fleet.adopt(held, self.at)
            self.runs[request.run_id] = request.ask

    def change_servers(self) -> None:
        """Add, remove or restart servers."""
        count = self.rng.choice((0, 1, 2, 3))
        self.born_ms += self.rng.choice((0, 1))
        self.servers = [
            record(f"i-{n}", born_ms=self.born_ms, address=f"10.0.0.{n}:80")
            for n in range(count)
        ]
        self.allocator.fleet.replace_servers(self.servers, self.at)


class AllocatorSearchTests(TestCase):
    """No operation raises, no waiter is lost, and the counts are correct."""

    def test_any_order_of_events(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                search = Search(seed)
                for _ in range(STEPS):
                    search.step()
                    popped = {w.request.run_id for w in search.popped}
                    waiting = len(search.waiting.keys() - popped)
                    self.assertEqual(waiting, search.allocator.waiting("lens"))
