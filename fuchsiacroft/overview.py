"""Overview of the running system for operators, from the entries' state dumps."""

from dataclasses import dataclass, field

from expression import Result

from fuchsiacroft.operators_client import OperatorsClient


@dataclass(frozen=True, slots=True)
class EntryState:
    """The state of an entry; `problem` is set if the state is unknown.

    `waiting` is the number of queued requests by service.
    """

    node: str
    address: str
    problem: str = ""
    version: int = 0
    in_progress: int = 0
    draining: bool = False
    waiting: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class BackendServerState:
    """A backend server as seen by its owner, or by any entry without one.

    `running` is the number of requests that its owner has running there, or
    None if no owner responded. `received_s_ago` is the age of its announcement, and
    `limit_per_s` the requests a second that it takes, None without a limit.
    """

    name: str
    failure_domain: str
    services: tuple[str, ...]
    role: str
    generation: str
    slots: int
    leaving: bool
    received_s_ago: float
    running: int | None = None
    owner: str | None = None
    limit_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Overview:
    """The entries and the backend servers, each sorted by name."""

    entries: tuple[EntryState, ...]
    backend_servers: tuple[BackendServerState, ...]


async def fetch_overview(client: OperatorsClient, entries: dict[str, str]) -> Overview:
    """Fetch the state of each entry, given as node name to operators' address."""
    found = await client.get_dumps(list(entries.values()))
    states = {}
    dumps = {}
    for node, address in sorted(entries.items()):
        match found[address]:
            case Result(tag="ok", ok=dump):
                dumps[node] = dump
                states[node] = _entry_state(node, address, dump)
            case Result(error=reason):
                states[node] = EntryState(node, address, problem=reason)
    return Overview(tuple(states.values()), _backend_server_states(dumps))


def _entry_state(node: str, address: str, dump: dict) -> EntryState:
    callers = _section(dump, "callers")
    waiting = _section(dump, "permit_queue").get("waiting")
    return EntryState(
        node=node,
        address=address,
        version=_section(dump, "document").get("version", 0),
        in_progress=callers.get("in_progress", 0),
        draining=bool(callers.get("draining")),
        waiting=_counts(waiting),
    )


def _backend_server_states(dumps: dict[str, dict]) -> tuple[BackendServerState, ...]:
    servers: dict[str, BackendServerState] = {}
    for node, dump in dumps.items():
        owned = _section(_section(dump, "permit_queue"), "owned")
        for name, state in _section(dump, "backend_servers").items():
            if not isinstance(state, dict) or "announcement" not in state:
                continue
            if name in servers and name not in owned:
                continue
            servers[name] = _backend_server_state(name, state, node, owned.get(name))
    return tuple(servers[name] for name in sorted(servers))


def _backend_server_state(
    name: str, state: dict, node: str, owned: dict | None
) -> BackendServerState:
    announcement = state["announcement"]
    running = None if owned is None else _count(owned.get("running"))
    return BackendServerState(
        name=name,
        failure_domain=announcement.get("failure_domain", ""),
        services=tuple(
            offer.get("service", "") for offer in announcement.get("offers", ())
        ),
        role=announcement.get("role", ""),
        generation=announcement.get("generation", ""),
        slots=announcement.get("slots", 0),
        leaving=bool(announcement.get("leaving")),
        received_s_ago=state.get("received_s_ago", 0.0),
        running=running,
        owner=None if owned is None else node,
        limit_per_s=None if owned is None else owned.get("limit_per_s"),
    )


def _section(dump: dict, name: str) -> dict:
    part = dump.get(name)
    return part if isinstance(part, dict) else {}


def _counts(value: object) -> dict[str, int]:
    if not isinstance(value, dict):
        return {}
    return {str(name): _count(item) for name, item in value.items()}


def _count(value: object) -> int:
    if isinstance(value, int):
        return value
    return len(value) if isinstance(value, (list, dict)) else 0
