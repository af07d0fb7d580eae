"""Tests of the `explain` command."""

import contextlib
import io
import tempfile
from pathlib import Path

from fuchsiacroft import command_line
from fuchsiacroft.explain import log_files
from fuchsiacroft.tests.base import TestCase

AT = "time=2026-02-26T20:22:{:06.3f}+00:00 level=INFO event="
ENDED = "request_ended request_id={} status={} runs={} waited_s=0.1 seconds=1.0 "

EDGE_1 = (
    (7.9, "coordinator_lost coordinator=edge-2 reason=silence"),
    (10.5, "run_ended request_id=aa backend_server=i-1 coordinator=edge-2 "
           "outcome=connection_lost seconds=0.4 events=0"),
    (10.6, "request_sent_again request_id=aa after=broken runs=1 tried=i-1"),
    (11.0, ENDED.format("aa", "502", 2) + "problem=broken_off"),
    (11.1, ENDED.format("bb", "200", 1) + "problem=-"),
    (30.0, "coordinator_chosen coordinator=edge-2 before=-"),
)  # fmt: skip
EDGE_2 = (
    (10.4, "backend_server_forgotten backend_server=i-1"),
    (10.45, "backend_server_forgotten backend_server=i-9"),
    (10.5, "place_refused request_id=cc reason=overloaded free=0 slots=33 "
           "waiting=12 late=2 expected_wait_s=0.6 in_time_s=0.2 "
           "limited=2 usable_slots=11.5"),
)  # fmt: skip
CORE = ((10.9, "backend_server_changed backend_server=i-1 life=left"),)
EDGE_3 = (
    (10.55, "coordinator_lost coordinator=edge-9 reason=silence"),
    (10.7, ENDED.format("cc", "503", 0) + "problem=overloaded"),
    (10.8, ENDED.format("dd", "503", 0) + "problem=timed_out"),
)


class ExplainTests(TestCase):
    """Explains requests and field values from the logs of four processes."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        for name, events in {
            "edge-1": EDGE_1,
            "edge-2": EDGE_2,
            "edge-3": EDGE_3,
            "core-1": CORE,
        }.items():
            lines = [AT.format(at) + rest for at, rest in events]
            (self.folder / f"{name}.log").write_text("\n".join(lines) + "\n")

    def explain(self, *flags: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        argv = ["fuchsiacroft", "explain", f"--logs={self.folder}", *flags]
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = command_line.main(argv)
        return code, out.getvalue(), err.getvalue()

    def events(self, text: str) -> list[tuple[str, str]]:
        shown = [line[10:].split() for line in text.splitlines() if line[:1] == " "]
        return [tuple(words[1:3] if words[0] == "*" else words[:2]) for words in shown]

    def test_a_request_is_shown_in_time_order_with_its_cause(self):
        code, text, _ = self.explain("--request=aa", "--around_s=2.5")
        self.assertEqual(0, code)
        self.assertEqual(
            [
                ("edge-1", "coordinator_lost"),
                ("edge-2", "backend_server_forgotten"),
                ("edge-1", "run_ended"),
                ("edge-1", "request_sent_again"),
                ("core-1", "backend_server_changed"),
                ("edge-1", "request_ended"),
            ],
            self.events(text),
        )
        self.assertIn("aa: status 502: the backend server broke off", text)
        self.assertIn("i-1 connection_lost", text)

    def test_events_of_unrelated_processes_servers_and_times_are_omitted(self):
        _, text, _ = self.explain("--request=aa", "--around_s=0.1")
        self.assertNotIn("i-9", text)
        self.assertNotIn("edge-9", text)
        self.assertNotIn("coordinator_lost", text)

    def test_a_refusal_shows_the_queue_state(self):
        _, text, _ = self.explain("--request=cc")
        self.assertIn("cc: status 503: refused at once", text)
        self.assertIn("0 of 33 places free, 12 waiting", text)
        self.assertIn("named by 2 backend servers left 11.5 places usable", text)

    def test_a_queue_timeout_says_that_nothing_ran(self):
        _, text, _ = self.explain("--request=dd")
        self.assertIn("dd: status 503: no place came in its time; runs=0", text)

    def test_all_events_with_a_field_value_are_shown(self):
        code, text, _ = self.explain("--field=backend_server=i-1")
        self.assertEqual(0, code)
        self.assertEqual(
            ["backend_server_forgotten", "run_ended", "backend_server_changed"],
            [event for _, event in self.events(text)],
        )

    def test_malformed_lines_are_counted_and_shown(self):
        with (self.folder / "edge-1.log").open("a") as log:
            log.write("Traceback: request aa\nevent=x request_id=aa\n")
        code, text, err = self.explain("--request=aa")
        self.assertEqual(0, code)
        self.assertIn("request_ended", text)
        self.assertIn("2 lines were not understood", err)
        self.assertIn("edge-1.log:7: it has no time=", err)

    def test_progress_is_printed_for_large_inputs(self):
        line = AT.format(1.0) + "answered request_id=zz " + "x" * 970 + "\n"
        count = log_files.PROGRESS_BYTES // len(line) + 1
        (self.folder / "large.log").write_text(line * count)
        _, _, err = self.explain("--request=aa")
        self.assertIn(" of 67 MB", err)

    def test_missing_requests_and_usage_errors_are_reported(self):
        code, _, err = self.explain("--request=nobody")
        self.assertEqual((1, True), (code, "no line of request nobody" in err))
        self.assertEqual(2, self.explain()[0])
        self.assertEqual(2, self.explain("--request=aa", "--field=a=b")[0])
        self.assertEqual(2, self.explain("--field=a")[0])
        self.assertEqual(2, self.explain("--request=aa", "--logs=/nowhere/*.log")[0])
