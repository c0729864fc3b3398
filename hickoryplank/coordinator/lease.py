"""The lease of the coordinator: a record in the store, written conditionally."""

import logging
import secrets

import anyio
import msgspec
from result import Err, Ok, Result

from hickoryplank.coordinator.ports import (
    Appended,
    CallFault,
    CallFaultKind,
    Condition,
    StorePort,
    Topic,
)
from hickoryplank.coordinator.speed import SpeedMonitor
from hickoryplank.jobs.endpoints import TOKENS_PER_TERM
from hickoryplank.jobs.records import Record
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.dependency_monitor import DependencyMonitor

__all__ = ["Holder", "LeaseManager", "LeaseRecord"]

logger = logging.getLogger(__name__)

#: Time between two renewals, in seconds. Four fit into the validity, so that two lost
#: answers do not end it.
RENEW_INTERVAL_SECONDS = 0.2
#: How long the lease is valid for its holder after the last renewal was sent, in
#: seconds. It covers the timeout of a renewal, another attempt, and a margin.
VALIDITY_SECONDS = 0.8
#: How long other entries wait after the last renewal that they read before they take
#: over, in seconds. It exceeds the validity, as clock rates may differ by some percent.
TAKEOVER_SECONDS = 0.95
#: Long-poll timeout of a read of the lease, in milliseconds. An answer without records
#: proves that there was no renewal.
LONG_POLL_MS = 300
#: Wait after a failed call to the store, in seconds.
RETRY_SECONDS = 0.1
#: Largest random delay before an attempt to take the lease, in seconds: two appends.
#: It spreads the attempts of several candidates.
MAX_JITTER_SECONDS = 0.02
#: Largest delay by age of the entry before it takes a free lease, in seconds: some
#: appends. In a rolling restart it favours entries that have been restarted already.
MAX_AGE_DELAY_SECONDS = 0.08
#: Age of an entry at which it waits for half of that delay, in seconds: a few steps of
#: a rolling restart.
HALF_AGE_DELAY_AT_SECONDS = 10.0
#: Delay before an entry of strength 0 takes a free lease, in seconds. It covers a read
#: of the lease and an append by a stronger entry.
MAX_WEAKNESS_DELAY_SECONDS = 0.45
#: A holder with less than this fraction of an entry's own strength is asked to step
#: down.
WEAK_HOLDER_FRACTION = 0.5
#: How long a weaker holder keeps the lease before it is asked to step down, in seconds.
#: It covers the restoring of the engine, and the work on the backlog from before the
#: term.
MIN_WEAK_TERM_SECONDS = 2.0

#: How long a release is retried, in seconds. Other entries take over without a release
#: shortly after that time.
RELEASE_TIMEOUT_SECONDS = 1.2
#: Time after a change of the holder, or the start of an entry, within which a
#: coordinator is expected to serve, in seconds. It is three times the usual duration of
#: restoring the engine.
HANDOVER_SECONDS = 1.0

_LEASE_KEY = "lease"


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """The lease as stored.

    :param epoch: increases with each change of the holder; it serves as the epoch of
        appends and as the fencing token of orders for VMs, and is the highest fencing
        token of requests to endpoints.
    :param holder: name of the incarnation of an entry that holds the lease.
    :param address: address at which peers reach the holder.
    :param released: whether the holder has released the lease.
    :param strength: fraction of a coordinator's needs that the VM of the holder met
        at the last renewal, from 0 to 1.
    :param step_down_requested_by: name of a stronger entry that asks the holder to
        step down; empty for none.
    """

    epoch: int
    holder: str
    address: str
    released: bool = False
    strength: float = 1.0
    step_down_requested_by: str = ""


class Holder(msgspec.Struct, frozen=True):
    """One incarnation of an entry, as a candidate for the lease.

    :param name: name of the incarnation.
    :param address: address at which peers reach the entry.
    :param strength: fraction of a coordinator's needs that its VM meets, from 0 to 1.
    """

    name: str
    address: str
    strength: float = 1.0

    @classmethod
    def fresh(cls, entry: str, address: str, strength: float = 1.0) -> "Holder":
        """Return a holder whose name is unique to this incarnation of the entry.

        :param entry: name of the entry.
        """
        return cls(f"{entry}/{secrets.token_hex(4)}", address, strength)


class LeaseManager:
    """Follows the lease, takes it over when it is free, and renews it.

    :param candidate: this incarnation of this entry.
    :param speed: measures the speed of this VM.
    :param started_at: when the entry started, by ``clock``; now by default.
    :ivar newest_record: the newest lease that has been read or written.
    :ivar changed: set when the holder changes, releases or loses the lease, or is asked
        to step down, and then replaced by a new event.
    :ivar stopping: whether this entry must not take over the lease any more.
    """

    def __init__(
        self,
        store: StorePort,
        candidate: Holder,
        clock: Clock,
        started_at: float | None = None,
        speed: SpeedMonitor | None = None,
    ):
        self._store = store
        self._started_at = clock.now() if started_at is None else started_at
        self._candidate = candidate
        self._clock = clock
        self._end_offset: int | None = None
        self._last_record_at = clock.now()
        self._renewed_at = 0.0
        self._jitter_s = secrets.randbelow(1000) / 1000 * MAX_JITTER_SECONDS
        self._speed = speed or SpeedMonitor(clock)
        self._holder_since = clock.now()
        self._holder_unreachable = False
        self._marked_lost = False
        self._availability = DependencyMonitor("lease", clock)
        #: Serializes writes: a renewal in progress must not overwrite a release, or
        #: make it fail.
        self._write_lock = anyio.Lock()
        self.newest_record: LeaseRecord | None = None
        self.changed = anyio.Event()
        self.stopping = False

    @property
    def _strength(self) -> float:
        return self._candidate.strength * self._speed.relative_speed()

    @property
    def epoch(self) -> int:
        """Epoch of the newest lease that has been read; 0 for none."""
        return self.newest_record.epoch if self.newest_record is not None else 0

    @property
    def held(self) -> bool:
        """Whether the newest lease belongs to this entry, whether valid or not."""
        return (
            self.newest_record is not None
            and self.newest_record.holder == self._candidate.name
            and not self.newest_record.released
            and not self._marked_lost
        )

    def valid(self) -> bool:
        """Return whether this entry holds the lease and no other one can."""
        return self.held and self._clock.now() - self._renewed_at < VALIDITY_SECONDS

    def renewal_age(self) -> float:
        """Return the time since the last successful renewal was sent, in seconds."""
        return self._clock.now() - self._renewed_at

    @property
    def step_down_requested(self) -> bool:
        """Whether this entry holds the lease and a stronger one asks for it."""
        return (
            self.held
            and self.newest_record is not None
            and bool(self.newest_record.step_down_requested_by)
        )

    @property
    def store_answers(self) -> bool:
        """Whether the store answered the last call about the lease."""
        return self._availability.available

    def handover_expected(self) -> bool:
        """Return whether a coordinator is expected to serve within a second.

        That is so if the store answers, and the holder of the lease is about to change
        or has just changed.
        """
        now = self._clock.now()
        if not self._availability.available:
            return False
        if now - self._holder_since < HANDOVER_SECONDS:
            return True
        if (
            self.newest_record is None
            or self.newest_record.released
            or self._holder_unreachable
        ):
            return True
        return not self.held and now - self._last_record_at > TAKEOVER_SECONDS / 2

    @property
    def coordinator_address(self) -> str | None:
        """Address of the coordinator; none if there is none, or if it is this entry."""
        if self.newest_record is None or self.newest_record.released or self.held:
            return None
        return self.newest_record.address

    def mark_holder_unreachable(self) -> None:
        """Record that the holder did not accept a connection."""
        self._holder_unreachable = True

    async def run(self) -> None:
        """Follow, take over and renew the lease until cancelled."""
        while True:
            if self.held:
                await self._renew()
            else:
                await self._watch()

    async def stop(self) -> None:
        """Release the lease, and do not take it over again."""
        self.stopping = True
        await self.release()

    async def release(self) -> None:
        """Release the lease, so that another entry can take it over at once."""
        deadline = self._clock.now() + RELEASE_TIMEOUT_SECONDS
        async with self._write_lock:
            while self.held and self._clock.now() < deadline:
                if not await self._write(self._lease_record(self.epoch, released=True)):
                    await anyio.sleep(RETRY_SECONDS)

    def _lease_record(self, epoch: int, *, released: bool = False) -> LeaseRecord:
        candidate = self._candidate
        return LeaseRecord(
            epoch, candidate.name, candidate.address, released, self._strength
        )

    def mark_lost(self) -> None:
        """Treat the lease as lost after a sign that another entry has taken it."""
        self._marked_lost = True
        self._end_offset = None
        self._notify()

    # Watching

    async def _watch(self) -> None:
        if self._end_offset is None:
            if not await self._read_newest():
                await anyio.sleep(RETRY_SECONDS)
            return
        if self._is_free() and not self.stopping:
            if await self._delay_takeover():
                await self._take_over()
            return
        if self._should_request_step_down() and not self.stopping:
            await self._request_step_down()
        match await self._store.read(Topic.LEASE, self._end_offset, LONG_POLL_MS):
            case Ok(page):
                self._availability.note_answer()
                self._follow(page.next, page.records)
            case Err(CallFault(CallFaultKind.TRIMMED, _)):
                self._end_offset = None
            case Err(fault):
                # Without an answer it is unknown whether the holder renews the lease.
                self._last_record_at = max(
                    self._last_record_at, self._clock.now() - TAKEOVER_SECONDS / 2
                )
                self._availability.note_failure(fault.detail)
                await anyio.sleep(RETRY_SECONDS)

    async def _delay_takeover(self) -> bool:
        """Wait in favour of stronger entries and of those that started later.

        :return: whether no other entry has taken over the lease meanwhile.
        """
        age_s = self._clock.now() - self._started_at
        age_delay_s = (
            MAX_AGE_DELAY_SECONDS * age_s / (age_s + HALF_AGE_DELAY_AT_SECONDS)
        )
        weakness_delay_s = (1.0 - self._strength) * MAX_WEAKNESS_DELAY_SECONDS
        await anyio.sleep(self._jitter_s + age_delay_s + weakness_delay_s)
        if self._end_offset is None:
            # A former term of this entry has ended meanwhile.
            return False
        if not weakness_delay_s:
            return True
        match await self._store.read(Topic.LEASE, self._end_offset, 0):
            case Ok(page) if page.records:
                self._follow(page.next, page.records)
                return False
        return self._end_offset is not None

    def _should_request_step_down(self) -> bool:
        """Return whether this entry should ask a weaker holder to step down."""
        lease = self.newest_record
        if lease is None or lease.released or lease.step_down_requested_by:
            return False
        if self._clock.now() - self._holder_since <= MIN_WEAK_TERM_SECONDS:
            return False
        if lease.strength >= self._candidate.strength * WEAK_HOLDER_FRACTION:
            return False
        # The holder may have noticed first that all VMs have turned slow.
        self._speed.measure_anew()
        return lease.strength < self._strength * WEAK_HOLDER_FRACTION

    async def _request_step_down(self) -> None:
        """Ask the holder, in the record of the lease, to step down."""
        assert self._end_offset is not None
        assert self.newest_record is not None
        requested = msgspec.structs.replace(
            self.newest_record, step_down_requested_by=self._candidate.name
        )
        done = await self._append(requested, self._end_offset)
        logger.info(
            "weaker coordinator asked to step down",
            extra={
                "number": requested.epoch,
                "holder": requested.holder,
                "strength": requested.strength,
                "asked": done.is_ok(),
            },
        )

    async def _read_newest(self) -> bool:
        match await self._store.newest(Topic.LEASE):
            case Ok(newest):
                self._availability.note_answer()
                self._follow(newest.end, newest.records)
                return True
            case Err(fault):
                self._availability.note_failure(fault.detail)
                return False

    def _follow(self, end: int, records: tuple[Record, ...]) -> None:
        self._end_offset = end
        for record in records:
            self._apply_record(record)

    def _apply_record(self, record: Record) -> None:
        if record.key != _LEASE_KEY:
            return
        try:
            lease = msgspec.msgpack.decode(record.value, type=LeaseRecord)
        except msgspec.MsgspecError as exc:
            logger.error("malformed lease record ignored", extra={"detail": str(exc)})
            return
        self._update(lease)
        self._last_record_at = self._clock.now()
        self._holder_unreachable = False

    def _update(self, lease: LeaseRecord) -> None:
        before, self.newest_record = self.newest_record, lease
        if before is None or lease.epoch > before.epoch:
            self._marked_lost = False
            self._holder_since = self._clock.now()
        if lease.step_down_requested_by and lease.holder == self._candidate.name:
            self._notify()
        if before is not None and (before.holder, before.released) == (
            lease.holder,
            lease.released,
        ):
            return
        logger.info(
            "coordinator changed",
            extra={
                "number": lease.epoch,
                "holder": lease.holder,
                "released": lease.released,
                "strength": lease.strength,
            },
        )
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def _is_free(self) -> bool:
        lease = self.newest_record
        if lease is None or lease.released:
            return True
        if (
            lease.address == self._candidate.address
            and lease.holder != self._candidate.name
        ):
            # The holder is an earlier incarnation of this entry, which has ended.
            return True
        silence = self._clock.now() - self._last_record_at
        return silence > (
            VALIDITY_SECONDS if self._holder_unreachable else TAKEOVER_SECONDS
        )

    # Writing

    async def _take_over(self) -> None:
        epoch = self.epoch + TOKENS_PER_TERM
        if await self._write(self._lease_record(epoch)):
            logger.info("lease taken", extra={"number": epoch})

    async def _renew(self) -> None:
        started_at = self._clock.now()
        async with self._write_lock:
            if not self.held or self.newest_record is None:
                return
            renewal = msgspec.structs.replace(
                self.newest_record, strength=self._strength
            )
            renewed = await self._write(renewal)
        if renewed:
            elapsed_s = self._clock.now() - started_at
            await anyio.sleep(max(0.0, RENEW_INTERVAL_SECONDS - elapsed_s))
        elif self.held:
            await anyio.sleep(RETRY_SECONDS)

    async def _write(self, lease: LeaseRecord) -> bool:
        assert self._end_offset is not None
        sent_at = self._clock.now()
        match await self._append(lease, self._end_offset):
            case Ok(done):
                self._availability.note_answer()
                self._end_offset = done.end
                self._renewed_at = sent_at
                self._last_record_at = self._clock.now()
                self._update(lease)
                return True
            case Err(
                CallFault(
                    CallFaultKind.CONDITION_FAILED
                    | CallFaultKind.UNKNOWN
                    | CallFaultKind.REFUSED
                    | CallFaultKind.INVALID_ANSWER,
                    detail,
                )
            ):
                logger.info(
                    "lease write not confirmed; reading the lease",
                    extra={"detail": detail},
                )
                await self._resolve_write(lease, sent_at)
                return False
            case Err(fault):
                self._availability.note_failure(fault.detail)
                return False
        return False

    async def _append(
        self, lease: LeaseRecord, end: int
    ) -> Result[Appended, CallFault]:
        record = Record(_LEASE_KEY, msgspec.msgpack.encode(lease))
        return await self._store.append(Topic.LEASE, [record], Condition(end))

    async def _resolve_write(self, attempted: LeaseRecord, sent_at: float) -> None:
        """Read the lease to find out whether a write has taken effect."""
        if await self._read_newest() and self.newest_record == attempted:
            self._renewed_at = sent_at
