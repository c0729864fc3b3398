"""Plot two measures of a benchmark against each other, with their Pareto frontier.

Figures are read as the JSON lines that ``python -m benchmarks`` prints. The name of a
figure consists of its measure, a comma and the settings of the benchmark.
"""

import argparse
import sys
from collections.abc import Iterable
from pathlib import Path

import matplotlib as mpl
import msgspec
from matplotlib.figure import Figure as Plot

from benchmarks.figure import Figure

SIZE_INCHES = (7.0, 5.0)
DOTS_PER_INCH = 150


class Point(msgspec.Struct, frozen=True):
    """Values of the two measures for one choice of settings."""

    settings: str
    x: float
    y: float


def points(figures: Iterable[Figure], x: str, y: str) -> list[Point]:
    """Return a point for each choice of settings that has both measures."""
    values: dict[str, dict[str, float]] = {}
    for figure in figures:
        measure, _, settings = figure.name.partition(", ")
        values.setdefault(settings, {})[measure] = figure.value
    return [
        Point(settings, found[x], found[y])
        for settings, found in values.items()
        if x in found and y in found
    ]


def frontier(found: Iterable[Point]) -> list[Point]:
    """Return the Pareto frontier: no other point is as low on both measures."""
    best: list[Point] = []
    for point in sorted(found, key=lambda p: (p.x, p.y)):
        if not best or point.y < best[-1].y:
            best.append(point)
    return best


def draw(found: list[Point], x: str, y: str, output: Path) -> None:
    """Write the plot of ``found`` to ``output``.

    :param x: label of the horizontal axis.
    :param y: label of the vertical axis.
    """
    mpl.use("agg")
    plot = Plot(SIZE_INCHES, DOTS_PER_INCH)
    axes = plot.subplots()
    axes.scatter([p.x for p in found], [p.y for p in found])
    line = frontier(found)
    axes.step([p.x for p in line], [p.y for p in line], where="post")
    for point in line:
        axes.annotate(point.settings, (point.x, point.y), fontsize="x-small")
    axes.set_xlabel(x)
    axes.set_ylabel(y)
    plot.savefig(output, bbox_inches="tight")


def main() -> None:
    """Plot the figures read from standard input."""
    parser = argparse.ArgumentParser(prog="benchmarks.plots", description=__doc__)
    parser.add_argument("x", help="measure on the horizontal axis")
    parser.add_argument("y", help="measure on the vertical axis")
    parser.add_argument("output", type=Path)
    args = parser.parse_args()
    figures = [msgspec.json.decode(line, type=Figure) for line in sys.stdin]
    found = points(figures, args.x, args.y)
    if not found:
        parser.error("no settings have both measures")
    draw(found, args.x, args.y, args.output)


if __name__ == "__main__":
    main()
