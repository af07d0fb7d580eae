"""A least-squares line through recent samples; older ones count less and less."""

from dataclasses import dataclass

DECAY = 0.98
"""Weight of a sample relative to the next one; about the last 50 count."""


@dataclass(slots=True)
class LineFit:
    """The weighted sums from which the line is computed; `x` must be 0 or more."""

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    x_squared: float = 0.0
    x_times_y: float = 0.0

    def add(self, x: float, y: float, weight: float = 1.0) -> None:
        """Add a sample."""
        self.weight = DECAY * self.weight + weight
        self.x = DECAY * self.x + weight * x
        self.y = DECAY * self.y + weight * y
        self.x_squared = DECAY * self.x_squared + weight * x * x
        self.x_times_y = DECAY * self.x_times_y + weight * x * y

    def slope(self) -> float:
        """Return the slope, 0 if it would be negative or is unknown."""
        mean_x = self.x / self.weight
        variance = self.x_squared / self.weight - mean_x * mean_x
        covariance = self.x_times_y / self.weight - mean_x * self.y / self.weight
        return max(covariance / variance, 0.0) if variance > 0 else 0.0

    def value(self, x: float) -> float:
        """Return the value of the line at `x`, 0 if it would be negative."""
        offset = x - self.x / self.weight
        return max(self.y / self.weight + self.slope() * offset, 0.0)


def create(*prior: tuple[float, float, float]) -> LineFit:
    """Return a line through a prior, given as samples `(x, y, weight)`."""
    line = LineFit()
    for x, y, weight in prior:
        line.add(x, y, weight)
    return line
