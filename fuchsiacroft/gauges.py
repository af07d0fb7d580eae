"""Gauges that are collected from the services when metrics are scraped."""

import resource
from collections.abc import Iterator

from fuchsiacroft.kernel import Kernel
from fuchsiacroft.utils import loop_watch
from fuchsiacroft.utils.inbound import open_connections, refused_inputs
from fuchsiacroft.utils.metrics import Metrics
from fuchsiacroft.utils.tasks import failed_steps

STATM_PATH = "/proc/self/statm"
DESCRIPTIONS = {
    "fuchsiacroft_document_version": "Version of the document in force here",
    "fuchsiacroft_requests_in_progress": "Callers' requests in progress",
    "fuchsiacroft_requests_waiting": "Queued requests of this entry by service",
    "fuchsiacroft_backend_servers": "Backend servers with a recent announcement",
    "fuchsiacroft_backend_servers_owned": "Backend servers that this entry owns",
    "fuchsiacroft_backend_servers_limited": "Backend servers that name a limit",
    "fuchsiacroft_backend_servers_below_slots": "Servers filled below their slots",
    "fuchsiacroft_quarantined_content": "Content whose requests are refused here",
    "fuchsiacroft_rollout_requests": "Requests placed here under a rollout, by version",
    "fuchsiacroft_workspaces_waiting": "Workspaces with queued requests by service",
    "fuchsiacroft_share_behind_seconds": (
        "Run time by which the workspace that got least is behind its share"
    ),
    "fuchsiacroft_requests_refused_early": (
        "Requests refused at once, as they could not be served in time, by service"
    ),
    "fuchsiacroft_failed_steps": "Failed steps of repeated tasks, by task",
    "fuchsiacroft_connections": "Clients' open connections, by listening address",
    "fuchsiacroft_inbound_refusals": "Heads and connections refused, by reason",
    "fuchsiacroft_process_memory_bytes": "Resident memory of this process",
    "fuchsiacroft_process_cpu_seconds": "CPU time used by this process",
    "fuchsiacroft_loop_late_seconds": "Sum of how late the event loop's checks ran",
    "fuchsiacroft_loop_longest_delay_seconds": "Longest delay of such a check",
    "fuchsiacroft_messages_received": "Messages of other processes, by kind",
    "fuchsiacroft_message_handling_seconds": "Time of their handlers, by kind",
    "fuchsiacroft_slot_turnaround_seconds": (
        "Mean time for which a slot is taken beyond its run, by service"
    ),
}
Sample = tuple[str, dict[str, str], float]


class Gauges:
    """Updates the gauges of a process from the state dumps of its services."""

    def __init__(self, metrics: Metrics) -> None:
        self._gauges = {
            name: metrics.gauge(name, text) for name, text in DESCRIPTIONS.items()
        }

    def collect(self, kernel: Kernel) -> None:
        """Update all gauges of this process."""
        state = kernel.dump()
        for name, labels, value in (*_process_samples(), *_service_samples(state)):
            self._gauges[name].set(labels, value)


def _process_samples() -> Iterator[Sample]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    yield "fuchsiacroft_process_cpu_seconds", {}, usage.ru_utime + usage.ru_stime
    with open(STATM_PATH, encoding="ascii") as file:  # noqa: PTH123
        pages = int(file.read().split()[1])
    yield "fuchsiacroft_process_memory_bytes", {}, pages * resource.getpagesize()
    yield "fuchsiacroft_loop_late_seconds", {}, loop_watch.delays.late_s
    yield "fuchsiacroft_loop_longest_delay_seconds", {}, loop_watch.delays.longest_s
    for task, count in failed_steps.items():
        yield "fuchsiacroft_failed_steps", {"task": task}, count
    for name, count in open_connections.items():
        yield "fuchsiacroft_connections", {"socket": name}, count
    for (name, reason), count in refused_inputs.items():
        labels = {"socket": name, "reason": reason}
        yield "fuchsiacroft_inbound_refusals", labels, count


def _service_samples(state: dict) -> Iterator[Sample]:
    if "document" in state:
        yield "fuchsiacroft_document_version", {}, state["document"]["version"]
    if "callers" in state:
        in_progress = state["callers"].get("in_progress", 0)
        yield "fuchsiacroft_requests_in_progress", {}, in_progress
    if "backend_servers" in state:
        yield "fuchsiacroft_backend_servers", {}, len(state["backend_servers"])
    if "quarantine" in state:
        contents = state["quarantine"].values()
        count = sum(content["quarantined"] for content in contents)
        yield "fuchsiacroft_quarantined_content", {}, count
    for service, rollout in state.get("rollout_follower", {}).items():
        new = rollout["began_new"]
        for which, count in (("new", new), ("old", rollout["began"] - new)):
            labels = {"service": service, "which": which}
            yield "fuchsiacroft_rollout_requests", labels, count
    for kind, count in state.get("bus", {}).get("received_by_kind", {}).items():
        yield "fuchsiacroft_messages_received", {"kind": kind}, count
    for kind, seconds in state.get("bus", {}).get("handling_s_by_kind", {}).items():
        yield "fuchsiacroft_message_handling_seconds", {"kind": kind}, seconds
    for name in ("placer", "scheduler"):
        if "server_limits" in state.get(name, {}):
            count = len(state[name]["server_limits"])
            yield "fuchsiacroft_backend_servers_limited", {}, count
    yield from _coordinator_samples(state.get("coordinator", {}))
    queue = state.get("permit_queue", {})
    if "owned" in queue:
        yield "fuchsiacroft_backend_servers_owned", {}, len(queue["owned"])
    for service, count in queue.get("waiting", {}).items():
        waiting = count if isinstance(count, int) else len(count)
        yield "fuchsiacroft_requests_waiting", {"service": service}, waiting


def _coordinator_samples(state: dict) -> Iterator[Sample]:
    servers = state.get("servers", {}).values()
    learned = [server for server in servers if "learned_limit" in server]
    if learned:
        count = sum(server["learned_limit"] < server["slots"] for server in learned)
        yield "fuchsiacroft_backend_servers_below_slots", {}, count
    for service, seconds in state.get("turnaround_s", {}).items():
        labels = {"service": service}
        yield "fuchsiacroft_slot_turnaround_seconds", labels, seconds
    yield from share_samples(state)


def share_samples(state: dict) -> Iterator[Sample]:
    """Yield what shows that shares work; a workspace is no label, as any may call."""
    for service, ranks in state.get("shares", {}).items():
        labels = {"service": service}
        behind_s = [
            workspace["behind_s"]
            for workspaces in ranks.values()
            for workspace in workspaces.values()
        ]
        names = {name for workspaces in ranks.values() for name in workspaces}
        yield "fuchsiacroft_workspaces_waiting", labels, len(names)
        longest_s = max(behind_s, default=0.0)
        yield "fuchsiacroft_share_behind_seconds", labels, longest_s
    for service, count in state.get("refused_early", {}).items():
        yield "fuchsiacroft_requests_refused_early", {"service": service}, count
