"""Reads and writes snapshots of the tables, which are kept in a stream of the log."""

import logging

import anyio
from result import Err, Ok, Result

from hickoryplank.core.snapshots import (
    Chunk,
    SnapshotId,
    SnapshotRejection,
    decode_chunk,
    encode_chunk,
    find_divergence,
    is_due,
    load_newest,
    split_into_chunks,
)
from hickoryplank.core.tables import Tables
from hickoryplank.external.errors import LogFailure, Trimmed
from hickoryplank.external.log import Log, Page
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.replica import Replica

__all__ = ["SNAPSHOT_STREAM", "SnapshotManager"]

logger = logging.getLogger(__name__)

SNAPSHOT_STREAM = "snapshots"
WINDOW_CHUNKS = 64
MAX_WINDOWS = 64
CHECK_INTERVAL_SECONDS = 5.0
ERROR_RETRY_DELAY_SECONDS = 0.2


class SnapshotManager:
    """Loads snapshots into a replica and writes snapshots of it."""

    def __init__(self, log: Log, replica: Replica, clock: Clock):
        self._log = log
        self._replica = replica
        self._clock = clock
        self._next_offset = 0
        self._newest_offset = 0
        self._newest_seen_at = clock.now()

    async def restore(self) -> bool:
        """Load the newest complete snapshot if it is newer than the replica."""
        while True:
            match await self._find_newest():
                case Ok(tables):
                    loaded = self._replica.load_snapshot(tables)
                    if loaded:
                        logger.info(
                            "snapshot loaded; the next offset to fold is %d",
                            tables.next_offset,
                        )
                    return loaded
                case Err(SnapshotRejection(detail)):
                    logger.info("no snapshot loaded: %s", detail)
                    return False
                case Err(failure):
                    logger.warning(
                        "reading snapshots failed, retrying: %s", failure.detail
                    )
                    await anyio.sleep(ERROR_RETRY_DELAY_SECONDS)

    async def _find_newest(self) -> Result[Tables, SnapshotRejection | LogFailure]:
        """Search backwards from the tail for the newest complete snapshot."""
        first, tail = 0, 0
        match await self._read(0, 1):
            case Ok(page):
                first, tail = page.first, page.tail
            case Err(failure):
                return Err(failure)
        self._next_offset = tail
        chunks: list[Chunk] = []
        found: Result[Tables, SnapshotRejection] = Err(
            SnapshotRejection("there is no snapshot")
        )
        end = tail
        for _ in range(MAX_WINDOWS):
            if end <= first or found.is_ok():
                break
            start = max(first, end - WINDOW_CHUNKS)
            match await self._read(start, end - start):
                case Ok(page):
                    chunks.extend(_chunks(page))
                case Err(failure):
                    return Err(failure)
            found = load_newest(chunks, self._replica.offset)
            end = start
        return found

    async def _read(self, start: int, limit: int) -> Result[Page, LogFailure]:
        """Read from ``start``, or from the oldest chunk if ``start`` is trimmed."""
        while True:
            match await self._log.read(SNAPSHOT_STREAM, start, limit, 0.0):
                case Err(Trimmed(first)):
                    start = first
                case Ok(page):
                    return Ok(page)
                case Err(failure):
                    return Err(failure)

    async def serve(self) -> None:
        """Check new snapshots, and write one when it is due, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            await self._check_new_chunks()
            if self._is_due():
                await self.write()

    async def recover(self) -> None:
        """Load a snapshot whenever the log is trimmed past the replica's offset."""
        while True:
            await self._replica.wait_until_trimmed()
            if not await self.restore():
                await anyio.sleep(CHECK_INTERVAL_SECONDS)

    async def _check_new_chunks(self) -> None:
        match await self._read(self._next_offset, WINDOW_CHUNKS):
            case Ok(page):
                for entry in page.entries:
                    self._next_offset = entry.offset + 1
                for chunk in _chunks(page):
                    self._note_snapshot(chunk.snapshot)

    def _note_snapshot(self, snapshot: SnapshotId) -> None:
        if snapshot.next_offset > self._newest_offset:
            self._newest_offset = snapshot.next_offset
            self._newest_seen_at = self._clock.now()
        divergence = find_divergence(self._replica.tables, snapshot)
        if divergence is not None:
            logger.error(
                "snapshot differs from the tables of this node: %s", divergence.detail
            )

    def _is_due(self) -> bool:
        incarnations = sorted(
            [*self._replica.other_incarnations(), self._replica.incarnation]
        )
        turn = incarnations.index(self._replica.incarnation)
        return is_due(
            self._replica.tables,
            self._newest_offset,
            self._newest_seen_at,
            self._clock.now(),
            turn,
        )

    async def write(self) -> None:
        """Append a snapshot of the current tables."""
        chunks = split_into_chunks(self._replica.tables, self._replica.incarnation)
        for chunk in chunks:
            appended = await self._log.append(SNAPSHOT_STREAM, encode_chunk(chunk))
            if appended.is_err():
                logger.warning(
                    "append of a snapshot chunk failed, snapshot incomplete: %s",
                    appended.unwrap_err(),
                )
                return
        self._note_snapshot(chunks[0].snapshot)
        logger.info("snapshot of %d chunks written", len(chunks))


def _chunks(page: Page) -> list[Chunk]:
    decoded = (decode_chunk(entry.data) for entry in page.entries)
    return [chunk.unwrap() for chunk in decoded if chunk.is_ok()]
