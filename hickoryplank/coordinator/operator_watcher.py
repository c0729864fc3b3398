"""Follows the configuration and the maintenance waves that operators store."""

import logging

import anyio
from result import Err, Ok

from hickoryplank.coordinator.ports import (
    CallFault,
    CallFaultKind,
    OperatorRecordCodec,
    StorePort,
    Topic,
    WaveOrder,
)
from hickoryplank.core.ids import WaveId
from hickoryplank.jobs.configuration import Configuration
from hickoryplank.jobs.records import Record
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.dependency_monitor import DependencyMonitor

__all__ = ["OperatorWatcher"]

logger = logging.getLogger(__name__)

#: Long-poll timeout of a read, in milliseconds. While nothing changes, the staleness is
#: reset at this interval.
LONG_POLL_MS = 500
#: Wait before a failed read is repeated, in seconds.
RETRY_SECONDS = 0.1


class OperatorWatcher:
    """Keeps the newest configuration and waves, and tracks their staleness.

    :ivar waves: the requested waves by id.
    :ivar wave_seen_at: when each wave was first read, by the clock.
    :ivar changed: set at the next change, and then replaced by a new event.
    """

    def __init__(self, store: StorePort, codec: OperatorRecordCodec, clock: Clock):
        self._store = store
        self._codec = codec
        self._clock = clock
        self._next_offset: int | None = None
        self._fresh_since: float | None = None
        self._availability = DependencyMonitor("configuration", clock)
        self.configuration: Configuration | None = None
        self.waves: dict[WaveId, WaveOrder] = {}
        self.wave_seen_at: dict[WaveId, float] = {}
        self.changed = anyio.Event()

    def staleness(self) -> float:
        """Return for how long a change may have gone unnoticed, in seconds."""
        if self._fresh_since is None:
            return float("inf")
        return self._clock.now() - self._fresh_since

    @property
    def version(self) -> int:
        """Version of the configuration; 0 if none has been read."""
        return self.configuration.version if self.configuration is not None else 0

    async def run(self) -> None:
        """Follow the records until cancelled."""
        while True:
            if not await self._read(LONG_POLL_MS):
                await anyio.sleep(RETRY_SECONDS)

    async def refresh(self) -> None:
        """Read until the configuration is at least as new as this call."""
        started_at = self._clock.now()
        while self._fresh_since is None or self._fresh_since < started_at:
            if not await self._read_newest():
                await anyio.sleep(RETRY_SECONDS)

    async def _read(self, wait_ms: int) -> bool:
        if self._next_offset is None:
            return await self._read_newest()
        sent_at = self._clock.now()
        match await self._store.read(Topic.OPERATOR, self._next_offset, wait_ms):
            case Ok(page):
                self._apply_records(page.records)
                self._next_offset = max(self._next_offset, page.next)
                if page.next >= page.end:
                    self._mark_fresh(sent_at)
                return True
            case Err(CallFault(CallFaultKind.TRIMMED, _)):
                return await self._read_newest()
            case Err(fault):
                self._availability.note_failure(fault.detail)
                return False
        return False

    async def _read_newest(self) -> bool:
        sent_at = self._clock.now()
        match await self._store.newest(Topic.OPERATOR):
            case Ok(newest):
                self._apply_records(newest.records)
                self._next_offset = max(self._next_offset or 0, newest.end)
                self._mark_fresh(sent_at)
                return True
            case Err(fault):
                self._availability.note_failure(fault.detail)
                return False
        return False

    def _mark_fresh(self, sent_at: float) -> None:
        self._availability.note_answer()
        self._fresh_since = max(self._fresh_since or 0.0, sent_at)

    def _apply_records(self, records: tuple[Record, ...]) -> None:
        for record in records:
            match self._codec.decode(record):
                case Configuration() as configuration if (
                    configuration.version > self.version
                ):
                    self._set_configuration(configuration)
                case WaveOrder() as wave:
                    self.waves[wave.id] = wave
                    self.wave_seen_at.setdefault(wave.id, self._clock.now())
                    self._notify()

    def _set_configuration(self, configuration: Configuration) -> None:
        logger.info(
            "configuration in force",
            extra={"version": configuration.version, "before": self.version},
        )
        self.configuration = configuration
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
