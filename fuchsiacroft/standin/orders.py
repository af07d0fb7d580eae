"""Orders to a stand-in engine: load, unload and role, under fencing numbers."""

import asyncio
from collections import OrderedDict

import msgspec
from aiohttp import web

from fuchsiacroft.membership.announcement import Announcement, Offer

MAX_ORDERS = 10_000


class Order(msgspec.Struct, frozen=True):
    """The body of `POST /orders`.

    `action` is `load`, `unload` or `role`. A number of a newer leader is
    higher. A repeated `order_id` is answered again and not carried out twice.
    """

    order_id: str
    fencing: int
    action: str
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""


class OrderBook:
    """Carries out orders and remembers which, so that tests can count them."""

    def __init__(self, checks_fencing: bool, load_s: float) -> None:
        self.checks_fencing = checks_fencing
        self._load_s = load_s
        self._highest = 0
        self._carried_out: OrderedDict[str, Order] = OrderedDict()
        self._refused = 0
        self._loaded: dict[str, Offer] = {}
        self._unloaded: set[str] = set()
        self._role = ""

    def add_routes(self, app: web.Application) -> None:
        """Serve `/orders`."""
        app.router.add_post("/orders", self._take)
        app.router.add_get("/orders", self._list)

    def describe(self, announcement: Announcement) -> Announcement:
        """Return the announcement with what the orders have changed."""
        offers = {offer.service: offer for offer in announcement.offers}
        offers |= self._loaded
        kept = tuple(
            offer for name, offer in offers.items() if name not in self._unloaded
        )
        return msgspec.structs.replace(
            announcement,
            offers=kept,
            role=self._role or announcement.role,
            checks_fencing=self.checks_fencing,
        )

    async def _take(self, req: web.Request) -> web.Response:
        try:
            order = msgspec.json.decode(await req.read(), type=Order)
        except msgspec.MsgspecError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        if self.checks_fencing and order.fencing < self._highest:
            self._refused += 1
            answer = {"error": "old fencing number", "highest": self._highest}
            return web.json_response(answer, status=409)
        self._highest = max(self._highest, order.fencing)
        if order.order_id not in self._carried_out:
            self._carried_out[order.order_id] = order
            if len(self._carried_out) > MAX_ORDERS:
                self._carried_out.popitem(last=False)
            await self._carry_out(order)
        return web.json_response({"order_id": order.order_id, "state": "done"})

    async def _carry_out(self, order: Order) -> None:
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
                "highest": self._highest,
                "refused": self._refused,
                "carried_out": [
                    msgspec.to_builtins(order) for order in self._carried_out.values()
                ],
            }
        )
