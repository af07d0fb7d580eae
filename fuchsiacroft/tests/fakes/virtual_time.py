"""An event loop whose clock tests pause and advance."""

from fuchsiacroft.model.virtual_time import VirtualTimeLoop, VirtualTimeSelector, run

__all__ = ["VirtualTimeSelector", "VirtualTimeLoop", "run"]
