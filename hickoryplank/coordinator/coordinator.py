"""One term of the coordinator: restores the engine and runs it."""

import logging

import anyio
import msgspec

from hickoryplank.coordinator.call_handler import CallHandler
from hickoryplank.coordinator.calls import Answer, Call
from hickoryplank.coordinator.endpoint_poller import EndpointPoller
from hickoryplank.coordinator.journal import TermEnded
from hickoryplank.coordinator.lease import LeaseManager
from hickoryplank.coordinator.metrics import EntryMetrics
from hickoryplank.coordinator.operator_watcher import OperatorWatcher
from hickoryplank.coordinator.recovery import read_jobs
from hickoryplank.coordinator.request_sender import RequestSender
from hickoryplank.coordinator.shortage_reporter import ShortageReporter
from hickoryplank.coordinator.term_state import CoordinatorContext, Term
from hickoryplank.coordinator.vm_controller import VmController
from hickoryplank.jobs.assignment import AllowedStarts
from hickoryplank.jobs.engine import Engine
from hickoryplank.jobs.evacuation import evacuated_load
from hickoryplank.jobs.messages import EndpointState
from hickoryplank.jobs.quarantine import Quarantine, SubjectKind
from hickoryplank.shell.clock import wall_ms

__all__ = ["Coordinator", "CoordinatorContext"]

logger = logging.getLogger(__name__)

#: Longest time between two ticks of the engine, in seconds. It is the resolution of
#: the engine's timers.
TICK_INTERVAL_SECONDS = 0.1
#: Time between two checks for preassigned starts while an append is in progress, in
#: seconds. It is a few times the usual duration of an append.
PREASSIGNED_INTERVAL_SECONDS = 0.05
#: Log fields of the ids of what is set aside, as in other lines.
_LOG_FIELDS = {
    SubjectKind.JOB: "request",
    SubjectKind.ENDPOINT: "endpoint",
    SubjectKind.PACE: "endpoint",
    SubjectKind.WAVE: "wave",
    SubjectKind.VM: "vm",
}


class Coordinator:
    """Runs the tasks of one term and stores the batches of the engine.

    :param context: interfaces to the platform, and the configuration of the term.
    :param lease: the lease that this entry holds.
    :param watcher: follows the configuration and the waves of operators.
    """

    def __init__(
        self, context: CoordinatorContext, lease: LeaseManager, watcher: OperatorWatcher
    ):
        self._term = Term(context, lease, watcher)
        self._call_handler = CallHandler(self._term)
        self._request_sender = RequestSender(self._term)
        self._endpoint_poller = EndpointPoller(self._term)
        self._shortage_reporter = ShortageReporter(context.metrics)
        self._vm_controller = VmController(
            context.vms,
            context.store,
            context.operator,
            lease,
            watcher,
            context.clock,
            context.vm_bounds,
        )

    @property
    def engine(self) -> Engine | None:
        """The engine; none until it has been restored."""
        return self._term.engine

    async def answer(self, call: Call) -> Answer:
        """Handle a call and return its answer."""
        return await self._call_handler.answer(call)

    async def drain_calls(self) -> None:
        """Reject new calls and wait until the open ones have been answered."""
        await self._call_handler.drain_calls()

    async def run(self) -> None:
        """Restore and run the engine until this entry loses or releases the lease."""
        term = self._term
        try:
            async with anyio.create_task_group() as tasks:
                term.tasks = tasks
                tasks.start_soon(self._watch_lease)
                await self._restore()
                tasks.start_soon(self._commit_loop)
                tasks.start_soon(self._preassigned_loop)
                tasks.start_soon(self._endpoint_poller.follow_listings)
                tasks.start_soon(self._operator_loop)
                if term.context.advice is not None:
                    tasks.start_soon(
                        self._request_sender.run_advice, term.context.advice
                    )
                tasks.start_soon(
                    self._vm_controller.run,
                    term.require_engine(),
                    term.journal,
                    term.fencing_token,
                )
        except* TermEnded as group:
            logger.warning(
                "term ended",
                extra={"number": term.fencing_token, "detail": _first_message(group)},
            )
        finally:
            term.context.metrics.evacuated_zones(0, 0)
            if term.engine is not None:
                record_faults(term.engine.quarantine, term.context.metrics)
            term.context.metrics.set_aside_counts(Quarantine().counts())
            term.end()

    async def _watch_lease(self) -> None:
        lease = self._term.lease
        while lease.held and lease.epoch == self._term.fencing_token:
            if lease.step_down_requested:
                # Open calls are repeated at the next coordinator, which is sooner than
                # this one would answer them.
                self._call_handler.reject_calls()
                await lease.release()
                raise TermEnded("lease released at the request of a stronger entry")
            await lease.changed.wait()
        raise TermEnded("lease lost to another entry")

    async def _restore(self) -> None:
        started_at = self._term.context.clock.now()
        # Only the jobs have to be read after the epoch has been raised. The other
        # reads run meanwhile, as each call takes a third of a second on a slow store.
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._term.watcher.refresh)
            tasks.start_soon(self._endpoint_poller.prefetch_listings)
            await self._term.journal.open()
            stored = await read_jobs(
                self._term.context.store, self._vm_controller, self._term.context.clock
            )
        configuration = self._term.watcher.configuration
        while configuration is None:
            await self._term.watcher.changed.wait()
            configuration = self._term.watcher.configuration
        now = self._term.context.clock.now()
        engine = Engine(
            configuration,
            self._term.context.timing,
            now,
            wall_ms(),
            shortage_order=self._term.context.shortage_order,
            bounds=self._term.context.store_bounds,
        )
        engine.restore(stored.rows)
        engine.cordon(self._vm_controller.recently_ordered_endpoints())
        engine.unowned_records = stored.unowned
        self._term.malformed_jobs = stored.malformed
        self._apply_evacuated_zones(engine)
        self._term.engine = engine
        await self._endpoint_poller.read_listings()
        logger.info(
            "term begun",
            extra={
                "number": self._term.fencing_token,
                "jobs": len(stored.rows),
                "open": len(engine.open_jobs),
                "endpoints": len(engine.endpoints),
                "ms": int((self._term.context.clock.now() - started_at) * 1000),
            },
        )

    async def _commit_loop(self) -> None:
        while True:
            with anyio.move_on_after(TICK_INTERVAL_SECONDS):
                await self._term.tick_requested.wait()
            self._term.tick_requested = anyio.Event()
            await self._commit()

    async def _commit(self) -> None:
        engine = self._term.require_engine()
        self._apply_evacuated_zones(engine)
        term_metrics = self._term.context.metrics
        now = self._term.context.clock.now()
        starts = (
            AllowedStarts.ANY
            if self._term.renewed_recently()
            else AllowedStarts.AFTER_RECORD
        )
        engine.tick(now, wall_ms(), starts)
        self._request_sender.send_starts(engine.take_preassigned_starts(now))
        batch = engine.take_batch()
        stored = self._term.begin_storing()
        self._record_events(engine)
        self._shortage_reporter.report(engine.shortages, now)
        record_faults(engine.quarantine, term_metrics)
        self._request_sender.send_stops_and_pace_changes(engine)
        refused: frozenset[str] = frozenset()
        if batch.records:
            started_at = self._term.context.clock.now()
            refused = await self._term.journal.append(batch.records)
            self._term.context.metrics.append(
                self._term.context.clock.now() - started_at
            )
            if refused:
                self._term.context.metrics.refused_records(len(refused))
        self._request_sender.send_starts(
            engine.batch_stored(batch, self._term.context.clock.now(), refused)
        )
        stored.set()

    async def _preassigned_loop(self) -> None:
        """Send preassigned starts while an append is in progress."""
        while True:
            await anyio.sleep(PREASSIGNED_INTERVAL_SECONDS)
            if not self._term.journal.appending or not self._term.renewed_recently():
                continue
            engine = self._term.require_engine()
            now = self._term.context.clock.now()
            engine.tick_preassigned(now, wall_ms())
            record_faults(engine.quarantine, self._term.context.metrics)
            self._request_sender.send_starts(engine.take_preassigned_starts(now))

    def _record_events(self, engine: Engine) -> None:
        events, engine.events = engine.events, []
        for event in events:
            self._term.context.metrics.event(event)
            extra: dict[str, object] = {"request": event.job, "why": event.reason}
            if event.key is not None:
                extra |= {
                    "step": event.key.step,
                    "task": event.key.index,
                    "attempt": event.attempt,
                    "endpoint": event.endpoint,
                }
            if event.endpoint_state is not None:
                extra |= _describe_state(
                    event.endpoint_state, self._term.context.clock.now()
                )
            logger.info(event.kind.value, extra=extra)
        missing, engine.missing_ends = engine.missing_ends, []
        for ends in missing:
            self._term.context.metrics.missing_ends(ends.last - ends.first + 1)
            logger.warning(
                "ends dropped unread",
                extra={"number": self._term.fencing_token, **msgspec.to_builtins(ends)},
            )

    async def _operator_loop(self) -> None:
        """Apply what operators have stored, as soon as it has been read."""
        while True:
            changed = self._term.watcher.changed
            configuration = self._term.watcher.configuration
            engine = self._term.require_engine()
            if configuration is not None and configuration is not engine.configuration:
                engine.configuration = configuration
                self._term.request_tick()
            if self._apply_evacuated_zones(engine):
                self._term.request_tick()
            await changed.wait()

    def _apply_evacuated_zones(self, engine: Engine) -> bool:
        """Pass the evacuated zones to the engine; return whether they have changed.

        This also runs before each tick: the first one of a term may come before the
        loop that follows the operators' records. Zones that were read before an outage
        of the store stay in force.
        """
        zones = self._term.watcher.evacuated_zones
        metrics = self._term.context.metrics
        if zones == engine.evacuated_zones.zones:
            if zones:
                metrics.evacuated_zones(len(zones), evacuated_load(engine).runs)
            return False
        engine.set_evacuated_zones(zones, self._term.context.clock.now())
        load = evacuated_load(engine)
        metrics.evacuated_zones(len(zones), load.runs)
        logger.info(
            "evacuated zones applied",
            extra={
                "number": self._term.fencing_token,
                "evacuated": sorted(zones),
                "read_s_ago": round(self._term.watcher.staleness(), 3),
                "endpoints": load.endpoints,
                "runs": load.runs,
                "lasting": load.lasting_runs,
            },
        )
        return True


def _describe_state(state: EndpointState, now: float) -> dict[str, object]:
    """Return log fields for the evidence on which a run was given up.

    :param now: time by the local clock, in seconds.
    """
    fields: dict[str, object] = {
        "born_ms": state.born_ms,
        "read_end": state.read_end,
        "stored_end": state.stored_end,
    }
    if state.reported_at > 0:
        fields["reported_s_ago"] = round(now - state.reported_at, 3)
    if state.silent_since is not None:
        fields["silent_s"] = round(now - state.silent_since, 3)
    return fields


def record_faults(quarantine: Quarantine, metrics: EntryMetrics) -> None:
    """Log and count what was set aside since the last call."""
    for fault in quarantine.take_faults():
        metrics.set_aside(fault.subject.kind)
        subject = {_LOG_FIELDS.get(fault.subject.kind, "id"): fault.subject.id}
        logger.error(
            "set aside",
            extra={
                "kind": fault.subject.kind.value,
                **subject,
                "failures": fault.failures,
                "pause_s": fault.pause_s,
            },
            exc_info=fault.exc,
        )
    metrics.set_aside_counts(quarantine.counts())


def _first_message(exc: BaseException) -> str:
    """Return the message of the first exception in a possibly nested group."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return str(exc)
