"""Least-squares lines through measurements of a cost at several sizes."""

import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from statistics import correlation, linear_regression

from benchmarks.figure import Figure

__all__ = ["LinearFit", "fit_line", "shortest_time"]


def shortest_time(runs: int, function: Callable[[], object]) -> float:
    """Return the shortest time of ``runs`` runs of ``function``, in seconds."""
    times = []
    for _ in range(runs):
        begin = time.perf_counter()
        function()
        times.append(time.perf_counter() - begin)
    return min(times)


@dataclass(frozen=True)
class LinearFit:
    """Line fitted to the measurements of a value at several sizes.

    :param unit: unit of the measured value.
    :param size_unit: what one unit of the size stands for, in the singular, such as
        "VM".
    """

    name: str
    unit: str
    size_unit: str
    intercept: float
    slope: float
    r_squared: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at ``size``."""
        return self.intercept + self.slope * size

    def figures(self, size: float, target: float | None = None) -> Iterator[Figure]:
        """Yield the parameters of the line and its value at ``size``.

        :param target: bound on the value at ``size``, if there is one.
        """
        yield Figure(
            name=f"{self.name}, intercept", value=self.intercept, unit=self.unit
        )
        yield Figure(
            name=f"{self.name}, slope",
            value=self.slope,
            unit=f"{self.unit} per {self.size_unit}",
        )
        yield Figure(name=f"{self.name}, R squared", value=self.r_squared, unit="1")
        yield Figure(
            name=f"{self.name}, at {size:g} {self.size_unit}s",
            value=self.value_at(size),
            unit=self.unit,
            target=target,
        )


def fit_line(
    name: str,
    unit: str,
    size_unit: str,
    sizes: Sequence[float],
    values: Sequence[float],
) -> LinearFit:
    """Return the least-squares line through ``values`` measured at ``sizes``."""
    line = linear_regression(sizes, values)
    flat = max(values) == min(values)
    r_squared = 1.0 if flat else correlation(sizes, values) ** 2
    return LinearFit(name, unit, size_unit, line.intercept, line.slope, r_squared)
