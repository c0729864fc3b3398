"""Interfaces to the platform, which ``hickoryplank.platform`` implements."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum

import msgspec
from result import Result

from hickoryplank.core.ids import EndpointId, PoolId, VmId, WaveId, Zone
from hickoryplank.jobs.advice import AdviceRequest
from hickoryplank.jobs.configuration import Configuration
from hickoryplank.jobs.endpoints import Listing, Run
from hickoryplank.jobs.messages import (
    AdviceAnswer,
    PollReport,
    PollRequest,
    StartOutcome,
)
from hickoryplank.jobs.records import Record
from hickoryplank.jobs.sizes import Size

__all__ = [
    "AdvicePort",
    "Appended",
    "CallFault",
    "CallFaultKind",
    "Condition",
    "EndpointPort",
    "Fence",
    "ListedVm",
    "ListingDecoder",
    "Newest",
    "OperatorRecord",
    "OperatorRecordCodec",
    "OrderOutcome",
    "Page",
    "Permission",
    "StartAnswer",
    "StorePort",
    "Topic",
    "VmPort",
    "VmState",
    "WaveOrder",
    "ZoneEvacuation",
]


#: Returns whether an action is permitted at the time of the call.
Permission = Callable[[], bool]


class CallFaultKind(Enum):
    """Why a call to the platform failed."""

    #: The call had no effect.
    NOT_DONE = "not_done"
    #: No answer; the call may have taken effect, or may do so later.
    UNKNOWN = "unknown"
    #: The receiver has seen a higher epoch or fencing token.
    FENCED = "fenced"
    #: The sequence number of the append does not follow the last one.
    OUT_OF_ORDER = "out_of_order"
    #: The partition does not end at the offset of the condition.
    CONDITION_FAILED = "moved"
    #: The requested records have been deleted.
    TRIMMED = "trimmed"
    #: Another incarnation of the endpoint answers at the address.
    OTHER_INCARNATION = "other_life"
    #: The receiver refuses the call, and would refuse it again.
    REFUSED = "refused"
    #: The answer is malformed or has an unexpected status.
    INVALID_ANSWER = "unreadable"


class CallFault(msgspec.Struct, frozen=True):
    """A failed call.

    :param kind: why it failed.
    :param detail: text for the logs.
    """

    kind: CallFaultKind
    detail: str = ""


class Topic(Enum):
    """Keyed topics in the store that hickoryplank reads or writes."""

    LEASE = "lease"
    JOBS = "jobs"
    OPERATOR = "operator"
    LISTINGS = "listings"
    STATUS = "status"


class Condition(msgspec.Struct, frozen=True):
    """Condition of an append: the partition ends at the offset ``end``."""

    end: int


class Fence(msgspec.Struct, frozen=True):
    """Epoch and sequence number of an append.

    The store rejects appends with a lower epoch than the highest that it has seen.
    """

    epoch: int
    sequence: int


class Appended(msgspec.Struct, frozen=True):
    """Result of an append.

    :param offset: offset of its first record.
    :param end: offset after its last record.
    """

    offset: int
    end: int


class Page(msgspec.Struct, frozen=True):
    """Records from an offset on. A record with an empty value deletes its key.

    :param next: offset from which to read on.
    :param end: offset at which the partition ends.
    """

    records: tuple[Record, ...]
    next: int
    end: int


class Newest(msgspec.Struct, frozen=True):
    """The newest record of each key.

    :param end: offset from which to read on.
    """

    records: tuple[Record, ...]
    end: int


class StorePort(ABC):
    """The platform's store of keyed records."""

    @abstractmethod
    async def append(
        self, topic: Topic, records: list[Record], guard: Condition | Fence | None
    ) -> Result[Appended, CallFault]:
        """Append records atomically.

        :param guard: condition or fence; none to append unconditionally.
        """

    @abstractmethod
    async def read(
        self, topic: Topic, offset: int, wait_ms: int
    ) -> Result[Page, CallFault]:
        """Return records from ``offset`` on.

        :param wait_ms: how long to wait for a first record, in milliseconds.
        """

    @abstractmethod
    async def newest(self, topic: Topic) -> Result[Newest, CallFault]:
        """Return the newest record of each key."""


class ListingDecoder(ABC):
    """Decodes the records in which endpoints describe themselves."""

    @abstractmethod
    def decode(self, record: Record) -> Listing | None:
        """Return the listing, or none if the record holds no valid one."""


class WaveOrder(msgspec.Struct, frozen=True):
    """Request of an operator to maintain VMs.

    :param within_s: time within which the wave has to be completed, in seconds.
    :param max_concurrent: largest number of VMs that may be down for it at once.
    """

    id: WaveId
    vms: tuple[VmId, ...]
    within_s: float
    max_concurrent: int


class ZoneEvacuation(msgspec.Struct, frozen=True):
    """Request of an operator to start nothing in an availability zone, or its removal.

    :param requested: false if the request has been removed.
    """

    zone: Zone
    requested: bool


#: What an operator has stored under one key.
OperatorRecord = Configuration | WaveOrder | ZoneEvacuation


class OperatorRecordCodec(ABC):
    """Decodes the records of operators, and encodes those for them."""

    @abstractmethod
    def decode(self, record: Record) -> OperatorRecord | None:
        """Return the decoded record, or none if it is malformed or of another kind."""

    @abstractmethod
    def encode_wave_status(self, wave: WaveId, *, completed: bool) -> Record:
        """Return the record that reports the state of a wave."""


class StartAnswer(msgspec.Struct, frozen=True):
    """Answer of an endpoint to a start.

    :param clock_ms: clock of the endpoint, in milliseconds; 0 if unknown.
    :param detail: text for the logs.
    """

    outcome: StartOutcome
    clock_ms: int = 0
    detail: str = ""


class EndpointPort(ABC):
    """Requests to endpoints. Each carries the fencing token ``token``."""

    @abstractmethod
    async def start(self, run: Run, payload: str, token: int) -> StartAnswer:
        """Start a run under a lease until ``run.until_ms``.

        :param payload: text of the job for the task.
        """

    @abstractmethod
    async def stop(self, run: Run, token: int) -> Result[int, CallFault]:
        """Stop a run; return the clock of the endpoint, in milliseconds."""

    @abstractmethod
    async def pace(self, run: Run, percent: int, token: int) -> Result[int, CallFault]:
        """Set the pace of a run; return the clock of the endpoint, in milliseconds.

        :param percent: pace in percent of full speed.
        """

    @abstractmethod
    async def poll(
        self, request: PollRequest, token: int
    ) -> Result[PollReport, CallFault]:
        """Poll the runs and ends of an endpoint, and renew the leases of its runs."""


class AdvicePort(ABC):
    """The external service that decides which endpoints may run a step."""

    @abstractmethod
    async def ask(
        self, request: AdviceRequest, within_s: float
    ) -> Result[AdviceAnswer, CallFault]:
        """Request which of the named endpoints may run a step.

        :param within_s: timeout, in seconds.
        """


class VmState(Enum):
    """State of a VM in the list of the platform."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class ListedVm(msgspec.Struct, frozen=True):
    """A VM in the list of the platform.

    :param endpoint: endpoint that runs on it, if any.
    """

    id: VmId
    pool: PoolId
    state: VmState
    zone: Zone
    labels: tuple[str, ...]
    capacity: Size
    endpoint: EndpointId | None


class OrderOutcome(Enum):
    """Outcome of an order for a VM."""

    DONE = "done"
    BUSY = "busy"
    #: The VM does not belong to the wave.
    NOT_IN_WAVE = "not_in_wave"
    FENCED = "fenced"
    #: There is no such VM, or the pool does not accept VMs of its kind.
    IMPOSSIBLE = "impossible"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class VmPort(ABC):
    """The VMs of the platform.

    Each order carries the fencing token ``token``. It is sent only if ``permitted``,
    called right before, returns true: an order may wait for a connection, and the
    platform may not check tokens.
    """

    @abstractmethod
    async def list(self) -> Result[tuple[ListedVm, ...], CallFault]:
        """Return all VMs."""

    @abstractmethod
    async def move(
        self, vm: VmId, pool: PoolId, token: int, permitted: Permission
    ) -> OrderOutcome:
        """Order the move of a VM to another pool."""

    @abstractmethod
    async def maintain(
        self, vm: VmId, wave: WaveId, token: int, permitted: Permission
    ) -> OrderOutcome:
        """Order the maintenance of a VM for a wave."""
