"""In-memory log service with fault injection."""

import time
from collections import defaultdict, deque
from collections.abc import Callable

import anyio
import msgspec
from result import Err, Ok, Result

from hickoryplank.external.errors import LogError, LogFailure, Trimmed
from hickoryplank.external.faults import LogFaults
from hickoryplank.external.log import Log, Page, StreamRecord

__all__ = ["MemoryLog"]

READ_TIMEOUT_SECONDS = 5.0

_OUTAGE = LogFailure(LogError.UNAVAILABLE, "outage (injected fault)")
_LOST = LogFailure(LogError.UNKNOWN, "response lost (injected fault)")


class _TimedRecord(msgspec.Struct, frozen=True):
    record: StreamRecord
    appended_at: float


class _Stream:
    """The retained records of one stream."""

    def __init__(self) -> None:
        self.records: deque[_TimedRecord] = deque()
        self.tail = 0
        self.changed = anyio.Event()

    @property
    def first(self) -> int:
        return self.records[0].record.offset if self.records else self.tail

    def append(self, data: bytes, now: float) -> int:
        offset = self.tail
        self.records.append(_TimedRecord(StreamRecord(offset, data), now))
        self.tail += 1
        self.notify_readers()
        return offset

    def page(self, start: int, limit: int) -> Page:
        skip = start - self.first
        stop = min(skip + limit, len(self.records))
        entries = tuple(self.records[i].record for i in range(skip, stop))
        return Page(entries, self.tail, self.first)

    def trim(self, faults: LogFaults, now: float) -> None:
        if faults.keep_records is not None:
            while len(self.records) > faults.keep_records:
                self.records.popleft()
        if faults.keep_seconds is not None:
            while (
                self.records and self.records[0].appended_at < now - faults.keep_seconds
            ):
                self.records.popleft()

    def notify_readers(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()


class MemoryLog(Log):
    """In-memory log service.

    :param timeout_seconds: injected delay at which a call times out.
    :param clock: clock for the retention of records, in seconds.
    :ivar appending: data of the appends that have arrived and not taken effect yet.
    """

    def __init__(
        self,
        timeout_seconds: float = READ_TIMEOUT_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.faults = LogFaults()
        self.appending: list[bytes] = []
        self._timeout_seconds = timeout_seconds
        self._clock = clock
        self._streams: defaultdict[str, _Stream] = defaultdict(_Stream)

    def set_faults(self, faults: LogFaults) -> None:
        """Replace the injected faults and wake up waiting readers."""
        self.faults = faults
        for stream in self._streams.values():
            stream.notify_readers()

    async def append(self, stream: str, data: bytes) -> Result[int, LogFailure]:
        """Append one record and return its offset."""
        self.appending.append(data)
        try:
            in_time = await self._inject_delay()
        finally:
            self.appending.remove(data)
        if self.faults.outage:
            return Err(_OUTAGE)
        offset = self._streams[stream].append(data, self._clock())
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Err(_LOST)
        return Ok(offset) if in_time else Err(_LOST)

    async def read(
        self, stream: str, start: int, limit: int, wait: float
    ) -> Result[Page, LogFailure | Trimmed]:
        """Return up to ``limit`` records from offset ``start`` on.

        :param wait: at the tail, how long to wait for new records, in seconds.
        """
        if not await self._inject_delay():
            return Err(LogFailure(LogError.UNAVAILABLE, "timed out (injected delay)"))
        records = self._streams[stream]
        with anyio.move_on_after(wait):
            while start >= records.tail and not self.faults.outage:
                await records.changed.wait()
        if self.faults.outage:
            return Err(_OUTAGE)
        records.trim(self.faults, self._clock())
        if start < records.first:
            return Err(Trimmed(records.first))
        return Ok(records.page(start, limit))

    async def _inject_delay(self) -> bool:
        slow = self.faults.slow_seconds
        await anyio.sleep(min(slow, self._timeout_seconds))
        return slow < self._timeout_seconds
