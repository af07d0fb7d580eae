"""Orders to a stand-in engine: load, unload and role, with fencing numbers."""

import asyncio
from collections import OrderedDict

import msgspec
from aiohttp import web

from fuchsiacroft.membership.announcement import Announcement, Offer

MAX_ORDERS = 10_000


class Order(msgspec.Struct, frozen=True):
    """The body of `POST /orders`.

    `action` is `load`, `unload` or `role`. A newer leader uses a higher fencing
    number. An order with a known `order_id` is answered but not executed again.
    """

    order_id: str
    fencing: int
    action: str
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""


class OrderExecutor:
    """Executes orders and records them, so that tests can count them."""

    def __init__(self, checks_fencing: bool, load_s: float) -> None:
        self.checks_fencing = checks_fencing
        self._load_s = load_s
        self._highest_fencing = 0
        self._executed: OrderedDict[str, Order] = OrderedDict()
        self._refused = 0
        self._loaded: dict[str, Offer] = {}
        self._unloaded: set[str] = set()
        self._role = ""

    def add_routes(self, app: web.Application) -> None:
        """Add the routes for `/orders`."""
        app.router.add_post("/orders", self._accept)
        app.router.add_get("/orders", self._list)

    def describe(self, announcement: Announcement) -> Announcement:
        """Return the announcement with the changes made by orders."""
        offers = {offer.service: offer for offer in announcement.offers}
        offers |= self._loaded
        remaining = tuple(
            offer for name, offer in offers.items() if name not in self._unloaded
        )
        return msgspec.structs.replace(
            announcement,
            offers=remaining,
            role=self._role or announcement.role,
            checks_fencing=self.checks_fencing,
        )

    async def _accept(self, req: web.Request) -> web.Response:
        try:
            order = msgspec.json.decode(await req.read(), type=Order)
        except msgspec.MsgspecError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        if self.checks_fencing and order.fencing < self._highest_fencing:
            self._refused += 1
            answer = {"error": "old fencing number", "highest": self._highest_fencing}
            return web.json_response(answer, status=409)
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        if order.order_id not in self._executed:
            self._executed[order.order_id] = order
            if len(self._executed) > MAX_ORDERS:
                self._executed.popitem(last=False)
            await self._execute(order)
        return web.json_response({"order_id": order.order_id, "state": "done"})

    async def _execute(self, order: Order) -> None:
        if order.action == "load":
            await asyncio.sleep(self._load_s)
            offer = Offer(order.model, order.version, order.adapters)
            self._loaded[order.model] = offer
            self._unloaded.discard(order.model)
        elif order.action == "unload":
            self._loaded.pop(order.model, None)
            self._unloaded.add(order.model)
        elif order.action == "role":
            self._role = order.role

    async def _list(self, req: web.Request) -> web.Response:
        return web.json_response(
            {
                "highest": self._highest_fencing,
                "refused": self._refused,
                "carried_out": [
                    msgspec.to_builtins(order) for order in self._executed.values()
                ],
            }
        )
