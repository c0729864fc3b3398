"""The coordinator's fenced appends to the jobs' topic."""

import logging

import anyio
from result import Err, Ok

from hickoryplank.coordinator.ports import (
    CallFault,
    CallFaultKind,
    Fence,
    StorePort,
    Topic,
)
from hickoryplank.jobs.records import Record

__all__ = ["Deposed", "Journal"]

logger = logging.getLogger(__name__)

#: Wait before an append is repeated, in seconds.
RETRY_SECONDS = 0.05
#: Largest sum of the values of one append, in bytes; the platform takes 2 MiB.
MAX_APPEND_BYTES = 1_000_000
#: Log every so many failed tries, so that an outage doesn't flood the log.
LOG_EVERY = 20


class Deposed(Exception):
    """Another entry has become coordinator."""


class Journal:
    """Appends in order, each repeated until it is done or another epoch rules."""

    def __init__(self, store: StorePort, epoch: int):
        self._store = store
        self._epoch = epoch
        self._sequence = 0
        self._turn = anyio.Lock()
        #: Whether the last try of an append failed.
        self.failing = False

    @property
    def busy(self) -> bool:
        """Whether an append is under way."""
        return self._turn.locked()

    async def open(self) -> None:
        """Raise the epoch; older ones can append nothing from then on.

        :raises Deposed: a higher epoch rules.
        """
        await self._append([])

    async def append(self, records: list[Record]) -> None:
        """Add records; they are split if they are too large for one append.

        :raises Deposed: a higher epoch rules.
        """
        async with self._turn:
            await self._append_chunks(records)

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
        tries = 0
        while True:
            fence = Fence(self._epoch, self._sequence)
            match await self._store.append(Topic.JOBS, records, fence):
                case Ok(_):
                    self._sequence += 1
                    self.failing = False
                    return
                case Err(CallFault(CallFaultKind.FENCED, detail)):
                    raise Deposed(detail)
                case Err(fault):
                    self.failing = True
                    tries += 1
                    if tries % LOG_EVERY == 1:
                        logger.warning(
                            "append repeated",
                            extra={"tries": tries, "detail": fault.detail},
                        )
                    await anyio.sleep(RETRY_SECONDS)
