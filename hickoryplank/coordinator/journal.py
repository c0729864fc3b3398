"""Fenced appends of the coordinator to the jobs topic."""

import logging

import anyio
import msgspec
from result import Err, Ok

from hickoryplank.coordinator.ports import (
    CallFault,
    CallFaultKind,
    Fence,
    StorePort,
    Topic,
)
from hickoryplank.jobs.records import Record

__all__ = ["Journal", "TermEnded"]

logger = logging.getLogger(__name__)

#: Wait before a failed append is repeated, in seconds.
RETRY_SECONDS = 0.05
#: Largest total size of the values in one append, in bytes. The platform accepts 2 MiB.
MAX_APPEND_BYTES = 1_000_000
#: One in this many failed attempts is logged, so that an outage does not flood the log.
LOG_EVERY_ATTEMPTS = 20


class TermEnded(Exception):
    """Raised when this entry is not, or no longer, the coordinator."""


class _Waiting(msgspec.Struct, eq=False):
    """Records that wait to be appended.

    :param done: the records have been appended, with others or alone.
    :param error: why the append that they were part of did not succeed.
    """

    records: list[Record]
    done: bool = False
    error: TermEnded | None = None


class Journal:
    """Appends records in order, and repeats each append until it succeeds.

    Records that wait while an append is in progress go together in the next one, so
    that on a slow store nobody waits for more than two.

    :param epoch: epoch of the term; a higher one fences off all appends.
    """

    def __init__(self, store: StorePort, epoch: int):
        self._store = store
        self._epoch = epoch
        self._sequence = 0
        self._append_lock = anyio.Lock()
        self._waiting: list[_Waiting] = []
        #: Whether the last attempt of an append failed.
        self.failing = False

    @property
    def appending(self) -> bool:
        """Whether an append is in progress."""
        return self._append_lock.locked()

    async def open(self) -> None:
        """Raise the epoch of the store, which fences off all lower epochs.

        :raises TermEnded: if the store has seen a higher epoch.
        """
        await self._append([])

    async def append(self, records: list[Record]) -> None:
        """Append records, in several appends if they are too large for one.

        :raises TermEnded: if the store has seen a higher epoch.
        """
        own = _Waiting(records)
        self._waiting.append(own)
        try:
            async with self._append_lock:
                if own.error is not None:
                    raise own.error
                if not own.done:
                    await self._append_waiting()
        finally:
            if own in self._waiting:
                self._waiting.remove(own)

    async def _append_waiting(self) -> None:
        group, self._waiting = self._waiting, []
        error = TermEnded("the task that appended the records was cancelled")
        try:
            await self._append_chunks([one for each in group for one in each.records])
        except TermEnded as exc:
            error = exc
            raise
        else:
            for each in group:
                each.done = True
        finally:
            for each in group:
                each.error = None if each.done else error

    async def _append_chunks(self, records: list[Record]) -> None:
        chunk: list[Record] = []
        size = 0
        for record in records:
            if chunk and size + len(record.value) > MAX_APPEND_BYTES:
                await self._append(chunk)
                chunk, size = [], 0
            chunk.append(record)
            size += len(record.value)
        if chunk:
            await self._append(chunk)

    async def _append(self, records: list[Record]) -> None:
        attempts = 0
        while True:
            fence = Fence(self._epoch, self._sequence)
            match await self._store.append(Topic.JOBS, records, fence):
                case Ok(_):
                    self._sequence += 1
                    self.failing = False
                    return
                case Err(CallFault(CallFaultKind.FENCED, detail)):
                    raise TermEnded(detail)
                case Err(fault):
                    self.failing = True
                    attempts += 1
                    if attempts % LOG_EVERY_ATTEMPTS == 1:
                        logger.warning(
                            "append repeated",
                            extra={"tries": attempts, "detail": fault.detail},
                        )
                    await anyio.sleep(RETRY_SECONDS)
