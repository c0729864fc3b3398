"""The platform's log service: append-only streams with offsets."""

from abc import ABC, abstractmethod

import msgspec
from result import Result

from hickoryplank.external.errors import LogFailure, Trimmed

__all__ = ["StreamRecord", "Log", "Page"]


class StreamRecord(msgspec.Struct, frozen=True):
    """One record of a stream."""

    offset: int
    data: bytes


class Page(msgspec.Struct, frozen=True):
    """Records read from a stream.

    :param tail: the offset that the next append will get, as of this read.
    :param first: the oldest offset that is still kept.
    """

    entries: tuple[StreamRecord, ...]
    tail: int
    first: int


class Log(ABC):
    """A client of the log service."""

    @abstractmethod
    async def append(self, stream: str, data: bytes) -> Result[int, LogFailure]:
        """Append one record and return its offset."""

    @abstractmethod
    async def read(
        self, stream: str, start: int, limit: int, wait: float
    ) -> Result[Page, LogFailure | Trimmed]:
        """Read from ``start``; at the tail, wait up to ``wait`` seconds for more."""
