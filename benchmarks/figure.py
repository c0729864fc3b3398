"""Figure reported by a benchmark."""

import msgspec


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """One measured value of a benchmark.

    :param target: bound that the value has to keep, if there is one.
    :param baseline: value that a simple policy reaches, for comparison.
    """

    name: str
    value: float
    unit: str
    target: float | None = None
    baseline: float | None = None
