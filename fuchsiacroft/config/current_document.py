"""The current document of a process, indexed for lookups."""

import asyncio
from collections import deque

from fuchsiacroft.config import defaults
from fuchsiacroft.config import delta as deltas
from fuchsiacroft.config.delta import Delta
from fuchsiacroft.config.document import (
    EMPTY_DOCUMENT,
    Document,
    Rule,
    ServiceSpec,
    Tier,
    Workspace,
)
from fuchsiacroft.config.feed import DocumentUpdate, FetchUpdate
from fuchsiacroft.kernel import Service
from fuchsiacroft.utils.logs import event

MAX_RETAINED_DELTAS = 1_000
MAX_LABELLED_WORKSPACES = 50
OTHER_WORKSPACES = "other"


class CurrentDocument(Service):
    """The newest version that this process has received; it never decreases."""

    name = "document"

    def __init__(self) -> None:
        self.version = 0
        self.document = EMPTY_DOCUMENT
        self._deltas: deque[tuple[int, Delta]] = deque(maxlen=MAX_RETAINED_DELTAS)
        self._changed = asyncio.Event()
        self._build_indexes()

    def dump(self) -> dict:
        """Return the version and the number of items in each section."""
        return {
            "version": self.version,
            "tiers": len(self.document.tiers),
            "services": len(self.document.services),
            "workspaces": len(self.document.workspaces),
            "rules": len(self.document.rules),
        }

    def workspace_of(self, key_hash: str) -> Workspace | None:
        """Return the workspace that a hashed key belongs to."""
        return self._workspaces.get(key_hash)

    def service(self, name: str) -> ServiceSpec | None:
        """Return the service of that name."""
        return self._services.get(name)

    def tier(self, name: str) -> Tier | None:
        """Return the tier of that name."""
        return self._tiers.get(name)

    @property
    def max_model_body_bytes(self) -> int:
        """Return the largest request body that any model service accepts."""
        return self._max_model_body_bytes

    def workspace_label(self, name: str) -> str:
        """Return the metrics label of a workspace: its name or `other`.

        Only the workspaces with the largest shares are labelled by name, the
        same ones on every entry, so that the number of time series is bounded.
        """
        return name if name in self._labelled_workspaces else OTHER_WORKSPACES

    def rule(self, service: str, method: str, path: str) -> Rule | None:
        """Return the first rule that matches a request."""
        for rule in self._rules.get(service, ()):
            if rule.methods and method not in rule.methods:
                continue
            if path.startswith(rule.path_prefix):
                return rule
        return None

    def apply_update(self, update: DocumentUpdate) -> bool:
        """Apply an update; return False if it is outdated or leaves a gap."""
        if update.document is not None:
            return self._replace_document(update.version, update.document)
        version = update.first_version
        is_applied = False
        for delta in update.deltas:
            if version == self.version + 1:
                self._apply_delta(delta)
                is_applied = True
            version += 1
        if is_applied:
            self._signal_change()
        return is_applied

    def updates_since(self, version: int) -> DocumentUpdate:
        """Return the update that brings another process to the current version."""
        if version >= self.version:
            return DocumentUpdate(self.version)
        first = self._deltas[0][0] if self._deltas else self.version + 1
        if version + 1 < first:
            return DocumentUpdate(self.version, document=self.document)
        missing = tuple(delta for number, delta in self._deltas if number > version)
        return DocumentUpdate(self.version, first_version=version + 1, deltas=missing)

    async def wait_for_update(self, fetch: FetchUpdate) -> DocumentUpdate:
        """Return the update for a fetch, waiting for a change as long as it allows."""
        if fetch.version >= self.version:
            changed = self._changed
            try:
                async with asyncio.timeout(fetch.wait_s):
                    await changed.wait()
            except TimeoutError:
                pass
        return self.updates_since(fetch.version)

    def _replace_document(self, version: int, document: Document) -> bool:
        if version <= self.version:
            return False
        self.document = document
        self.version = version
        self._deltas.clear()
        self._signal_change()
        return True

    def _apply_delta(self, delta: Delta) -> None:
        self.document = deltas.apply_delta(self.document, delta)
        self.version += 1
        self._deltas.append((self.version, delta))

    def _signal_change(self) -> None:
        self._build_indexes()
        self._changed.set()
        self._changed = asyncio.Event()
        event("info", "document_in_force", version=self.version)

    def _build_indexes(self) -> None:
        self._workspaces = {
            key_hash: workspace
            for workspace in self.document.workspaces
            for key_hash in workspace.key_hashes
        }
        self._services = {spec.name: spec for spec in self.document.services}
        self._tiers = {tier.name: tier for tier in self.document.tiers}
        self._max_model_body_bytes = max(
            (
                spec.max_body_bytes
                for spec in self.document.services
                if spec.kind == "model"
            ),
            default=defaults.MAX_BODY_BYTES,
        )
        largest = sorted(
            self.document.workspaces,
            key=lambda workspace: (-workspace.share, workspace.name),
        )
        self._labelled_workspaces = frozenset(
            workspace.name for workspace in largest[:MAX_LABELLED_WORKSPACES]
        )
        self._rules: dict[str, list[Rule]] = {}
        for rule in self.document.rules:
            self._rules.setdefault(rule.service, []).append(rule)


def create() -> CurrentDocument:
    """Return a service with the empty document, version 0."""
    return CurrentDocument()
