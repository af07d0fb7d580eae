"""An event loop with a virtual clock for tests."""

from fuchsiacroft.model.virtual_time import VirtualTimeLoop, VirtualTimeSelector, run

__all__ = ["VirtualTimeSelector", "VirtualTimeLoop", "run"]
