"""Replica of the tables: folds the log, and appends records to it in batches."""

import logging
import secrets
from collections import deque
from collections.abc import Callable

import anyio
import msgspec
from result import Err, Ok, Result

from hickoryplank.core.errors import FaultCode, Refusal
from hickoryplank.core.fold import FoldResult, fold_batch
from hickoryplank.core.freshness import Freshness, PeerView
from hickoryplank.core.ids import Incarnation, NodeId, RecordId, Revision
from hickoryplank.core.records import EditSet, Record, decode_batch, encode_batch
from hickoryplank.core.tables import Tables
from hickoryplank.external.errors import LogError, LogFailure, Trimmed
from hickoryplank.external.log import Log, Page, StreamRecord
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.dependency_monitor import DependencyMonitor
from hickoryplank.shell.replicated_state import ReplicatedState
from hickoryplank.shell.telemetry import Telemetry

__all__ = ["CONTROL_STREAM", "Replica", "new_record_id"]

logger = logging.getLogger(__name__)

CONTROL_STREAM = "control"
MAX_PAGE_ENTRIES = 500
POLL_TIMEOUT_SECONDS = 0.4
ERROR_RETRY_DELAY_SECONDS = 0.1
MAX_BATCH_RECORDS = 256
BATCH_DELAY_SECONDS = 0.002
MAX_RECENT_ENTRIES = 2000
#: How long an edit waits until all other nodes know this one, in seconds: several
#: exchanges of views, which a node that has just joined needs.
AWARENESS_TIMEOUT_SECONDS = 1.5
AWARENESS_CHECK_SECONDS = 0.02
_ID_BYTES = 8

Listener = Callable[[Record, FoldResult], None]


def new_record_id() -> RecordId:
    """Return a new unique record id."""
    return RecordId(secrets.token_hex(_ID_BYTES))


class _PendingRecord(msgspec.Struct):
    """A submitted record whose result is not known yet.

    :param done: set along with ``fold_result`` or ``error``.
    :param sent: whether an append that contained it may have taken effect.
    :param abandoned: whether nobody waits for the result any more.
    """

    record: Record
    done: anyio.Event
    fold_result: FoldResult | None = None
    error: LogFailure | None = None
    sent: bool = False
    abandoned: bool = False


def _is_duplicate(fold_result: FoldResult) -> bool:
    """Return whether the record was refused because a copy was folded before.

    A pending record gets this result only if that copy was part of a snapshot that
    this node loaded. The result of the copy is then unknown here.
    """
    match fold_result:
        case Err(Refusal(faults)):
            return any(fault.code is FaultCode.DUPLICATE for fault in faults)
    return False


class Replica(ReplicatedState):
    """The tables of this node, kept up to date with the log.

    :ivar incarnation: this node's incarnation; 0 until it has joined.
    """

    def __init__(self, log: Log, clock: Clock, telemetry: Telemetry | None = None):
        self._log = log
        self._telemetry = telemetry or Telemetry()
        self._clock = clock
        self._tables = Tables()
        self._pending: dict[RecordId, _PendingRecord] = {}
        self._append_queue: deque[_PendingRecord] = deque()
        self._abandoned: set[RecordId] = set()
        self._wake = anyio.Event()
        self._advanced = anyio.Event()
        self._trimmed = anyio.Event()
        self._load_listeners: list[Callable[[], None]] = []
        self._listeners: list[Listener] = []
        self._appended = 0
        self._loaded_at = clock.now()
        self._log_availability = DependencyMonitor("log", clock)
        self._fold_times: deque[tuple[int, float]] = deque(maxlen=MAX_RECENT_ENTRIES)
        self._recent_entries: deque[StreamRecord] = deque(maxlen=MAX_RECENT_ENTRIES)
        self.freshness = Freshness()
        self.incarnation = Incarnation(0)

    @property
    def tables(self) -> Tables:
        """The tables as folded so far."""
        return self._tables

    @property
    def offset(self) -> int:
        """The next log offset to fold."""
        return self._tables.next_offset

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with every record folded from now on."""
        self._listeners.append(listener)

    def subscribe_snapshot_load(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after the tables were replaced by a snapshot."""
        self._load_listeners.append(listener)

    def load_snapshot(self, tables: Tables) -> bool:
        """Replace the tables by a snapshot if it is newer; return whether it is."""
        if tables.next_offset <= self.offset:
            return False
        self._tables = tables
        self._loaded_at = self._clock.now()
        self._recent_entries.clear()
        self.freshness.note_folded(self.offset)
        for on_load in self._load_listeners:
            on_load()
        self._notify_advanced()
        return True

    async def follow(self) -> None:
        """Read and fold the log until cancelled."""
        while True:
            sent_at = self._clock.now()
            read = await self._log.read(
                CONTROL_STREAM, self.offset, MAX_PAGE_ENTRIES, POLL_TIMEOUT_SECONDS
            )
            match read:
                case Ok(page):
                    self._log_availability.note_answer()
                    self._fold_page(page, sent_at)
                case Err(failure):
                    if isinstance(failure, Trimmed):
                        logger.warning(
                            "the log has been trimmed and starts at offset %d",
                            failure.first,
                        )
                        self._trimmed.set()
                    else:
                        self._log_availability.note_failure(
                            failure.detail or failure.error.value
                        )
                    await anyio.sleep(ERROR_RETRY_DELAY_SECONDS)

    def _fold_page(self, page: Page, sent_at: float) -> None:
        self.fold_entries(page.entries)
        if self.offset >= page.tail:
            self.freshness.note_tail_read(sent_at, self.offset)

    def fold_entries(self, entries: tuple[StreamRecord, ...]) -> None:
        """Fold the entries from the next offset on; earlier ones are skipped."""
        for entry in entries:
            if entry.offset == self.offset:
                self._fold_entry(entry)
            elif entry.offset > self.offset:
                break
        self._notify_advanced()

    def _fold_entry(self, entry: StreamRecord) -> None:
        try:
            records = decode_batch(entry.data)
        except msgspec.DecodeError as exc:
            logger.error(
                "log entry at offset %d cannot be decoded and is skipped: %s",
                entry.offset,
                exc,
            )
            records = ()
        fold_results = fold_batch(self._tables, entry.offset, records)
        self.freshness.note_folded(self.offset)
        self._recent_entries.append(entry)
        self._fold_times.append((entry.offset, self._clock.now()))
        for record, fold_result in zip(records, fold_results, strict=True):
            self._complete_pending(record, fold_result)
            for listener in self._listeners:
                listener(record, fold_result)

    def _complete_pending(self, record: Record, fold_result: FoldResult) -> None:
        self._abandoned.discard(record.id)
        pending = self._pending.pop(record.id, None)
        if pending is not None:
            pending.fold_result = fold_result
            pending.done.set()

    def _notify_advanced(self) -> None:
        self._advanced.set()
        self._advanced = anyio.Event()

    async def wait_until_trimmed(self) -> None:
        """Wait until the log has been trimmed past the next offset to fold."""
        await self._trimmed.wait()
        self._trimmed = anyio.Event()

    async def wait_until_advanced(self) -> None:
        """Wait until further entries of the log have been folded."""
        await self._advanced.wait()

    async def submit(self, record: Record) -> Result[Revision, Refusal | LogFailure]:
        """Append ``record``, fold the log up to it and return the result.

        After cancellation, a record that was sent may still take effect. An edit
        set that was sent remains pending until its result is known.
        """
        if isinstance(record, EditSet) and not await self._wait_until_known():
            detail = (
                "some nodes do not know this node yet; publish through another node"
            )
            return Err(LogFailure(LogError.UNAVAILABLE, detail))
        record = self._with_origin(record)
        pending = _PendingRecord(record, anyio.Event())
        self._pending[record.id] = pending
        self._append_queue.append(pending)
        self._wake.set()
        try:
            with self._telemetry.append():
                await pending.done.wait()
        finally:
            self._abandon(pending)
        if pending.fold_result is None or _is_duplicate(pending.fold_result):
            return Err(pending.error or LogFailure(LogError.UNKNOWN))
        return pending.fold_result

    async def _wait_until_known(self) -> bool:
        """Wait until all other nodes know this one; return whether they do.

        A node reports itself ready before its peers have told it that they know it.
        """
        with anyio.move_on_after(AWARENESS_TIMEOUT_SECONDS):
            while self.freshness.members_unaware(self.other_incarnations()):
                await anyio.sleep(AWARENESS_CHECK_SECONDS)
            return True
        return False

    def _with_origin(self, record: Record) -> Record:
        """Return the record with the author and the sequence number it is based on."""
        if isinstance(record, EditSet):
            record = msgspec.structs.replace(record, author=self.incarnation)
        if record.since is None:
            since = Revision(self._tables.sequence)
            record = msgspec.structs.replace(record, since=since)
        return record

    def _abandon(self, pending: _PendingRecord) -> None:
        if isinstance(pending.record, EditSet) and pending.sent:
            return
        pending.abandoned = True
        if self._pending.pop(pending.record.id, None) and pending.sent:
            self._abandoned.add(pending.record.id)

    def may_take_effect(self, record: RecordId) -> bool:
        """Return whether a record that nobody waits for may still be folded."""
        return record in self._abandoned

    async def append(self) -> None:
        """Append submitted records in batches until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            await anyio.sleep(BATCH_DELAY_SECONDS)
            while batch := self._next_batch():
                await self._append_batch(batch)

    def _next_batch(self) -> list[_PendingRecord]:
        batch: list[_PendingRecord] = []
        while self._append_queue and len(batch) < MAX_BATCH_RECORDS:
            pending = self._append_queue.popleft()
            if not pending.abandoned and not pending.done.is_set():
                batch.append(pending)
        return batch

    async def _append_batch(self, batch: list[_PendingRecord]) -> None:
        sent_before = {pending.record.id for pending in batch if pending.sent}
        for pending in batch:
            pending.sent = True
        data = encode_batch(tuple(pending.record for pending in batch))
        match await self._log.append(CONTROL_STREAM, data):
            case Ok(offset):
                self._appended = max(self._appended, offset + 1)
                return
            case Err(LogFailure(LogError.UNKNOWN)):
                self._append_again(batch)
            case Err(failure):
                for pending in batch:
                    pending.sent = pending.record.id in sent_before
                self._fail(batch, failure)
        await anyio.sleep(ERROR_RETRY_DELAY_SECONDS)

    def _append_again(self, batch: list[_PendingRecord]) -> None:
        """Append the same records again; of copies with one id, the first counts."""
        self._append_queue.extend(batch)
        self._wake.set()

    def _fail(self, batch: list[_PendingRecord], failure: LogFailure) -> None:
        for pending in batch:
            if pending.sent:
                self._append_again([pending])
            else:
                self._pending.pop(pending.record.id, None)
                pending.error = failure
                pending.done.set()

    def has_pending_edit(self) -> bool:
        """Return whether an edit set of this node may still be appended."""
        return any(isinstance(p.record, EditSet) for p in self._pending.values())

    def note_confirmed(self, peer: Incarnation, offset: int) -> None:
        """Record that ``peer`` has folded the log up to ``offset``."""
        self.freshness.note_confirmed(peer, offset)

    def other_incarnations(self) -> list[Incarnation]:
        """Return the live incarnations other than this node's own."""
        return [
            row.incarnation
            for row in self._tables.live_nodes()
            if row.incarnation != self.incarnation
        ]

    def view(self) -> PeerView:
        """Return this node's view of the log, to be sent to a peer."""
        quiet = not self.has_pending_edit()
        return self.freshness.view(self._clock.now(), quiet, self._appended)

    def recent_entries_from(self, offset: int, limit: int) -> list[StreamRecord]:
        """Return recently folded entries from ``offset`` on, if they are still kept."""
        kept = [entry for entry in self._recent_entries if entry.offset >= offset]
        return kept[:limit] if kept and kept[0].offset == offset else []

    def lagging_nodes(self, offset: int) -> tuple[NodeId, ...]:
        """Return the live nodes that may not have folded up to ``offset`` yet."""
        if self.offset < offset:
            return tuple(row.node for row in self._tables.live_nodes())
        behind = self.freshness.lagging_nodes(
            self.other_incarnations(),
            offset,
            self._read_back_at(offset),
            self._clock.now(),
        )
        return tuple(self._tables.nodes[peer].node for peer in behind)

    def _read_back_at(self, offset: int) -> float:
        """Return the latest time at which the fold may have reached ``offset``."""
        for folded, at in self._fold_times:
            if folded + 1 >= offset:
                return at
        return self._loaded_at
