"""Series of measured values, with medians and linear fits."""

import dataclasses
import statistics
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class Quantity:
    """A measured quantity and its unit."""

    name: str
    unit: str


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """Values of all repetitions for one number of items."""

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
    """Linear regression over the points, one fit for each repetition.

    Attributes:
        median: Median of the slopes, in units per item.
        lowest: Lowest slope of all repetitions.
        highest: Highest slope of all repetitions.
        base: Median of the intercepts, the values at size 0.
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
    """Values of a quantity for several numbers of items.

    Attributes:
        quantity: Measured quantity.
        variable: Kind of the items whose number was varied.
        points: Values for each number of items, at least four.
        not_covered: Costs that the values don't include.
    """

    quantity: Quantity
    variable: str
    points: tuple[Point, ...]
    not_covered: str

    @property
    def slope(self) -> Slope:
        """Return the linear fit."""
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
    """Run `measure` for every size, `repetitions` times, and group by quantity.

    Each repetition goes through all sizes, so that a slow change of the
    machine's speed affects all sizes alike.
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
