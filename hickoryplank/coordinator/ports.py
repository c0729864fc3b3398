"""Interfaces to the platform, which the adapter implements."""

from abc import ABC, abstractmethod
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
    "Condition",
    "EndpointPort",
    "CallFaultKind",
    "Fence",
    "ListedVm",
    "Listings",
    "Newest",
    "OperatorRecords",
    "OrderOutcome",
    "Page",
    "StartAnswer",
    "StorePort",
    "Topic",
    "VmPort",
    "VmState",
    "WaveOrder",
]


class CallFaultKind(Enum):
    """Why a call to the platform has no result."""

    #: It was refused, and nothing was done.
    NOT_DONE = "not_done"
    #: No answer; it may have been done, or may be yet.
    UNKNOWN = "unknown"
    #: A higher epoch or fencing token has been seen.
    FENCED = "fenced"
    #: The number of the append doesn't follow the last one.
    OUT_OF_ORDER = "out_of_order"
    #: The partition doesn't end where the condition says.
    MOVED = "moved"
    #: The records asked for have been deleted.
    TRIMMED = "trimmed"
    #: Another life answers at the address.
    OTHER_INCARNATION = "other_life"
    #: The answer can't be read.
    UNREADABLE = "unreadable"


class CallFault(msgspec.Struct, frozen=True):
    """A call without a result, and what is known of why."""

    fault: CallFaultKind
    detail: str = ""


class Topic(Enum):
    """Keyed topics that hickoryplank has, or reads, in the store."""

    LEASE = "lease"
    JOBS = "jobs"
    OPERATOR = "operator"
    LISTINGS = "listings"
    STATUS = "status"


class Condition(msgspec.Struct, frozen=True):
    """An append takes effect only if the partition ends at ``end``."""

    end: int


class Fence(msgspec.Struct, frozen=True):
    """Epoch and number of an append; an older epoch can append nothing more."""

    epoch: int
    sequence: int


class Appended(msgspec.Struct, frozen=True):
    """Where an append took effect."""

    offset: int
    end: int


class Page(msgspec.Struct, frozen=True):
    """Records from an offset on. A record without value drops its key."""

    records: tuple[Record, ...]
    next: int
    end: int


class Newest(msgspec.Struct, frozen=True):
    """The newest record of each key, and where reading on begins."""

    records: tuple[Record, ...]
    end: int


class StorePort(ABC):
    """The platform's store of keyed records."""

    @abstractmethod
    async def append(
        self, topic: Topic, records: list[Record], guard: Condition | Fence | None
    ) -> Result[Appended, CallFault]:
        """Add records, all or none."""

    @abstractmethod
    async def read(
        self, topic: Topic, offset: int, wait_ms: int
    ) -> Result[Page, CallFault]:
        """Return records from ``offset`` on, waiting for the first one."""

    @abstractmethod
    async def newest(self, topic: Topic) -> Result[Newest, CallFault]:
        """Return the newest record of each key."""


class Listings(ABC):
    """Reads what endpoints say of themselves in the store."""

    @abstractmethod
    def decode(self, record: Record) -> Listing | None:
        """Return the listing, or none if the record names no usable endpoint."""


class WaveOrder(msgspec.Struct, frozen=True):
    """An operator's request to maintain VMs.

    :param within_s: time that it may take, in seconds.
    :param max_concurrent: most VMs that may be down for it at the same time.
    """

    id: WaveId
    vms: tuple[VmId, ...]
    within_s: float
    max_concurrent: int


class OperatorRecords(ABC):
    """Reads what operators write to the store, and writes what they read."""

    @abstractmethod
    def decode(self, record: Record) -> Configuration | WaveOrder | None:
        """Return what the record holds, or none for a record of another kind."""

    @abstractmethod
    def encode_wave_status(self, wave: WaveId, *, completed: bool) -> Record:
        """Return the record that tells how far a wave is."""


class StartAnswer(msgspec.Struct, frozen=True):
    """An endpoint's answer to an order.

    :param clock_ms: its clock; 0 if it wasn't told.
    """

    outcome: StartOutcome
    clock_ms: int = 0
    detail: str = ""


class EndpointPort(ABC):
    """Orders to endpoints."""

    @abstractmethod
    async def start(self, run: Run, payload: str, token: int) -> StartAnswer:
        """Start a run under a lease until ``run.until_ms``."""

    @abstractmethod
    async def stop(self, run: Run, token: int) -> Result[int, CallFault]:
        """Stop a run; return the endpoint's clock."""

    @abstractmethod
    async def pace(self, run: Run, percent: int, token: int) -> Result[int, CallFault]:
        """Let a run work at a share of its speed; return the endpoint's clock."""

    @abstractmethod
    async def poll(
        self, order: PollRequest, token: int
    ) -> Result[PollReport, CallFault]:
        """Look at what runs and has ended, and renew the lease."""


class AdvicePort(ABC):
    """The outside policy that says which endpoints may run a step."""

    @abstractmethod
    async def ask(
        self, wanted: AdviceRequest, within_s: float
    ) -> Result[AdviceAnswer, CallFault]:
        """Ask which of the named endpoints may run a step."""


class VmState(Enum):
    """What the platform says of a VM."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class ListedVm(msgspec.Struct, frozen=True):
    """A VM in the platform's list."""

    id: VmId
    pool: PoolId
    state: VmState
    zone: Zone
    labels: tuple[str, ...]
    capacity: Size
    endpoint: EndpointId | None


class OrderOutcome(Enum):
    """What became of an order for a VM."""

    DONE = "done"
    BUSY = "busy"
    #: Not of that wave.
    NOT_IN_WAVE = "not_in_wave"
    FENCED = "fenced"
    #: No such VM, or a pool of other VMs.
    IMPOSSIBLE = "impossible"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class VmPort(ABC):
    """The platform's VMs."""

    @abstractmethod
    async def list(self) -> Result[tuple[ListedVm, ...], CallFault]:
        """Return all VMs."""

    @abstractmethod
    async def move(self, vm: VmId, pool: PoolId, token: int) -> OrderOutcome:
        """Move a VM to another pool."""

    @abstractmethod
    async def maintain(self, vm: VmId, wave: WaveId, token: int) -> OrderOutcome:
        """Take a VM down for its maintenance."""
