"""In-memory fakes of the platform with fault injection."""

import time
from collections.abc import Callable

import anyio
import msgspec
from result import Err, Ok, Result

from hickoryplank.coordinator.ports import (
    Appended,
    CallFault,
    CallFaultKind,
    Condition,
    EndpointPort,
    Fence,
    ListedVm,
    ListingDecoder,
    Newest,
    OperatorRecord,
    OperatorRecordCodec,
    OrderOutcome,
    Page,
    Permission,
    StartAnswer,
    StorePort,
    Topic,
    VmPort,
    VmState,
    ZoneEvacuation,
)
from hickoryplank.core.ids import EndpointId, PoolId, VmId, WaveId, Zone
from hickoryplank.jobs.endpoints import Listing, Run
from hickoryplank.jobs.messages import PollReport, PollRequest, StartOutcome
from hickoryplank.jobs.records import Record
from tests.jobs.fake_endpoint import FakeEndpoint

REJECTED = CallFault(CallFaultKind.NOT_DONE, "store unavailable")
NO_ANSWER = CallFault(CallFaultKind.UNKNOWN, "no answer")


class _Partition:
    def __init__(self) -> None:
        self.records: list[Record] = []
        self.first_offset = 0
        self.epoch = -1
        self.last_sequence = -1
        self.answers: dict[int, Appended] = {}
        self.records_appended = anyio.Event()


class MemoryStore(StorePort):
    """Store of keyed partitions; all entries of a test share one.

    :param record_bytes: largest record, in bytes; none for no bound.
    """

    def __init__(self, record_bytes: int | None = None) -> None:
        self.partitions: dict[Topic, _Partition] = {}
        self.record_bytes = record_bytes

    def partition(self, topic: Topic) -> _Partition:
        """Return the partition of a topic; create it if necessary."""
        return self.partitions.setdefault(topic, _Partition())

    def _is_too_large(self, records: list[Record]) -> bool:
        bound = self.record_bytes
        return bound is not None and any(_record_bytes(one) > bound for one in records)

    async def append(
        self, topic: Topic, records: list[Record], guard: Condition | Fence | None
    ) -> Result[Appended, CallFault]:
        """Append records atomically."""
        await anyio.lowlevel.checkpoint()
        partition = self.partition(topic)
        if self._is_too_large(records):
            return Err(CallFault(CallFaultKind.REFUSED, "a record is too large"))
        match guard:
            case Condition(end) if end != len(partition.records):
                return Err(
                    CallFault(
                        CallFaultKind.CONDITION_FAILED, str(len(partition.records))
                    )
                )
            case Fence(epoch, _) if epoch < partition.epoch:
                return Err(CallFault(CallFaultKind.FENCED, str(partition.epoch)))
            case Fence(epoch, sequence) if epoch == partition.epoch:
                if sequence in partition.answers:
                    return Ok(partition.answers[sequence])
                if sequence != partition.last_sequence + 1:
                    return Err(CallFault(CallFaultKind.OUT_OF_ORDER, str(sequence)))
        offset = len(partition.records)
        partition.records += records
        done = Appended(offset, len(partition.records))
        if isinstance(guard, Fence):
            if guard.epoch > partition.epoch:
                partition.answers.clear()
            partition.epoch, partition.last_sequence = guard.epoch, guard.sequence
            partition.answers[guard.sequence] = done
        if records:
            partition.records_appended.set()
            partition.records_appended = anyio.Event()
        return Ok(done)

    async def read(
        self, topic: Topic, offset: int, wait_ms: int
    ) -> Result[Page, CallFault]:
        """Return records from ``offset`` on; wait for a first one if there is none."""
        await anyio.lowlevel.checkpoint()
        partition = self.partition(topic)
        if offset < partition.first_offset:
            return Err(CallFault(CallFaultKind.TRIMMED))
        if offset >= len(partition.records) and wait_ms:
            with anyio.move_on_after(wait_ms / 1000):
                await partition.records_appended.wait()
        records = tuple(partition.records[offset:])
        return Ok(Page(records, offset + len(records), len(partition.records)))

    async def newest(self, topic: Topic) -> Result[Newest, CallFault]:
        """Return the newest record of each key."""
        await anyio.lowlevel.checkpoint()
        partition = self.partition(topic)
        newest = {record.key: record for record in partition.records}
        records = tuple(record for record in newest.values() if record.value)
        return Ok(Newest(records, len(partition.records)))

    def trim(self, topic: Topic) -> None:
        """Trim a topic: reads of its present offsets fail, ``newest`` still works."""
        partition = self.partition(topic)
        partition.first_offset = len(partition.records)


def _record_bytes(record: Record) -> int:
    return 1 + len(record.key.encode()) + len(record.value)


class FaultyStore(StorePort):
    """The connection of one entry to the store, with fault injection.

    :param store: the store to which calls are passed.
    :ivar unavailable: whether the store rejects all calls.
    :ivar delay_s: delay of each append, in seconds.
    :ivar lose_answer: returns whether the answer of the next append is lost.
    """

    def __init__(self, store: StorePort):
        self._store = store
        self.unavailable = False
        self.delay_s = 0.0
        self.lose_answer: Callable[[], bool] = lambda: False

    async def append(self, topic, records, guard):
        """Append records atomically."""
        if self.unavailable:
            return Err(REJECTED)
        await anyio.sleep(self.delay_s)
        done = await self._store.append(topic, records, guard)
        return Err(NO_ANSWER) if self.lose_answer() else done

    async def read(self, topic, offset, wait_ms):
        """Return records from ``offset`` on; wait for a first one if there is none."""
        if self.unavailable:
            return Err(REJECTED)
        return await self._store.read(topic, offset, wait_ms)

    async def newest(self, topic):
        """Return the newest record of each key."""
        if self.unavailable:
            return Err(REJECTED)
        return await self._store.newest(topic)


class MemoryEndpoints(EndpointPort):
    """Fake endpoints whose clocks follow the monotonic clock of the machine.

    :ivar unreachable: endpoints that do not answer.
    :ivar starts_sent: run of each start that was sent, whether it arrived or not.
    """

    def __init__(self, endpoints: dict[EndpointId, FakeEndpoint]):
        self.endpoints = endpoints
        self.unreachable: set[EndpointId] = set()
        self.starts_sent: list[Run] = []
        self._advanced_at = time.monotonic()

    def advance_clocks(self) -> None:
        """Advance the clocks of all endpoints to the present time."""
        now = time.monotonic()
        ms, self._advanced_at = (now - self._advanced_at) * 1000, now
        for endpoint in self.endpoints.values():
            endpoint.advance(ms)

    def _reachable_endpoint(self, id: EndpointId) -> FakeEndpoint | None:
        self.advance_clocks()
        return None if id in self.unreachable else self.endpoints.get(id)

    async def start(self, run: Run, payload: str, token: int) -> StartAnswer:
        """Start a run under a lease until ``run.until_ms``."""
        self.starts_sent.append(run)
        await anyio.lowlevel.checkpoint()
        endpoint = self._reachable_endpoint(run.endpoint.id)
        if endpoint is None:
            return StartAnswer(StartOutcome.UNKNOWN)
        outcome = endpoint.start(run.key, run.attempt, payload, run.until_ms, token)
        return StartAnswer(outcome, int(endpoint.clock_ms))

    async def stop(self, run: Run, token: int) -> Result[int, CallFault]:
        """Stop a run; return the clock of the endpoint, in milliseconds."""
        await anyio.lowlevel.checkpoint()
        endpoint = self._reachable_endpoint(run.endpoint.id)
        if endpoint is None:
            return Err(NO_ANSWER)
        if not endpoint.stop(run.key, run.attempt, token):
            return Err(CallFault(CallFaultKind.FENCED))
        return Ok(int(endpoint.clock_ms))

    async def pace(self, run: Run, percent: int, token: int) -> Result[int, CallFault]:
        """Return the clock of the endpoint, in milliseconds; the pace is ignored."""
        await anyio.lowlevel.checkpoint()
        endpoint = self._reachable_endpoint(run.endpoint.id)
        return Err(NO_ANSWER) if endpoint is None else Ok(int(endpoint.clock_ms))

    async def poll(
        self, request: PollRequest, token: int
    ) -> Result[PollReport, CallFault]:
        """Poll the runs and ends of an endpoint, and renew the leases of its runs."""
        await anyio.sleep(0.02)
        endpoint = self._reachable_endpoint(request.endpoint)
        if endpoint is None:
            return Err(NO_ANSWER)
        report = endpoint.poll(token, request.acknowledged, request.until_ms)
        return Err(CallFault(CallFaultKind.FENCED)) if report is None else Ok(report)


class MemoryListingDecoder(ListingDecoder):
    """Decodes listings by a table from the id of the endpoint, which is the key."""

    def __init__(self, listings: dict[EndpointId, Listing]):
        self.listings = listings

    def decode(self, record: Record) -> Listing | None:
        """Return the listing, or none if there is none for the key."""
        return self.listings.get(EndpointId(record.key))


class MemoryOperatorRecordCodec(OperatorRecordCodec):
    """Decodes the records of operators by a table from the value of the record."""

    def __init__(self) -> None:
        self.objects: dict[bytes, OperatorRecord] = {}

    def encode(self, key: str, item: OperatorRecord) -> Record:
        """Return a record that decodes to ``item``."""
        value = f"{key}-{len(self.objects)}".encode()
        self.objects[value] = item
        return Record(key, value)

    def encode_evacuation(self, zone: Zone, *, requested: bool) -> Record:
        """Return the record that requests to evacuate a zone, or that removes it."""
        key = f"evacuate/{zone}"
        if not requested:
            return Record(key, b"")
        return self.encode(key, ZoneEvacuation(zone, requested=True))

    def decode(self, record: Record) -> OperatorRecord | None:
        """Return the object that was encoded, or none for any other record."""
        prefix, _, zone = record.key.partition("/")
        if prefix == "evacuate" and not record.value:
            return ZoneEvacuation(Zone(zone), requested=False)
        return self.objects.get(record.value)

    def encode_wave_status(self, wave: WaveId, *, completed: bool) -> Record:
        """Return the record that reports the state of a wave."""
        return Record(f"wave/{wave}", b"completed" if completed else b"running")


class MemoryVms(VmPort):
    """Fake VMs that return some time after an order.

    :param outage_s: time for which an order takes a VM out of service, in seconds.
    :ivar unavailable: when each VM that is out of service returns.
    :ivar orders: kind, VM, target pool or wave, and fencing token of each order.
    :ivar on_down: called when a VM goes out of service.
    :ivar on_return: called when a VM returns.
    :ivar max_down: largest number of VMs out of service at the same time.
    """

    def __init__(self, vms: dict[VmId, ListedVm], outage_s: float = 0.1):
        self.vms = vms
        self.outage_s = outage_s
        self.unavailable: dict[VmId, float] = {}
        self.orders: list[tuple[str, VmId, str, int]] = []
        self.on_down: Callable[[ListedVm], None] = lambda vm: None
        self.on_return: Callable[[ListedVm], None] = lambda vm: None
        self.max_down = 0

    def _return_due_vms(self) -> None:
        for id, until in list(self.unavailable.items()):
            if time.monotonic() >= until:
                del self.unavailable[id]
                self.on_return(self.vms[id])

    async def list(self) -> Result[tuple[ListedVm, ...], CallFault]:
        """Return all VMs."""
        await anyio.lowlevel.checkpoint()
        self._return_due_vms()
        return Ok(tuple(self._as_listed(vm) for vm in self.vms.values()))

    def _as_listed(self, vm: ListedVm) -> ListedVm:
        if vm.id not in self.unavailable:
            return vm
        return msgspec.structs.replace(vm, state=VmState.MAINTENANCE, endpoint=None)

    def set_state(self, vm: VmId, state: VmState) -> None:
        """Set the state in which the list shows a VM."""
        self.vms[vm] = msgspec.structs.replace(self.vms[vm], state=state)

    async def move(
        self, vm: VmId, pool: PoolId, token: int, permitted: Permission
    ) -> OrderOutcome:
        """Order the move of a VM to another pool."""
        await anyio.lowlevel.checkpoint()
        if not permitted():
            return OrderOutcome.NOT_DONE
        before = self.vms[vm]
        if before.pool == pool:
            return OrderOutcome.DONE
        self.orders.append(("move", vm, pool, token))
        self.vms[vm] = msgspec.structs.replace(before, pool=pool)
        self._take_down(vm)
        return OrderOutcome.DONE

    async def maintain(
        self, vm: VmId, wave: WaveId, token: int, permitted: Permission
    ) -> OrderOutcome:
        """Order the maintenance of a VM for a wave."""
        await anyio.lowlevel.checkpoint()
        if not permitted():
            return OrderOutcome.NOT_DONE
        self.orders.append(("maintain", vm, wave, token))
        self._take_down(vm)
        return OrderOutcome.DONE

    def _take_down(self, vm: VmId) -> None:
        self._return_due_vms()
        self.unavailable[vm] = time.monotonic() + self.outage_s
        self.max_down = max(self.max_down, len(self.unavailable))
        self.on_down(self.vms[vm])
