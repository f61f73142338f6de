"""Measured values, their medians and slopes."""

import dataclasses
import statistics
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class Quantity:
    """What is measured and in which unit."""

    name: str
    unit: str


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """Values of several repetitions at one size."""

    size: int
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """Return the median of the repetitions."""
        return statistics.median(self.values)

    @property
    def spread(self) -> float:
        """Return the difference between highest and lowest value."""
        return max(self.values) - min(self.values)


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Straight line through the points, fitted for each repetition.

    Attributes:
        median: Median of the slopes, in units per item.
        lowest: Lowest slope of a repetition.
        highest: Highest slope of a repetition.
        base: Median of the values at size 0.
        residual: Largest distance of a point's median from the line, relative
            to the largest median. A high value means that the relation is not
            linear or that the points are noisy.
    """

    median: float
    lowest: float
    highest: float
    base: float
    residual: float


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """A quantity against a number of items.

    Attributes:
        quantity: What was measured.
        variable: The items that were varied.
        points: At least four sizes.
        not_covered: What the figure leaves out.
    """

    quantity: Quantity
    variable: str
    points: tuple[Point, ...]
    not_covered: str

    @property
    def slope(self) -> Slope:
        """Return the fitted line."""
        sizes = [point.size for point in self.points]
        fits = [
            statistics.linear_regression(sizes, row)
            for row in zip(*(point.values for point in self.points))
        ]
        slopes = [fit.slope for fit in fits]
        median = statistics.median(slopes)
        base = statistics.median(fit.intercept for fit in fits)
        distances = [
            abs(point.median - base - median * point.size)
            for point in self.points
        ]
        largest = max(abs(point.median) for point in self.points)
        return Slope(
            median,
            min(slopes),
            max(slopes),
            base,
            max(distances) / largest if largest else 0,
        )


Values = dict[Quantity, float]
Measure = abc.Callable[[int], Values]


def collect(
    variable: str,
    sizes: abc.Sequence[int],
    repetitions: int,
    measure: Measure,
    not_covered: str,
) -> tuple[Series, ...]:
    """Measure all sizes in turn, several times.

    A slow change of the machine's speed thus affects all sizes alike.
    """
    rows: dict[Quantity, dict[int, list[float]]] = {}
    for _ in range(repetitions):
        for size in sizes:
            _add_values(rows, size, measure(size))
    return tuple(
        Series(quantity, variable, _points(by_size), not_covered)
        for quantity, by_size in rows.items()
    )


def _add_values(
    rows: dict[Quantity, dict[int, list[float]]],
    size: int,
    values: Values,
) -> None:
    for quantity, number in values.items():
        rows.setdefault(quantity, {}).setdefault(size, []).append(number)


def _points(by_size: dict[int, list[float]]) -> tuple[Point, ...]:
    return tuple(
        Point(size, tuple(numbers)) for size, numbers in by_size.items()
    )
