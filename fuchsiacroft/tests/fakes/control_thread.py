"""A control member with its operator API, run in a separate thread.

It uses a `LocalLog` and an in-memory bus, so it starts without an election.
"""

import asyncio
import threading

from fuchsiacroft import operations
from fuchsiacroft.config import current_document
from fuchsiacroft.config.document import hash_key
from fuchsiacroft.config.settings import Addresses, Member, Settings
from fuchsiacroft.control import (
    api,
    configuration,
    feed,
    local_log,
    rollout_api,
)
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.rollouts.controller import RolloutController
from fuchsiacroft.rollouts.messages import Evidence
from fuchsiacroft.rollouts.state import RolloutState
from fuchsiacroft.tests.fakes.bus import MemoryNetwork
from fuchsiacroft.tests.fakes.ports import free_addresses
from fuchsiacroft.utils.metrics import Metrics

TOKEN = "operator-token"
READY_TIMEOUT_S = 10.0


class ControlThread:
    """Runs a control member on loopback until it is stopped."""

    def __init__(self) -> None:
        self.operators, peers = free_addresses(2)
        self.settings = Settings(
            node="control-1",
            failure_domain="mvd-cordon",
            region="mvd",
            addresses=Addresses(operators=self.operators, peers=peers),
            control=[Member("control-1", "mvd-cordon", peers, self.operators)],
            operator_token_hashes=[hash_key(TOKEN)],
        )
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._stopping = asyncio.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread and wait until the control member runs.

        Raises RuntimeError after `READY_TIMEOUT_S`.
        """
        self._thread.start()
        if not self._ready.wait(READY_TIMEOUT_S):
            raise RuntimeError(
                f"the control member did not start within {READY_TIMEOUT_S} s"
            )

    def stop(self) -> None:
        """Stop the control member and join its thread; repeated calls do nothing."""
        if not self._thread.is_alive():
            return
        self._loop.call_soon_threadsafe(self._stopping.set)
        self._thread.join(READY_TIMEOUT_S)

    def _run(self) -> None:
        self._loop.run_until_complete(self._serve())
        self._loop.close()

    def report_evidence(self) -> None:
        """Let the control member hear a coordinator that knows of no rollout."""
        controller = self._kernel.get("rollouts", RolloutController)
        message = Evidence("entry-1", "1")

        async def report() -> None:
            controller.on_evidence("entry-1", message)

        fut = asyncio.run_coroutine_threadsafe(report(), self._loop)
        fut.result(READY_TIMEOUT_S)

    async def _serve(self) -> None:
        kernel = self._kernel = _kernel(self.settings)
        await kernel.start()
        self._ready.set()
        await self._stopping.wait()
        await kernel.drain()
        await kernel.stop()


def _kernel(settings: Settings) -> Kernel:
    state = configuration.ConfigurationState()
    log = local_log.create()
    log.register_state_machine("configuration", state)
    rollout_state = RolloutState()
    log.register_state_machine("rollouts", rollout_state)
    metrics = Metrics()
    ops = operations.create(settings.addresses.operators, metrics)
    operator_api = api.create(settings, state)
    operator_api.add_routes(ops)
    rollouts_api = rollout_api.create()
    rollouts_api.add_routes(ops)
    kernel = Kernel()
    for service in (
        MemoryNetwork().bus(settings.node, settings.addresses.peers),
        current_document.create(),
        log,
        feed.create(settings, state),
        rollout_api.create_controller(rollout_state, state, metrics),
        operator_api,
        rollouts_api,
        ops,
    ):
        kernel.add(service)
    return kernel
