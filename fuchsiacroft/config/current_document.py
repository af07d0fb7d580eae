"""The document that a process holds, compiled for look-ups."""

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

HELD_DELTAS = 1_000
MAX_LABELLED_WORKSPACES = 50
OTHER_WORKSPACES = "other"


class CurrentDocument(Service):
    """The newest version this process has seen; it never goes back."""

    name = "document"

    def __init__(self) -> None:
        self.version = 0
        self.document = EMPTY_DOCUMENT
        self._deltas: deque[tuple[int, Delta]] = deque(maxlen=HELD_DELTAS)
        self._changed = asyncio.Event()
        self._compile()

    def dump(self) -> dict:
        """Return the version and the sizes of the document's parts."""
        return {
            "version": self.version,
            "tiers": len(self.document.tiers),
            "services": len(self.document.services),
            "workspaces": len(self.document.workspaces),
            "rules": len(self.document.rules),
        }

    def workspace_of(self, key_hash: str) -> Workspace | None:
        """Return the workspace that a hashed key names."""
        return self._workspaces.get(key_hash)

    def service(self, name: str) -> ServiceSpec | None:
        """Return the service of that name."""
        return self._services.get(name)

    def tier(self, name: str) -> Tier | None:
        """Return the tier of that name."""
        return self._tiers.get(name)

    @property
    def max_model_body_bytes(self) -> int:
        """Return the largest body that any model service takes."""
        return self._max_model_body_bytes

    def workspace_label(self, name: str) -> str:
        """Return a workspace's name for metrics, or `other` for most of them.

        The workspaces with the largest shares keep their names, the same ones
        on every entry, so that the number of time series stays bounded.
        """
        return name if name in self._labelled else OTHER_WORKSPACES

    def rule(self, service: str, method: str, path: str) -> Rule | None:
        """Return the first rule that matches a request."""
        for rule in self._rules.get(service, ()):
            if rule.methods and method not in rule.methods:
                continue
            if path.startswith(rule.path_prefix):
                return rule
        return None

    def apply_update(self, news: DocumentUpdate) -> bool:
        """Put news in force; return False if it does not fit or is old."""
        if news.document is not None:
            return self._replace(news.version, news.document)
        version = news.first_version
        taken = False
        for delta in news.deltas:
            if version == self.version + 1:
                self._advance(delta)
                taken = True
            version += 1
        if taken:
            self._announce()
        return taken

    def updates_since(self, version: int) -> DocumentUpdate:
        """Return what another process needs to come to this version."""
        if version >= self.version:
            return DocumentUpdate(self.version)
        first = self._deltas[0][0] if self._deltas else self.version + 1
        if version + 1 < first:
            return DocumentUpdate(self.version, document=self.document)
        wanted = tuple(delta for number, delta in self._deltas if number > version)
        return DocumentUpdate(self.version, first_version=version + 1, deltas=wanted)

    async def wait_for_update(self, fetch: FetchUpdate) -> DocumentUpdate:
        """Answer a fetch at once, or when news comes within its wait."""
        if fetch.version >= self.version:
            changed = self._changed
            try:
                async with asyncio.timeout(fetch.wait_s):
                    await changed.wait()
            except TimeoutError:
                pass
        return self.updates_since(fetch.version)

    def _replace(self, version: int, document: Document) -> bool:
        if version <= self.version:
            return False
        self.document = document
        self.version = version
        self._deltas.clear()
        self._announce()
        return True

    def _advance(self, delta: Delta) -> None:
        self.document = deltas.apply_delta(self.document, delta)
        self.version += 1
        self._deltas.append((self.version, delta))

    def _announce(self) -> None:
        self._compile()
        self._changed.set()
        self._changed = asyncio.Event()
        event("info", "document_in_force", version=self.version)

    def _compile(self) -> None:
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
        self._labelled = frozenset(
            workspace.name for workspace in largest[:MAX_LABELLED_WORKSPACES]
        )
        self._rules: dict[str, list[Rule]] = {}
        for rule in self.document.rules:
            self._rules.setdefault(rule.service, []).append(rule)


def create() -> CurrentDocument:
    """Return a holder of the empty document, version 0."""
    return CurrentDocument()
