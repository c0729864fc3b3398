"""The coordinator's lease: one record in the store, written under a condition."""

import logging
import secrets

import anyio
import msgspec
from result import Err, Ok, Result

from hickoryplank.coordinator.dependency import Dependency
from hickoryplank.coordinator.ports import (
    Appended,
    CallFault,
    CallFaultKind,
    Condition,
    StorePort,
    Topic,
)
from hickoryplank.jobs.records import Record
from hickoryplank.shell.clock import Clock

__all__ = ["Holder", "LeaseManager", "LeaseRecord"]

logger = logging.getLogger(__name__)

#: Time between two renewals, in seconds. Four fit into the validity, so that two
#: lost answers don't end it.
RENEW_SECONDS = 0.2
#: How long a holder counts on its lease after it sent the last renewal, in seconds:
#: a renewal's timeout, another try, and some margin.
VALID_SECONDS = 0.8
#: How long others wait after the last renewal that they saw, in seconds. Longer than
#: the validity, as clocks may differ by some percent.
TAKEOVER_SECONDS = 0.95
#: Wait of one read of the lease, in milliseconds; without records a read that was
#: answered proves that there was no renewal.
READ_WAIT_MS = 300
#: Wait after a failed call, in seconds.
RETRY_SECONDS = 0.1
#: Spread of the first tries of several candidates, in seconds: two appends.
SPREAD_SECONDS = 0.02
#: How much longer old entries leave a free lease to young ones, in seconds: some
#: appends. In a rolling restart the young ones have had their turn.
OLD_WAIT_SECONDS = 0.08
#: Age at which an entry waits for half of that, in seconds: a few turns of a rolling
#: restart.
HALF_OLD_SECONDS = 10.0
#: How long the weakest VM leaves a free lease to stronger ones, in seconds: the time
#: of a read of the lease, and of an append by a stronger one.
WEAK_WAIT_SECONDS = 0.45
#: A holder with less than this part of an entry's own strength is asked to step down.
WEAK_PART = 0.5
#: How long a weaker holder is left alone, in seconds: a restoring and the work that
#: has piled up before it.
WEAK_TERM_SECONDS = 2.0

#: How long a release is tried, in seconds: others take the lease by themselves not
#: much later.
RELEASE_SECONDS = 1.2
#: Time in which a new holder, or a new entry, comes to know all that it needs, in
#: seconds: three times what a restoring takes on a calm store.
SETTLE_SECONDS = 1.0

_KEY = "lease"


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """The lease as stored.

    :param number: grows with each holder; epoch and fencing token.
    :param holder: one life of one entry.
    :param address: where the holder's peers reach it.
    :param released: the holder has given it up.
    :param strength: of the holder's VM.
    :param wanted_by: a stronger entry that asks the holder to give it up.
    """

    number: int
    holder: str
    address: str
    released: bool = False
    strength: float = 1.0
    wanted_by: str = ""


class Holder(msgspec.Struct, frozen=True):
    """This life of this entry.

    :param strength: what part of a coordinator's needs its VM has, from 0 to 1.
    """

    name: str
    address: str
    strength: float = 1.0

    @classmethod
    def fresh(cls, node: str, address: str, strength: float = 1.0) -> "Holder":
        """Return a holder that no other life of the entry equals."""
        return cls(f"{node}/{secrets.token_hex(4)}", address, strength)


class LeaseManager:
    """Follows the lease, takes it when its holder is gone, and renews it."""

    def __init__(
        self,
        store: StorePort,
        me: Holder,
        clock: Clock,
        started_at: float | None = None,
    ):
        self._store = store
        self._started_at = clock.now() if started_at is None else started_at
        self._me = me
        self._clock = clock
        self._end: int | None = None
        self._seen_at = clock.now()
        self._renewed_at = 0.0
        self._spread = secrets.randbelow(1000) / 1000 * SPREAD_SECONDS
        self._weak_wait = (1.0 - me.strength) * WEAK_WAIT_SECONDS
        self._holder_since = clock.now()
        self._suspected = False
        self._lost = False
        self._source = Dependency("lease", clock)
        #: A renewal under way must not follow, or fail, the record that gives it up.
        self._writing = anyio.Lock()
        self.known: LeaseRecord | None = None
        self.changed = anyio.Event()
        self.stopping = False

    @property
    def number(self) -> int:
        """Number of the newest lease that was seen."""
        return self.known.number if self.known is not None else 0

    @property
    def held(self) -> bool:
        """Whether the newest lease is this entry's, valid or not."""
        return (
            self.known is not None
            and self.known.holder == self._me.name
            and not self.known.released
            and not self._lost
        )

    def valid(self) -> bool:
        """Return whether no other entry can hold the lease now."""
        return self.held and self._clock.now() - self._renewed_at < VALID_SECONDS

    def proof_age(self) -> float:
        """Return how long ago the last successful renewal was sent, in seconds."""
        return self._clock.now() - self._renewed_at

    @property
    def unwanted(self) -> bool:
        """Whether this entry holds the lease, and a stronger one asks for it."""
        return self.held and self.known is not None and bool(self.known.wanted_by)

    def settling(self) -> bool:
        """Return whether a coordinator is to be expected within a second.

        The store answers, and the lease is about to change hands, or just has.
        """
        now = self._clock.now()
        if not self._source.answers:
            return False
        if now - self._holder_since < SETTLE_SECONDS:
            return True
        if self.known is None or self.known.released or self._suspected:
            return True
        return not self.held and now - self._seen_at > TAKEOVER_SECONDS / 2

    @property
    def coordinator(self) -> str | None:
        """Address of the holder, unless it is this entry or nobody."""
        if self.known is None or self.known.released or self.held:
            return None
        return self.known.address

    def suspect(self) -> None:
        """Note that nothing listens at the holder's address any more."""
        self._suspected = True

    async def run(self) -> None:
        """Follow and renew until cancelled."""
        while True:
            if self.held:
                await self._renew()
            else:
                await self._watch()

    async def stop(self) -> None:
        """Give the lease up for good, so that another entry takes it at once."""
        self.stopping = True
        await self.release()

    async def release(self) -> None:
        """Give the lease up, so that another entry takes it at once."""
        limit = self._clock.now() + RELEASE_SECONDS
        async with self._writing:
            while self.held and self._clock.now() < limit:
                if not await self._write(self._record(self.number, released=True)):
                    await anyio.sleep(RETRY_SECONDS)

    def _record(self, number: int, *, released: bool = False) -> LeaseRecord:
        me = self._me
        return LeaseRecord(number, me.name, me.address, released, me.strength)

    def mark_lost(self) -> None:
        """Give the lease up after a sign that another entry has taken it."""
        self._lost = True
        self._end = None
        self._notify()

    # Watching

    async def _watch(self) -> None:
        if self._end is None:
            if not await self._read_newest():
                await anyio.sleep(RETRY_SECONDS)
            return
        if self._free() and not self.stopping:
            if await self._wait_for_its_turn():
                await self._take()
            return
        if self._outranks() and not self.stopping:
            await self._ask_for_it()
        match await self._store.read(Topic.LEASE, self._end, READ_WAIT_MS):
            case Ok(page):
                self._source.answered()
                self._follow(page.next, page.records)
            case Err(CallFault(CallFaultKind.TRIMMED, _)):
                self._end = None
            case Err(fault):
                # Without an answer nothing shows that the holder is silent.
                self._seen_at = max(
                    self._seen_at, self._clock.now() - TAKEOVER_SECONDS / 2
                )
                self._source.failed(fault.detail)
                await anyio.sleep(RETRY_SECONDS)

    async def _wait_for_its_turn(self) -> bool:
        """Wait, by strength and age; return whether no other has taken the lease."""
        assert self._end is not None
        age = self._clock.now() - self._started_at
        old_wait = OLD_WAIT_SECONDS * age / (age + HALF_OLD_SECONDS)
        await anyio.sleep(self._spread + old_wait + self._weak_wait)
        if not self._weak_wait:
            return True
        match await self._store.read(Topic.LEASE, self._end, 0):
            case Ok(page) if page.records:
                self._follow(page.next, page.records)
                return False
        return True

    def _outranks(self) -> bool:
        """Return whether the holder is too weak, and has been there for a while."""
        lease = self.known
        if lease is None or lease.released or lease.wanted_by:
            return False
        if lease.strength >= self._me.strength * WEAK_PART:
            return False
        return self._clock.now() - self._holder_since > WEAK_TERM_SECONDS

    async def _ask_for_it(self) -> None:
        """Have the holder see that a stronger entry is there."""
        assert self._end is not None
        assert self.known is not None
        asked = msgspec.structs.replace(self.known, wanted_by=self._me.name)
        done = await self._append(asked, self._end)
        logger.info(
            "weaker coordinator asked to step down",
            extra={
                "number": asked.number,
                "holder": asked.holder,
                "strength": asked.strength,
                "asked": done.is_ok(),
            },
        )

    async def _read_newest(self) -> bool:
        match await self._store.newest(Topic.LEASE):
            case Ok(newest):
                self._source.answered()
                self._follow(newest.end, newest.records)
                return True
            case Err(fault):
                self._source.failed(fault.detail)
                return False

    def _follow(self, end: int, records: tuple[Record, ...]) -> None:
        self._end = end
        for record in records:
            self._note(record)

    def _note(self, record: Record) -> None:
        if record.key != _KEY:
            return
        try:
            lease = msgspec.msgpack.decode(record.value, type=LeaseRecord)
        except msgspec.MsgspecError as exc:
            logger.error("lease can't be read", extra={"detail": str(exc)})
            return
        self._set(lease)
        self._seen_at = self._clock.now()
        self._suspected = False

    def _set(self, lease: LeaseRecord) -> None:
        before, self.known = self.known, lease
        if before is None or lease.number > before.number:
            self._lost = False
            self._holder_since = self._clock.now()
        if lease.wanted_by and lease.holder == self._me.name:
            self._notify()
        if before is not None and (before.holder, before.released) == (
            lease.holder,
            lease.released,
        ):
            return
        logger.info(
            "coordinator changed",
            extra={
                "number": lease.number,
                "holder": lease.holder,
                "released": lease.released,
                "strength": lease.strength,
            },
        )
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def _free(self) -> bool:
        lease = self.known
        if lease is None or lease.released:
            return True
        if lease.address == self._me.address and lease.holder != self._me.name:
            # An earlier life of this entry held it, and has ended.
            return True
        silence = self._clock.now() - self._seen_at
        return silence > (VALID_SECONDS if self._suspected else TAKEOVER_SECONDS)

    # Writing

    async def _take(self) -> None:
        number = self.number + 1
        if await self._write(self._record(number)):
            logger.info("lease taken", extra={"number": number})

    async def _renew(self) -> None:
        begun = self._clock.now()
        async with self._writing:
            if not self.held or self.known is None:
                return
            renewed = await self._write(self.known)
        if renewed:
            spent = self._clock.now() - begun
            await anyio.sleep(max(0.0, RENEW_SECONDS - spent))
        elif self.held:
            await anyio.sleep(RETRY_SECONDS)

    async def _write(self, lease: LeaseRecord) -> bool:
        assert self._end is not None
        sent_at = self._clock.now()
        match await self._append(lease, self._end):
            case Ok(done):
                self._source.answered()
                self._end = done.end
                self._renewed_at = sent_at
                self._seen_at = self._clock.now()
                self._set(lease)
                return True
            case Err(CallFault(CallFaultKind.MOVED | CallFaultKind.UNKNOWN, detail)):
                logger.info("lease not written", extra={"detail": detail})
                await self._settle(lease, sent_at)
                return False
            case Err(fault):
                self._source.failed(fault.detail)
                return False
        return False

    async def _append(
        self, lease: LeaseRecord, end: int
    ) -> Result[Appended, CallFault]:
        record = Record(_KEY, msgspec.msgpack.encode(lease))
        return await self._store.append(Topic.LEASE, [record], Condition(end))

    async def _settle(self, wanted: LeaseRecord, sent_at: float) -> None:
        """Find out what a write without a clear answer has done."""
        if await self._read_newest() and self.known == wanted:
            self._renewed_at = sent_at
