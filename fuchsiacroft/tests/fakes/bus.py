"""An in-memory network for tests."""

from fuchsiacroft.model.network import MemoryBus, MemoryNetwork

__all__ = ["MemoryBus", "MemoryNetwork"]
