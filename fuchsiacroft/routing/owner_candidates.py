"""Selects the entries at which a permit request is queued."""

import random

from fuchsiacroft.config.settings import Policies
from fuchsiacroft.membership.backend_servers import BackendDirectory, BackendServer
from fuchsiacroft.routing.owner_digests import OwnerDigests
from fuchsiacroft.routing.owners import Owners
from fuchsiacroft.routing.permit_queue import PermitQueue
from fuchsiacroft.routing.permits import PermitRequest
from fuchsiacroft.utils.clock import now

CACHE_S = 0.25
MAX_OWNERS = 8
MIN_GAIN_S = 0.1

ServersByOwner = dict[str, list[BackendServer]]


class OwnerCandidates:
    """The owners of each service's backend servers, and the one to try first."""

    def __init__(self, node: str, owners: Owners, policies: Policies, seed: int):
        self._node = node
        self._owners = owners
        self._by_prefix = policies.route == "expected_finish"
        self._random = random.Random(seed)
        self._cached: dict[str, tuple[float, ServersByOwner]] = {}

    def set_services(
        self,
        directory: BackendDirectory,
        permit_queue: PermitQueue,
        digests: OwnerDigests | None,
    ) -> None:
        """Set the services that this class depends on."""
        self._directory = directory
        self._permit_queue = permit_queue
        self._digests = digests

    def owners_of(self, service: str) -> ServersByOwner:
        """Return the owners of a service's backend servers, cached for `CACHE_S`.

        With more than `MAX_OWNERS` owners, return this entry, if it is one, and a
        random sample of the others.
        """
        seen = self._cached.get(service)
        if seen is not None and now() - seen[0] < CACHE_S:
            return seen[1]
        known: ServersByOwner = {}
        for server in self._directory.offering(service):
            owner = self._owners.owner_of(server.name)
            if owner is not None and not server.announcement.leaving:
                known.setdefault(owner.node, []).append(server)
        for node in self._digests.owners_of(service) if self._digests else ():
            known.setdefault(node, [])
        known = self._sample(known)
        if known:
            self._cached[service] = (now(), known)
        return known

    def _sample(self, known: ServersByOwner) -> ServersByOwner:
        if len(known) <= MAX_OWNERS:
            return known
        others = [node for node in known if node != self._node]
        kept = self._random.sample(others, MAX_OWNERS - 1)
        if self._node in known:
            kept.append(self._node)
        return {node: known[node] for node in kept}

    def first_owner(self, request: PermitRequest) -> str | None:
        """Return the owner to try first.

        This entry is preferred if it owns a backend server of the service, unless
        the prefix caches of another owner save at least `MIN_GAIN_S` more prefill.
        """
        known = self.owners_of(request.service)
        if self._node in known:
            best = self._node
        else:
            best = self._random.choice(list(known)) if known else None
        if not self._by_prefix or not request.prefixes:
            return best
        best_gain_s = MIN_GAIN_S + self._gain_s(request, known.get(self._node, []))
        for node, servers in known.items():
            gain_s = self._gain_s(request, servers)
            if node != self._node and gain_s > best_gain_s:
                best, best_gain_s = node, gain_s
        return best

    def _gain_s(self, request: PermitRequest, servers: list[BackendServer]) -> float:
        gains = (
            self._permit_queue.prefix_gain_s(
                request, server.name, server.announcement.generation
            )
            for server in servers
        )
        return max(gains, default=0.0)
