"""Follows what operators store: configuration, waves and evacuated zones."""

import logging

import anyio
from result import Err, Ok

from hickoryplank.coordinator.ports import (
    CallFault,
    CallFaultKind,
    Newest,
    OperatorRecord,
    OperatorRecordCodec,
    Page,
    StorePort,
    Topic,
    WaveOrder,
    ZoneEvacuation,
)
from hickoryplank.core.ids import WaveId, Zone
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
    """Keeps what operators have stored last, and tracks its staleness.

    While the store can't be read, all of it stays as it was last read.

    :ivar waves: the requested waves by id.
    :ivar wave_seen_at: when each wave was first read, by the clock.
    :ivar evacuated_zones: zones in which nothing may be started.
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
        self.evacuated_zones: frozenset[Zone] = frozenset()
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
                self._apply_page(page)
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
                self._apply_newest(newest)
                self._mark_fresh(sent_at)
                return True
            case Err(fault):
                self._availability.note_failure(fault.detail)
                return False
        return False

    def _mark_fresh(self, sent_at: float) -> None:
        self._availability.note_answer()
        self._fresh_since = max(self._fresh_since or 0.0, sent_at)

    def _apply_page(self, page: Page) -> None:
        decoded = self._decode(page.records)
        self._apply_configuration_and_waves(decoded)
        if self._is_outdated(page.next):
            return
        self._next_offset = page.next
        zones = set(self.evacuated_zones)
        for one in decoded:
            if isinstance(one, ZoneEvacuation):
                zones.add(one.zone) if one.requested else zones.discard(one.zone)
        self._set_evacuated_zones(frozenset(zones))

    def _apply_newest(self, newest: Newest) -> None:
        """Apply the newest record of each key; a zone without one isn't evacuated.

        The removal of a request leaves no trace once the history has been deleted.
        """
        decoded = self._decode(newest.records)
        self._apply_configuration_and_waves(decoded)
        if self._is_outdated(newest.end):
            return
        self._next_offset = newest.end
        self._set_evacuated_zones(
            frozenset(
                one.zone
                for one in decoded
                if isinstance(one, ZoneEvacuation) and one.requested
            )
        )

    def _is_outdated(self, end: int) -> bool:
        """Return whether records after ``end`` have been applied already.

        A term that begins reads while the long poll of ``run`` is under way, and their
        answers may arrive in either order. Versions and waves only ever grow; a request
        to evacuate a zone comes and goes.
        """
        return self._next_offset is not None and end < self._next_offset

    def _decode(self, records: tuple[Record, ...]) -> list[OperatorRecord]:
        decoded = map(self._codec.decode, records)
        return [one for one in decoded if one is not None]

    def _apply_configuration_and_waves(self, decoded: list[OperatorRecord]) -> None:
        for one in decoded:
            match one:
                case Configuration() as configuration if (
                    configuration.version > self.version
                ):
                    self._set_configuration(configuration)
                case WaveOrder() as wave:
                    self.waves[wave.id] = wave
                    self.wave_seen_at.setdefault(wave.id, self._clock.now())
                    self._notify()

    def _set_evacuated_zones(self, zones: frozenset[Zone]) -> None:
        for zone in sorted(zones ^ self.evacuated_zones):
            logger.info(
                "zone evacuated" if zone in zones else "zone taken back",
                extra={
                    "zone": zone,
                    "evacuated": sorted(zones),
                    "unread_s": round(self.staleness(), 3)
                    if self._fresh_since is not None
                    else None,
                },
            )
        if zones != self.evacuated_zones:
            self.evacuated_zones = zones
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
