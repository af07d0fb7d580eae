"""Tests of the replicated document's history."""

from unittest import mock

from fuchsiacroft.config import delta
from fuchsiacroft.config.document import Document, Workspace
from fuchsiacroft.control import configuration
from fuchsiacroft.control.configuration import ChangeDocument, ConfigurationState
from fuchsiacroft.tests.base import TestCase


def _document(names: range) -> Document:
    workspaces = [Workspace(f"shop-{i:02}", [], "desk") for i in names]
    return Document(tiers=[], services=[], workspaces=workspaces)


def _grow(state: ConfigurationState, versions: int) -> None:
    for i in range(state.version, state.version + versions):
        wanted = _document(range(i + 1))
        change = delta.compute_delta(state.document, wanted)
        state.apply(i, ChangeDocument(i, f"c{i}", "ana", change))


class DocumentAtTests(TestCase):
    """Older documents are reconstructed while the history retains them."""

    def test_every_retained_version_is_reconstructed(self):
        state = ConfigurationState()
        _grow(state, 12)
        for version in range(13):
            self.assertEqual(_document(range(version)), state.document_at(version))

    def test_a_version_outside_the_history_is_not_available(self):
        with mock.patch.object(configuration, "RETAINED_VERSIONS", 5):
            state = ConfigurationState()
            _grow(state, 12)
            self.assertEqual(5, len(state.history()))
            self.assertIsNone(state.document_at(6))
            self.assertIsNone(state.document_at(13))
            self.assertEqual(_document(range(7)), state.document_at(7))

    def test_a_restored_snapshot_reconstructs_the_same_versions(self):
        with mock.patch.object(configuration, "RETAINED_VERSIONS", 5):
            state = ConfigurationState()
            _grow(state, 12)
            copy = ConfigurationState()
            copy.restore(state.snapshot())
            _grow(copy, 2)
            self.assertEqual(_document(range(9)), copy.document_at(9))
            self.assertIsNone(copy.document_at(8))
