"""Tests that the soak's checks report each violation, and only violations."""

from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.soak import invariants, schedule
from fuchsiacroft.tests.soak.observations import (
    Attempt,
    FaultSpan,
    LimitSpan,
    Observations,
    PauseRequest,
    RouteProbe,
    Run,
    ServingSpan,
    VersionRead,
)

ALL_EVENTS = list(range(1, invariants.STREAM_EVENTS + 1))


def attempt(**changes) -> Attempt:
    """Return an attempt that was served after the last fault."""
    fields = {
        "attempt_id": "a",
        "route": "unsafe",
        "entry": "127.1.2.1",
        "sent_at": 10.0,
        "timeout_s": 1.0,
        "status": 200,
        "is_complete": True,
        "ended_at": 10.1,
    }
    return Attempt(**(fields | changes))


def run(**changes) -> Run:
    """Return a run of the default attempt."""
    fields = {"attempt_id": "a", "server": "i1-1", "at": 10.0, "body": b""}
    return Run(**(fields | changes))


class InvariantsTests(TestCase):
    """Tests of `violations`, for each invariant met and violated."""

    def violations(self, attempts=(), runs=(), **more) -> str:
        observations = Observations(
            [*attempts, attempt(attempt_id="z")], list(runs), **more
        )
        return "; ".join(invariants.violations(observations))

    def test_correct_observations_pass(self):
        self.assertEqual("", self.violations([attempt()], [run()]))
        refused = attempt(status=503, sent_at=-1.0, ended_at=-0.9)
        self.assertEqual("", self.violations([refused]))
        stream = attempt(route="stream", events=ALL_EVENTS)
        self.assertEqual("", self.violations([stream], [run()]))

    def test_connections_that_an_entry_closes_without_a_response(self):
        count = invariants.MAX_CUT_ANSWERS + 1
        cut = [
            attempt(attempt_id=f"c{number}", status=None, is_cut=True)
            for number in range(count)
        ]
        runs = [run(attempt_id=f"c{number}") for number in range(count)]
        spans = {"fault_spans": [FaultSpan(9.0, 9.5, "127.1.2.9")]}
        message = "without a response"
        self.assertIn(message, self.violations(cut, runs, **spans))
        self.assertNotIn(message, self.violations(cut[1:], runs, **spans))
        self.assertNotIn(message, self.violations(cut, runs[1:], **spans))
        for faults in (
            {"server_spans": [FaultSpan(9.0, 9.5, "i1")]},
            {"entry_spans": [FaultSpan(9.0, 9.5, "127.1.2.1")]},
        ):
            found = self.violations(cut, runs, **spans, **faults)
            self.assertNotIn(message, found)
        other = {"server_spans": [FaultSpan(9.0, 9.5, "i11")]}
        self.assertIn(message, self.violations(cut, runs, **spans, **other))

    def test_a_stream_of_two_versions(self):
        began = attempt(route="resumable", events=[1, 2], versions=["v1", "v1"])
        began.is_abandoned = True
        for version, expected in (("v1", False), ("v2", True)):
            went_on = attempt(
                attempt_id="b",
                route="resumable",
                events=ALL_EVENTS[2:],
                versions=[version] * 4,
                resumes="a",
                last_event=2,
            )
            found = self.violations([began, went_on])
            self.assertEqual(expected, "holds events of ['v1', 'v2']" in found, found)

    def test_a_stream_that_goes_on_after_a_gap(self):
        began = attempt(route="resumable", events=[1, 2], versions=["v1", "v1"])
        gap = attempt(
            attempt_id="b", route="resumable", events=[4, 5], resumes="a", last_event=2
        )
        self.assertIn("got events [4, 5] after 2", self.violations([began, gap]))

    def test_few_streams_that_are_taken_up_go_on(self):
        began = attempt(route="resumable", events=ALL_EVENTS, versions=["v1"] * 6)
        taken_up = [
            attempt(
                attempt_id=f"b-{number}",
                route="resumable",
                status=503,
                sent_at=5.0,
                ended_at=5.1,
                resumes="a",
                last_event=3,
            )
            for number in range(12)
        ]
        for servers, expected in ((1, False), (2, True)):
            spans = [ServingSpan("v1", 0.0) for _ in range(servers)]
            found = self.violations(
                [began, *taken_up], serving_spans=spans, recovered_at=6.0
            )
            self.assertEqual(expected, "0.00 of 12 streams went on" in found, found)

    def test_a_second_run_of_a_non_idempotent_request(self):
        self.assertIn("ran 2 times", self.violations([attempt()], [run(), run()]))
        safe = attempt(route="safe")
        self.assertEqual("", self.violations([safe], [run(), run()]))

    def test_a_refused_request_that_ran(self):
        for status in (408, 421, 429, 503):
            found = self.violations([attempt(status=status, sent_at=-1.0)], [run()])
            self.assertIn(f"refused with {status} but ran", found)

    def test_foreign_responses_and_incomplete_streams(self):
        self.assertIn(
            "response that is not its own",
            self.violations([attempt(is_own_response=False)]),
        )
        for events in ([1, 3], [2, 3], [1, 2, 2]):
            incomplete = attempt(route="stream", events=events)
            self.assertIn("got events", self.violations([incomplete]))
        short = attempt(route="stream", events=ALL_EVENTS[:-1])
        self.assertIn("ended normally after", self.violations([short]))

    def test_a_response_after_the_timeout(self):
        self.assertIn("ended after 4.0 s", self.violations([attempt(ended_at=14.0)]))

    def test_a_run_without_a_response(self):
        lost = attempt(status=None, sent_at=-1.0, ended_at=-0.5)
        self.assertIn(
            "its response was lost without a fault", self.violations([lost], [run()])
        )
        near_fault = self.violations(
            [lost], [run()], fault_spans=[FaultSpan(-3.0, -2.0)]
        )
        self.assertEqual("", near_fault)
        abandoned = attempt(status=None, sent_at=-1.0, ended_at=-0.5, is_abandoned=True)
        self.assertEqual("", self.violations([abandoned], [run()]))

    def test_runs_of_unknown_or_altered_requests(self):
        self.assertIn("no caller sent it", self.violations([], [run(attempt_id="b")]))
        self.assertIn("another body", self.violations([attempt()], [run(body=b"x")]))

    def test_a_request_after_an_acknowledged_leave(self):
        out_of_contact = [FaultSpan(5.0, 9.0, "127.1.2.1")]
        for limit_s, spans in (
            (invariants.DRAIN_S, []),
            (invariants.LEAVE_S, out_of_contact),
        ):
            left_at = 10.0 - limit_s - 0.1
            found = self.violations(
                [attempt()], [run()], leaves=[("i1-1", left_at)], entry_spans=spans
            )
            self.assertIn("after its leave", found)
            in_time = [("i1-1", left_at + 0.2)]
            found = self.violations(
                [attempt()], [run()], leaves=in_time, entry_spans=spans
            )
            self.assertEqual("", found)

    def test_a_refusal_beside_planned_stops_only(self):
        refused = attempt(status=503, sent_at=9.0, ended_at=9.1)
        stopped = FaultSpan(8.0, 9.5, "127.1.2.2")
        crashed = FaultSpan(3.5, 4.0)
        itself = FaultSpan(8.0, 9.5, refused.entry)
        for planned, faults, expected in (
            ([stopped], [stopped], "beside planned stops only"),
            ([stopped], [stopped, crashed], ""),
            ([itself], [itself], ""),
        ):
            more = {"planned_spans": planned, "fault_spans": faults}
            found = self.violations([refused], recovered_at=10.0, **more)
            self.assertIn(expected, found)
            self.assertEqual(bool(expected), bool(found))

    def test_more_requests_of_a_workspace_than_its_quota(self):
        for count, window_s, expected in (
            (int(invariants.QUOTA_ALLOWED), 7.9, False),
            (int(invariants.QUOTA_ALLOWED) + 1, 7.9, True),
            (int(invariants.QUOTA_ALLOWED) + 1, 9.0, False),
        ):
            sent = [10.0 + window_s * i / count for i in range(count)]
            attempts = [
                attempt(attempt_id=f"m{i}", sent_at=at, is_metered=True)
                for i, at in enumerate(sent)
            ]
            runs = [run(attempt_id=f"m{i}", at=at) for i, at in enumerate(sent)]
            found = self.violations(attempts, runs)
            self.assertEqual(expected, "a workspace got" in found, found)
            refused = self.violations(attempts)
            self.assertNotIn("a workspace got", refused)

    def test_more_requests_than_a_server_named_as_its_limit(self):
        span = LimitSpan("i1-1", 2.0, 5.0, 30.0)
        told = attempt(attempt_id="t", names_limit=True, sent_at=5.0, ended_at=5.1)
        for count, expected in ((17, ""), (18, "named 2.0 a second")):
            attempts = [attempt(attempt_id=f"r{n}", sent_at=10.0) for n in range(count)]
            runs = [run(attempt_id=f"r{n}", at=10.0 + n / 5) for n in range(count)]
            runs.append(run(attempt_id="t", at=5.0))
            found = self.violations([told, *attempts], runs, limit_spans=[span])
            self.assertIn(expected, found)
            self.assertEqual(bool(expected), bool(found))
            elsewhere = [attempt(attempt_id=f"r{n}", entry="e") for n in range(count)]
            found = self.violations([told, *elsewhere], runs, limit_spans=[span])
            self.assertEqual("", found)

    def test_a_request_to_a_server_that_said_it_leaves(self):
        told = attempt(attempt_id="t", says_leaving=True, sent_at=1.0, ended_at=1.1)
        runs = [run(attempt_id="t", at=1.0), run(at=10.0)]
        in_time = attempt(sent_at=3.05, ended_at=3.1)
        self.assertEqual("", self.violations([told, in_time], runs))
        late = attempt(sent_at=3.2, ended_at=3.3)
        found = self.violations([told, late], runs)
        self.assertIn("had passed on that", found)

    def test_requests_in_a_pause(self):
        pauses = [PauseRequest("a", "i1-1", 10.0, 12.0)]
        sent = [attempt(attempt_id=f"b{n}") for n in range(4)]

        def violations(at, number, **more) -> str:
            runs = [run(attempt_id=f"b{n}", at=at) for n in range(number)]
            refused = attempt(status=503, sent_at=-1.0, ended_at=-0.9)
            return self.violations([refused, *sent], runs, pauses=pauses, **more)

        self.assertIn("in its pause", violations(11.0, 3))
        self.assertEqual("", violations(11.0, 2))
        self.assertEqual("", violations(10.4, 3))
        self.assertEqual("", violations(12.1, 3))
        restart = [FaultSpan(10.5, 10.6, "127.1.2.1")]
        self.assertEqual("", violations(11.0, 3, entry_spans=restart))

    def test_an_entry_that_refuses_a_route_after_its_acknowledgement(self):
        def violations(**more) -> str:
            probes = [RouteProbe("127.1.2.1", 3, 10.0, 404)]
            reads = [VersionRead("core", 9.0, 3)]
            return self.violations(route_probes=probes, version_reads=reads, **more)

        late = [(10.0 - invariants.CONVERGE_S - 0.1, 3)]
        in_time = [(10.0 - invariants.CONVERGE_S + 0.1, 3)]
        self.assertIn("refused a route", violations(acknowledged=late))
        self.assertEqual("", violations(acknowledged=in_time))
        for node in ("", "127.1.2.1"):
            spans = [FaultSpan(5.0, 8.0, node)]
            self.assertEqual("", violations(acknowledged=late, entry_spans=spans))
        other = [FaultSpan(5.0, 8.0, "127.1.2.2")]
        found = violations(acknowledged=late, entry_spans=other)
        self.assertIn("refused a route", found)
        unstable = [FaultSpan(9.0, 9.5)]
        found = violations(acknowledged=late, control_spans=unstable)
        self.assertEqual("", found)
        very_late = [(10.0 - invariants.CONVERGE_S - 5.1, 3)]
        found = violations(acknowledged=very_late, control_spans=unstable)
        self.assertIn("refused a route", found)

    def test_versions_that_go_back_or_are_lost(self):
        reads = [VersionRead("core", 9.0, 3), VersionRead("core", 10.0, 2)]
        found = self.violations(acknowledged=[(5.0, 3)], version_reads=reads)
        self.assertIn("returned version 2", found)
        self.assertIn("never read back", self.violations(acknowledged=[(5.0, 3)]))

    def test_unexpected_exits_and_service_after_the_faults(self):
        self.assertIn(
            "exited unexpectedly", self.violations(unexpected_exits=["entry with 1"])
        )
        refused = [attempt(status=503) for _ in range(2)]
        self.assertIn("1 of 3 requests were served", self.violations(refused))


class ScheduleTests(TestCase):
    """Tests of the fault schedule."""

    def test_a_seed_always_gives_the_same_faults(self):
        self.assertEqual(schedule.generate(5, 20.0), schedule.generate(5, 20.0))
        self.assertNotEqual(schedule.generate(5, 20.0), schedule.generate(6, 20.0))

    def test_fifty_seeds_give_every_kind_and_overlapping_faults(self):
        schedules = [schedule.generate(seed, 20.0) for seed in range(50)]
        kinds = {fault.kind for faults in schedules for fault in faults}
        self.assertEqual(set(schedule.ALL_KINDS), kinds)
        overlaps = sum(
            later.at_s < fault.at_s + fault.duration_s
            for faults in schedules
            for fault, later in zip(faults, faults[1:], strict=False)
        )
        self.assertGreater(overlaps, 50)
