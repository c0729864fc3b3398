"""Fenced appends of the coordinator to the jobs topic."""

import logging
from itertools import groupby

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
from hickoryplank.jobs.records import Record, StoreBounds, group_of_key

__all__ = ["Journal", "TermEnded"]

logger = logging.getLogger(__name__)

#: Wait before a failed append is repeated, in seconds.
RETRY_SECONDS = 0.05
#: Largest total size of the records in one append, in bytes; less if the platform
#: accepts less.
MAX_APPEND_BYTES = 1_000_000
#: Bytes of a record in addition to its key and value.
RECORD_OVERHEAD_BYTES = 5
#: One in this many failed attempts is logged, so that an outage does not flood the log.
LOG_EVERY_ATTEMPTS = 20


class TermEnded(Exception):
    """Raised when this entry is not, or no longer, the coordinator."""


class _Waiting(msgspec.Struct, eq=False):
    """Records that wait to be appended.

    :param done: the records have been appended, with others or alone.
    :param refused: groups of records that the store refuses for good.
    :param error: why the append that they were part of did not succeed.
    """

    records: list[Record]
    done: bool = False
    refused: frozenset[str] = frozenset()
    error: TermEnded | None = None


class Journal:
    """Appends records in order, and repeats each append until it succeeds.

    Records that wait while an append is in progress go together in the next one, so
    that on a slow store nobody waits for more than two. Records that the store refuses
    for good are left out, with all that follow of the same job; others are appended.

    :param epoch: epoch of the term; a higher one fences off all appends.
    :param bounds: bounds of the store.
    """

    def __init__(self, store: StorePort, epoch: int, bounds: StoreBounds | None = None):
        self._store = store
        self._epoch = epoch
        self._max_bytes = MAX_APPEND_BYTES
        if bounds is not None:
            self._max_bytes = min(MAX_APPEND_BYTES, bounds.call_bytes)
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

    async def append(self, records: list[Record]) -> frozenset[str]:
        """Append records, in several appends if they are too large for one.

        :return: keys of the records that the store refuses for good, and of the others
            of the same jobs, of which some may have been appended.
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
        return frozenset(
            one.key for one in records if group_of_key(one.key) in own.refused
        )

    async def _append_waiting(self) -> None:
        group, self._waiting = self._waiting, []
        error = TermEnded("the task that appended the records was cancelled")
        try:
            refused = await self._append_chunks(
                [one for each in group for one in each.records]
            )
        except TermEnded as exc:
            error = exc
            raise
        else:
            for each in group:
                each.done = True
                each.refused = refused
        finally:
            for each in group:
                each.error = None if each.done else error

    async def _append_chunks(self, records: list[Record]) -> frozenset[str]:
        refused: set[str] = set()
        for chunk in _split_into_chunks(records, self._max_bytes):
            rest = [one for one in chunk if group_of_key(one.key) not in refused]
            if rest:
                refused |= await self._append_accepted(rest)
        return frozenset(refused)

    async def _append_accepted(self, records: list[Record]) -> set[str]:
        """Append records but for groups that are refused; return these groups.

        The rest is appended in halves until the groups at fault are alone.
        """
        detail = await self._append(records)
        if detail is None:
            return set()
        groups = list(dict.fromkeys(group_of_key(one.key) for one in records))
        if len(groups) == 1:
            largest = max(records, key=_record_bytes)
            logger.error(
                "records refused by the store",
                extra={
                    "key": largest.key,
                    "bytes": _record_bytes(largest),
                    "records": len(records),
                    "detail": detail,
                },
            )
            return set(groups)
        first_groups = set(groups[: len(groups) // 2])
        halves: tuple[list[Record], list[Record]] = ([], [])
        for one in records:
            halves[group_of_key(one.key) not in first_groups].append(one)
        refused = await self._append_accepted(halves[0])
        return refused | await self._append_accepted(halves[1])

    async def _append(self, records: list[Record]) -> str | None:
        """Append records at once; return why they are refused for good, if they are."""
        attempts = 0
        while True:
            fence = Fence(self._epoch, self._sequence)
            match await self._store.append(Topic.JOBS, records, fence):
                case Ok(_):
                    self._sequence += 1
                    self.failing = False
                    return None
                case Err(CallFault(CallFaultKind.FENCED, detail)):
                    raise TermEnded(detail)
                case Err(CallFault(CallFaultKind.REFUSED, detail)) if records:
                    self.failing = False
                    return detail
                case Err(fault):
                    self.failing = True
                    attempts += 1
                    if attempts % LOG_EVERY_ATTEMPTS == 1:
                        logger.warning(
                            "append repeated",
                            extra={"tries": attempts, "detail": fault.detail},
                        )
                    await anyio.sleep(RETRY_SECONDS)


def _record_bytes(record: Record) -> int:
    """Return the size of a record in an append, in bytes."""
    return RECORD_OVERHEAD_BYTES + len(record.key.encode()) + len(record.value)


def _split_into_chunks(records: list[Record], max_bytes: int) -> list[list[Record]]:
    """Return the records in chunks of one append each, in order.

    Records of a job that follow each other stay together if one append can hold them.
    """
    chunks: list[list[Record]] = [[]]
    size = 0
    for _, members in groupby(records, key=lambda one: group_of_key(one.key)):
        group = list(members)
        if chunks[-1] and size + sum(map(_record_bytes, group)) > max_bytes:
            chunks.append([])
            size = 0
        for one in group:
            one_bytes = _record_bytes(one)
            if chunks[-1] and size + one_bytes > max_bytes:
                chunks.append([])
                size = 0
            chunks[-1].append(one)
            size += one_bytes
    return [chunk for chunk in chunks if chunk]
