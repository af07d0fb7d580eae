"""A network in memory for tests."""

from fuchsiacroft.model.network import MemoryBus, MemoryNetwork

__all__ = ["MemoryBus", "MemoryNetwork"]
