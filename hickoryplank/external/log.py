"""Interface to the platform's log service: append-only streams with offsets."""

from abc import ABC, abstractmethod

import msgspec
from result import Result

from hickoryplank.external.errors import LogFailure, Trimmed

__all__ = ["StreamRecord", "Log", "Page"]


class StreamRecord(msgspec.Struct, frozen=True):
    """A record of a stream and its offset."""

    offset: int
    data: bytes


class Page(msgspec.Struct, frozen=True):
    """Consecutive records read from a stream.

    :param tail: offset of the next append, as of this read.
    :param first: oldest offset that is retained.
    """

    entries: tuple[StreamRecord, ...]
    tail: int
    first: int


class Log(ABC):
    """Client of the log service."""

    @abstractmethod
    async def append(self, stream: str, data: bytes) -> Result[int, LogFailure]:
        """Append one record and return its offset."""

    @abstractmethod
    async def read(
        self, stream: str, start: int, limit: int, wait: float
    ) -> Result[Page, LogFailure | Trimmed]:
        """Return up to ``limit`` records from offset ``start`` on.

        :param wait: at the tail, how long to wait for new records, in seconds.
        """
