"""One measured figure."""

import msgspec


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """One measured figure, with its target and the simple policy's baseline."""

    name: str
    value: float
    unit: str
    target: float | None = None
    baseline: float | None = None
