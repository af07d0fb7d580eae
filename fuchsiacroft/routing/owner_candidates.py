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
        self._uses_prefixes = policies.route == "expected_finish"
        self._random = random.Random(seed)
        self._cached: dict[str, tuple[float, ServersByOwner]] = {}

    def set_dependencies(
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
        cached = self._cached.get(service)
        if cached is not None and now() - cached[0] < CACHE_S:
            return cached[1]
        candidates: ServersByOwner = {}
        for server in self._directory.offering(service):
            owner = self._owners.owner_of(server.name)
            if owner is not None and not server.announcement.leaving:
                candidates.setdefault(owner.node, []).append(server)
        for node in self._digests.owners_of(service) if self._digests else ():
            candidates.setdefault(node, [])
        candidates = self._sample(candidates)
        if candidates:
            self._cached[service] = (now(), candidates)
        return candidates

    def owners_for(self, request: PermitRequest) -> ServersByOwner:
        """Return the owners of the backend servers that may run a request.

        Owners of other failure domains don't tell the versions of their servers.
        """
        candidates = self.owners_of(request.service)
        if request.version is None:
            return candidates
        return {
            node: servers
            for node, servers in candidates.items()
            if not servers
            or any(
                server.announcement.offers_service(request.service, request.version)
                for server in servers
            )
        }

    def _sample(self, candidates: ServersByOwner) -> ServersByOwner:
        if len(candidates) <= MAX_OWNERS:
            return candidates
        others = [node for node in candidates if node != self._node]
        sampled = self._random.sample(others, MAX_OWNERS - 1)
        if self._node in candidates:
            sampled.append(self._node)
        return {node: candidates[node] for node in sampled}

    def first_owner(self, request: PermitRequest) -> str | None:
        """Return the owner to try first.

        This entry is preferred if it owns a backend server of the service, unless
        the prefix caches of another owner save over `MIN_GAIN_S` more prefill.
        """
        candidates = self.owners_for(request)
        if self._node in candidates:
            best = self._node
        else:
            best = self._random.choice(list(candidates)) if candidates else None
        if not self._uses_prefixes or not request.prefixes:
            return best
        best_gain_s = MIN_GAIN_S + self._gain_s(request, candidates.get(self._node, []))
        for node, servers in candidates.items():
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
