"""Delivery of orders to engines."""

import asyncio
import enum
from abc import ABC, abstractmethod
from collections.abc import Callable

import aiohttp
import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.entry.answer_identity import RequestName
from fuchsiacroft.entry.at_most_once import SendGuard, open_session
from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.kernel import Kernel, Service

CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 120.0
STATUS_OK = 200
STATUS_FENCED = 409


class EngineOrder(msgspec.Struct, frozen=True, omit_defaults=True):
    """The request body of an engine's `POST /orders`."""

    order_id: str
    fencing: int
    action: str
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""


class SendError(enum.Enum):
    """Why an order is not known to have been executed.

    `FENCED`: the engine has seen a higher fencing token. `REFUSED`: the engine
    rejected the order. After `NO_ANSWER` the order may have been executed.
    """

    FENCED = "fenced"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


class EngineOrders(Service, ABC):
    """Sends orders to engines."""

    name = "engine_orders"

    @abstractmethod
    async def send(
        self,
        address: str,
        order: EngineOrder,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[None, SendError]:
        """Send an order and wait until it is executed.

        `may_send` is called once the engine is connected; if it returns false, nothing
        is sent.
        """


class HttpEngineOrders(EngineOrders):
    """Sends orders to `POST /orders` of the engine's address.

    The request id of an order is its `order_id`, which the answer has to name.
    """

    def __init__(self) -> None:
        self._client: aiohttp.ClientSession | None = None

    async def start(self, kernel: Kernel) -> None:
        """Open the client."""
        self._client = open_session(CONNECT_TIMEOUT_S)

    async def stop(self) -> None:
        """Close the client."""
        if self._client is not None:
            await self._client.close()

    async def send(
        self,
        address: str,
        order: EngineOrder,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[None, SendError]:
        """Send an order on a connection of its own, at most once."""
        body = msgspec.json.encode(order)
        name = RequestName(REQUEST_ID_HEADER, order.order_id)
        headers = {"Content-Type": "application/json", name.header: name.request_id}
        url = f"http://{address}/orders"
        guard = SendGuard(may_send, name=name)
        try:
            async with (
                asyncio.timeout(RESPONSE_TIMEOUT_S),
                self._client.post(
                    url, data=body, headers=headers, middlewares=(guard,)
                ) as response,
            ):
                await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Error(SendError.NO_ANSWER)
        if status == STATUS_OK:
            return Ok(None)
        fenced = status == STATUS_FENCED
        return Error(SendError.FENCED if fenced else SendError.REFUSED)


def create() -> HttpEngineOrders:
    """Return the sender over HTTP."""
    return HttpEngineOrders()
