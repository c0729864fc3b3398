"""State that the components of one term as coordinator share."""

import logging

import anyio
import msgspec
from anyio.abc import TaskGroup

from hickoryplank.coordinator.journal import Journal, TermEnded
from hickoryplank.coordinator.lease import LeaseManager
from hickoryplank.coordinator.metrics import EntryMetrics
from hickoryplank.coordinator.operator_watcher import OperatorWatcher
from hickoryplank.coordinator.ports import (
    AdvicePort,
    EndpointPort,
    ListingDecoder,
    OperatorRecordCodec,
    StorePort,
    VmPort,
)
from hickoryplank.coordinator.vm_controller import VmOperationBounds
from hickoryplank.core.ids import JobId
from hickoryplank.jobs.endpoints import Endpoint, endpoint_token
from hickoryplank.jobs.engine import Engine, EngineTiming
from hickoryplank.jobs.records import StoreBounds
from hickoryplank.jobs.shortage import ShortageOrder
from hickoryplank.shell.clock import Clock

__all__ = ["MAX_RENEWAL_AGE_SECONDS", "CoordinatorContext", "Term"]

logger = logging.getLogger(__name__)

#: Age of the last renewal of the coordinator's lease up to which run leases are renewed
#: and preassigned tasks are started, in seconds. It covers the usual outages of the
#: store.
MAX_RENEWAL_AGE_SECONDS = 5.0
#: Longest wait for a change to be stored before a call is answered, in seconds. Callers
#: wait 3 s.
STORE_TIMEOUT_SECONDS = 1.5


class CoordinatorContext(msgspec.Struct, frozen=True):
    """Interfaces and configuration with which a coordinator works.

    :param timing: durations that bound the engine.
    :param vm_bounds: durations of operations on VMs.
    :param advice: external advice service, if one is configured.
    :param shortage_order: order of service while a pool has too little room.
    :param store_bounds: bounds of the store on appends.
    """

    store: StorePort
    endpoints: EndpointPort
    listings: ListingDecoder
    clock: Clock
    timing: EngineTiming
    vms: VmPort
    operator: OperatorRecordCodec
    vm_bounds: VmOperationBounds
    metrics: EntryMetrics
    advice: AdvicePort | None = None
    shortage_order: ShortageOrder = ShortageOrder.DEADLINE
    store_bounds: StoreBounds = StoreBounds()


class Term:
    """One term of this entry as coordinator, from when it has taken the lease.

    :ivar fencing_token: epoch of the term, and fencing token of its orders for VMs.
    :ivar engine: none until it has been restored, and after the term.
    :ivar malformed_jobs: stored jobs whose state is not known.
    :ivar tasks: task group of the term.
    :ivar stored: set once the present state of the engine has been stored.
    :ivar tick_requested: set to run a tick of the engine early.
    """

    def __init__(
        self, context: CoordinatorContext, lease: LeaseManager, watcher: OperatorWatcher
    ):
        self.context = context
        self.lease = lease
        self.watcher = watcher
        self.fencing_token = lease.epoch
        self.journal = Journal(context.store, self.fencing_token, context.store_bounds)
        self.engine: Engine | None = None
        self.malformed_jobs: frozenset[JobId] = frozenset()
        self.tasks: TaskGroup | None = None
        self.stored = anyio.Event()
        self._storing = anyio.Event()
        self._ended = False
        self.tick_requested = anyio.Event()

    def request_tick(self) -> None:
        """Request a tick of the engine as soon as possible."""
        self.tick_requested.set()

    def renewed_recently(self) -> bool:
        """Return whether the last renewal of the coordinator's lease is recent.

        Only then run leases are renewed and preassigned tasks are started.
        """
        return self.lease.renewal_age() < MAX_RENEWAL_AGE_SECONDS

    def require_engine(self) -> Engine:
        """Return the engine.

        :raises TermEnded: if it has not been restored yet, or the term has ended.
        """
        if self.engine is None:
            raise TermEnded("engine is not restored, or the term has ended")
        return self.engine

    def require_tasks(self) -> TaskGroup:
        """Return the task group of the term.

        :raises TermEnded: if the term has not begun.
        """
        if self.tasks is None:
            raise TermEnded("term has not begun")
        return self.tasks

    async def wait_until_stored(self) -> bool:
        """Wait until the present state of the engine has been stored.

        :return: whether it was stored within ``STORE_TIMEOUT_SECONDS``, and before the
            end of the term.
        """
        stored = self.stored
        self.request_tick()
        with anyio.move_on_after(STORE_TIMEOUT_SECONDS):
            await stored.wait()
            return not self._ended
        return False

    def begin_storing(self) -> anyio.Event:
        """Return the event to be set once the present state has been stored."""
        self._storing, self.stored = self.stored, anyio.Event()
        return self._storing

    def end(self) -> None:
        """End the term; calls that wait for the store don't wait any longer."""
        self._ended = True
        self.engine = None
        self._storing.set()
        self.stored.set()

    def token_for(self, endpoint: Endpoint) -> int:
        """Return the fencing token of calls to an endpoint."""
        return endpoint_token(self.fencing_token, endpoint.token_number)

    def end_if_fenced(self, endpoint: Endpoint, token: int) -> None:
        """End the term after an endpoint has refused a call for its fencing token.

        Only a later coordinator can have sent a higher one, unless this one has raised
        its own since the call was sent.

        :param endpoint: the incarnation to which the call belongs now.
        :param token: fencing token of the refused call.
        :raises TermEnded: if a later coordinator has called the endpoint.
        """
        current = self.require_engine().endpoints.get(endpoint.id)
        if current is not endpoint or token < self.token_for(endpoint):
            logger.info(
                "endpoint refused a call by a former token",
                extra={"endpoint": endpoint.id, "born_ms": endpoint.listing.born_ms},
            )
            return
        self.lease.mark_lost()
        raise TermEnded("an endpoint has seen a higher fencing token")
