"""What a benchmark reports."""

import msgspec

__all__ = ["Figure"]


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """One measured value.

    :param target: what the value should not be worse than; ``None`` if none is set.
    :param baseline: the value that a simple policy gives on the same demand.
    """

    name: str
    value: float
    unit: str
    target: float | None = None
    baseline: float | None = None
