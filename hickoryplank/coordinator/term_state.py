"""What the parts of one coordinator's term share."""

import anyio
import msgspec
from anyio.abc import TaskGroup

from hickoryplank.coordinator.journal import Deposed, Journal
from hickoryplank.coordinator.lease import LeaseManager
from hickoryplank.coordinator.metrics import EntryMetrics
from hickoryplank.coordinator.operator_watcher import OperatorWatcher
from hickoryplank.coordinator.ports import (
    AdvicePort,
    EndpointPort,
    Listings,
    OperatorRecords,
    StorePort,
    VmPort,
)
from hickoryplank.coordinator.vm_controller import VmOperationBounds
from hickoryplank.jobs.engine import Engine, EngineTiming
from hickoryplank.shell.clock import Clock

__all__ = ["MAX_RENEWAL_AGE_SECONDS", "CoordinatorContext", "Term"]

#: How long leases are renewed, and what is recorded ahead is started, without proof
#: that this entry is the coordinator, in seconds: the store's usual outages.
MAX_RENEWAL_AGE_SECONDS = 5.0
#: Longest wait until an answer is stored, in seconds; a caller waits three.
STORE_SECONDS = 1.5


class CoordinatorContext(msgspec.Struct, frozen=True):
    """What a coordinator works on."""

    store: StorePort
    endpoints: EndpointPort
    listings: Listings
    clock: Clock
    timing: EngineTiming
    vms: VmPort
    operator: OperatorRecords
    vm_bounds: VmOperationBounds
    metrics: EntryMetrics
    advice: AdvicePort | None = None


class Term:
    """One term, from the moment that the lease was taken.

    :param engine: none until the term has restored what the store has.
    :param stored: set once all that the engine knows now is stored.
    """

    def __init__(
        self, outside: CoordinatorContext, lease: LeaseManager, watcher: OperatorWatcher
    ):
        self.context = outside
        self.lease = lease
        self.watcher = watcher
        self.token = lease.number
        self.journal = Journal(outside.store, self.token)
        self.engine: Engine | None = None
        self.tasks: TaskGroup | None = None
        self.stored = anyio.Event()
        self.woken = anyio.Event()

    def wake(self) -> None:
        """Have the engine run its systems soon."""
        self.woken.set()

    def proven(self) -> bool:
        """Return whether proof of being coordinator is recent enough for orders."""
        return self.lease.proof_age() < MAX_RENEWAL_AGE_SECONDS

    def running(self) -> Engine:
        """Return the engine.

        :raises Deposed: the term has none yet, or any more.
        """
        if self.engine is None:
            raise Deposed("no engine")
        return self.engine

    def group(self) -> TaskGroup:
        """Return the term's tasks.

        :raises Deposed: the term hasn't begun.
        """
        if self.tasks is None:
            raise Deposed("no term")
        return self.tasks

    async def until_stored(self) -> bool:
        """Wait until all that the engine knows now is stored."""
        stored = self.stored
        self.wake()
        with anyio.move_on_after(STORE_SECONDS):
            await stored.wait()
            return True
        return False

    def fenced(self) -> None:
        """End the term, as only a later coordinator has a higher token.

        :raises Deposed: always.
        """
        self.lease.mark_lost()
        raise Deposed("an endpoint has seen a higher fencing token")
