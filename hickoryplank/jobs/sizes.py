"""Amounts of resources: CPU, memory and accelerators."""

import msgspec

__all__ = ["ZERO", "Size"]


class Size(msgspec.Struct, frozen=True, array_like=True):
    """An amount of each resource.

    :param cpu: thousandths of a core.
    :param mem_mb: memory, in MB.
    :param gpu: number of accelerators.
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def plus(self, other: "Size") -> "Size":
        """Return the sum of both amounts."""
        return Size(
            self.cpu + other.cpu, self.mem_mb + other.mem_mb, self.gpu + other.gpu
        )

    def minus(self, other: "Size") -> "Size":
        """Return the difference of both amounts, which may be negative."""
        return Size(
            self.cpu - other.cpu, self.mem_mb - other.mem_mb, self.gpu - other.gpu
        )

    def times(self, count: int) -> "Size":
        """Return ``count`` times the amount."""
        return Size(self.cpu * count, self.mem_mb * count, self.gpu * count)

    def scaled(self, factor: float) -> "Size":
        """Return ``factor`` times the amount, rounded down."""
        return Size(
            int(self.cpu * factor), int(self.mem_mb * factor), int(self.gpu * factor)
        )

    def maximum(self, other: "Size") -> "Size":
        """Return the maximum of both amounts for each resource."""
        return Size(
            max(self.cpu, other.cpu),
            max(self.mem_mb, other.mem_mb),
            max(self.gpu, other.gpu),
        )

    def fits(self, room: "Size") -> bool:
        """Return whether ``room`` has at least this amount of each resource."""
        return (
            self.cpu <= room.cpu and self.mem_mb <= room.mem_mb and self.gpu <= room.gpu
        )

    def without_cpu(self) -> "Size":
        """Return the amount with its CPU part set to 0."""
        return Size(0, self.mem_mb, self.gpu)

    def within_limit(self, limit: "Size") -> bool:
        """Return whether this is within ``limit``, in which 0 means no limit."""
        return all(
            not most or used <= most
            for used, most in (
                (self.cpu, limit.cpu),
                (self.mem_mb, limit.mem_mb),
                (self.gpu, limit.gpu),
            )
        )


ZERO = Size()
