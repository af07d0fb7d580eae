"""An event loop whose clock tests pause and advance."""

from fuchsiacroft.model.loop import AdvancingSelector, PausedLoop, run

__all__ = ["AdvancingSelector", "PausedLoop", "run"]
