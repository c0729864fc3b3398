"""Least-squares lines through measurements of a cost at several sizes."""

import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from statistics import correlation, linear_regression

from benchmarks.figure import Figure

__all__ = ["Fit", "best_of", "fit"]


def best_of(runs: int, work: Callable[[], object]) -> float:
    """Return the shortest time of ``runs`` runs of ``work``, in seconds."""
    times = []
    for _ in range(runs):
        begin = time.perf_counter()
        work()
        times.append(time.perf_counter() - begin)
    return min(times)


@dataclass(frozen=True)
class Fit:
    """Line fitted to the measurements of a value at several sizes.

    :param unit: unit of the measured value.
    :param per: what one unit of the size stands for, in the singular, such as "VM".
    """

    name: str
    unit: str
    per: str
    intercept: float
    slope: float
    r_squared: float

    def at(self, size: float) -> float:
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
            unit=f"{self.unit} per {self.per}",
        )
        yield Figure(name=f"{self.name}, R squared", value=self.r_squared, unit="1")
        yield Figure(
            name=f"{self.name}, at {size:g} {self.per}s",
            value=self.at(size),
            unit=self.unit,
            target=target,
        )


def fit(
    name: str, unit: str, per: str, sizes: Sequence[float], values: Sequence[float]
) -> Fit:
    """Return the least-squares line through ``values`` measured at ``sizes``."""
    line = linear_regression(sizes, values)
    flat = max(values) == min(values)
    r_squared = 1.0 if flat else correlation(sizes, values) ** 2
    return Fit(name, unit, per, line.intercept, line.slope, r_squared)
