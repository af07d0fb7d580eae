"""An exponentially weighted moving average."""


def moving_average(known: float | None, value: float, weight: float) -> float:
    """Return a moving average updated with a value; `known` is None for the first."""
    return value if known is None else known + weight * (value - known)
