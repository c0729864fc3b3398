"""One term of the coordinator: restores the engine, drives it, answers calls."""

import logging
import time

import anyio
import msgspec
from anyio.abc import TaskGroup
from result import Err, Ok

from hickoryplank.coordinator.calls import (
    Accepted,
    Answer,
    Ask,
    Call,
    Cancel,
    Cancelled,
    Count,
    Faulty,
    NoKey,
    NoSuchJob,
    NoSuchQueue,
    NotRun,
    PendingIs,
    StateIs,
    Submit,
    Unsettled,
    Where,
    Why,
)
from hickoryplank.coordinator.caretaker import Caretaker, FleetBounds
from hickoryplank.coordinator.journal import Deposed, Journal
from hickoryplank.coordinator.lease import LeaseKeeper
from hickoryplank.coordinator.ports import (
    AdvicePort,
    CallFault,
    EndpointPort,
    Fault,
    Listings,
    OperatorRecords,
    StorePort,
    Topic,
    VmPort,
)
from hickoryplank.coordinator.watcher import OperatorWatcher
from hickoryplank.core.ids import EndpointId, TeamId
from hickoryplank.jobs.advice import Wanted
from hickoryplank.jobs.directory import Queue
from hickoryplank.jobs.endpoints import Endpoint, Run
from hickoryplank.jobs.engine import Engine, Timing
from hickoryplank.jobs.messages import Pace, StartOutcome
from hickoryplank.jobs.model import Job, Step
from hickoryplank.jobs.records import (
    Record,
    RecordFault,
    VmOrdered,
    WaveProgress,
    apply_state,
    decode_job,
    decode_order,
    decode_wave,
    is_job_key,
    is_order_key,
    is_wave_key,
    job_of_key,
)
from hickoryplank.jobs.table import JobRow, JobState
from hickoryplank.shell.clock import Clock

__all__ = ["Coordinator", "Outside"]

logger = logging.getLogger(__name__)

#: Longest time between two ticks, in seconds; timers of the engine are that exact.
TICK_SECONDS = 0.1
#: Time between two reads of the list of endpoints, in seconds; a tenth of the time
#: within which a leaving endpoint may get no more work.
LISTINGS_SECONDS = 0.2
#: Wait before a start without an answer is sent again, in seconds.
RESEND_SECONDS = 0.15
#: Wait between two looks at an endpoint that doesn't answer, in seconds.
SILENT_SECONDS = 0.25
#: How long leases are renewed without proof that this entry is the coordinator, in
#: seconds: the store's usual outages.
BLIND_RENEWAL_SECONDS = 5.0
#: Age of the configuration from which calls with a key are turned away, in seconds;
#: the users' bound on a withdrawn key is 5 s.
STALE_SECONDS = 3.0
#: Longest wait for a version that the entry has seen already, in seconds.
VERSION_SECONDS = 0.3
#: Longest wait until an answer is stored, in seconds; a caller waits three.
STORE_SECONDS = 1.5
#: Longest wait for stored ends before an endpoint is looked at again, in seconds.
ENDS_SECONDS = 0.3
#: Time between two looks for advice that is wanted, in seconds.
ADVICE_SECONDS = 0.02
#: Shortest wait for advice, in seconds: a few times what another call takes.
LEAST_ADVICE_SECONDS = 0.5
#: Times that the stated time of an answer is waited for.
ADVICE_TIMES = 3.0
#: Longest wait for open calls before the lease is given up, in seconds.
FINISH_SECONDS = 0.4
#: How long after the store was away a missing endpoint may still come back, in
#: seconds; the platform states about two.
RELIST_SECONDS = 2.5


class Outside(msgspec.Struct, frozen=True):
    """What a coordinator works on."""

    store: StorePort
    endpoints: EndpointPort
    listings: Listings
    clock: Clock
    timing: Timing
    vms: VmPort
    operator: OperatorRecords
    fleet: FleetBounds
    advice: AdvicePort | None = None


class Coordinator:
    """One term, from the moment that the lease was taken."""

    def __init__(self, outside: Outside, lease: LeaseKeeper, watcher: OperatorWatcher):
        self._out = outside
        self._lease = lease
        self._watcher = watcher
        self.token = lease.number
        self._journal = Journal(outside.store, self.token)
        self.engine: Engine | None = None
        self._wake = anyio.Event()
        self._stored = anyio.Event()
        self._listings_next = 0
        self._listings_failed_at = outside.clock.now()
        self._missing: dict[EndpointId, float] = {}
        self._looked_at: set[Endpoint] = set()
        self._open_calls = 0
        self._finishing = False
        self._tasks: TaskGroup | None = None
        self._caretaker = Caretaker(
            outside.vms,
            outside.store,
            outside.operator,
            lease,
            watcher,
            outside.clock,
            outside.fleet,
        )

    # A term

    async def run(self) -> None:
        """Restore and drive the engine until another entry takes over."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._watch_lease)
                await self._restore()
                tasks.start_soon(self._commit_loop)
                tasks.start_soon(self._listings_loop)
                tasks.start_soon(self._directory_loop)
                if self._out.advice is not None:
                    tasks.start_soon(self._advice_loop, self._out.advice)
                tasks.start_soon(
                    self._caretaker.run, self._running(), self._journal, self.token
                )
        except* Deposed as group:
            detail = str(group.exceptions[0])
            logger.warning("term ended", extra={"number": self.token, "detail": detail})
        finally:
            self.engine = None

    async def _watch_lease(self) -> None:
        while self._lease.held and self._lease.number == self.token:
            await self._lease.changed.wait()
        raise Deposed("the lease is another entry's")

    async def _restore(self) -> None:
        begun = self._out.clock.now()
        await self._journal.open()
        rows = await self._read_jobs()
        await self._watcher.refresh()
        directory = self._watcher.directory
        while directory is None:
            await self._watcher.changed.wait()
            directory = self._watcher.directory
        now = self._out.clock.now()
        engine = Engine(directory, self._out.timing, now)
        engine.restore(rows)
        self.engine = engine
        await self._read_all_listings()
        logger.info(
            "term begun",
            extra={
                "number": self.token,
                "jobs": len(rows),
                "open": len(engine.open),
                "endpoints": len(engine.endpoints),
                "ms": int((self._out.clock.now() - begun) * 1000),
            },
        )

    async def _read_jobs(self) -> list[JobRow]:
        rows: dict[str, JobRow] = {}
        states: list[Record] = []
        wall_ms = time.time_ns() // 1_000_000
        for record in await self._newest(Topic.JOBS):
            if is_wave_key(record.key) or is_order_key(record.key):
                self._restore_vms(record)
                continue
            if not is_job_key(record.key):
                states.append(record)
                continue
            match decode_job(record):
                case Job() as job:
                    age = max(0, wall_ms - job.accepted_ms) / 1000
                    rows[job.id] = JobRow(job, self._out.clock.now() - age)
                case RecordFault(key, detail):
                    logger.error(
                        "job can't be read", extra={"key": key, "detail": detail}
                    )
        for record in states:
            row = rows.get(job_of_key(record.key))
            fault = apply_state(row, record) if row is not None else None
            if fault is not None:
                logger.error("state can't be read", extra={"detail": fault.detail})
        return list(rows.values())

    def _restore_vms(self, record: Record) -> None:
        decode = decode_wave if is_wave_key(record.key) else decode_order
        match decode(record):
            case WaveProgress(wave, done):
                self._caretaker.restore_wave(wave, set(done))
            case VmOrdered() as order:
                self._caretaker.restore_order(order)
            case RecordFault(key, detail):
                logger.error(
                    "record can't be read", extra={"key": key, "detail": detail}
                )

    async def _newest(self, topic: Topic) -> tuple[Record, ...]:
        while True:
            match await self._out.store.newest(topic):
                case Ok(newest):
                    if topic is Topic.LISTINGS:
                        self._listings_next = newest.end
                    return newest.records
                case Err(fault):
                    logger.info(
                        "topic not read",
                        extra={"topic": topic.value, "detail": fault.detail},
                    )
                    await anyio.sleep(SILENT_SECONDS)

    # Storing what the engine decides

    def wake(self) -> None:
        """Have the engine run its systems soon."""
        self._wake.set()

    async def _commit_loop(self) -> None:
        while True:
            with anyio.move_on_after(TICK_SECONDS):
                await self._wake.wait()
            self._wake = anyio.Event()
            await self._commit()

    async def _commit(self) -> None:
        engine = self._running()
        now = self._out.clock.now()
        engine.tick(now, time.time_ns() // 1_000_000)
        batch = engine.take_batch()
        stored, self._stored = self._stored, anyio.Event()
        self._log_notes(engine)
        self._send_stops(engine)
        if batch.records:
            await self._journal.append(batch.records)
        for run in engine.stored(batch, self._out.clock.now()):
            self._group().start_soon(self._start, run)
        stored.set()

    def _log_notes(self, engine: Engine) -> None:
        notes, engine.notes = engine.notes, []
        for note in notes:
            extra = {"request": note.job, "why": note.why}
            if note.key is not None:
                extra |= {
                    "step": note.key.step,
                    "task": note.key.index,
                    "attempt": note.attempt,
                    "endpoint": note.endpoint,
                }
            logger.info(note.happening.value, extra=extra)

    def _running(self) -> Engine:
        if self.engine is None:
            raise Deposed("no engine")
        return self.engine

    def _group(self) -> TaskGroup:
        if self._tasks is None:
            raise Deposed("no term")
        return self._tasks

    async def _until_stored(self) -> bool:
        """Wait until all that the engine knows now is stored."""
        stored = self._stored
        self.wake()
        with anyio.move_on_after(STORE_SECONDS):
            await stored.wait()
            return True
        return False

    # Orders to endpoints

    async def _start(self, run: Run) -> None:
        engine = self._running()
        row = engine.jobs[run.key.job]
        tries = 0
        again = True
        while again:
            tries += 1
            answer = await self._out.endpoints.start(run, row.job.payload, self.token)
            now = self._out.clock.now()
            again = engine.start_answered(
                run, answer.outcome, tries, answer.clock_ms, now
            )
            if answer.outcome is not StartOutcome.STARTED or tries > 1:
                self._log_start(run, tries, answer.outcome, answer.detail)
            if answer.outcome is StartOutcome.FENCED:
                self._fenced()
            if again:
                await anyio.sleep(RESEND_SECONDS)
            elif answer.outcome is not StartOutcome.STARTED:
                self.wake()

    def _log_start(self, run: Run, tries: int, outcome, detail: str) -> None:
        logger.info(
            "start answered",
            extra={
                "request": run.key.job,
                "step": run.key.step,
                "task": run.key.index,
                "attempt": run.attempt,
                "endpoint": run.endpoint.id,
                "tries": tries,
                "outcome": outcome.value,
                "detail": detail[:200],
            },
        )

    def _send_stops(self, engine: Engine) -> None:
        stops, engine.stops = engine.stops, []
        for run in stops:
            self._group().start_soon(self._stop, run)
        paces, engine.paces = engine.paces, []
        for change in paces:
            self._group().start_soon(self._pace, change)

    async def _stop(self, run: Run) -> None:
        match await self._out.endpoints.stop(run, self.token):
            case Ok(clock_ms):
                now = self._out.clock.now()
                run.endpoint.heard(clock_ms, now)
                self._running().stop_answered(run, now)
            case Err(CallFault(Fault.FENCED, _)):
                self._fenced()
            case Err(fault):
                logger.info(
                    "stop not answered",
                    extra={
                        "request": run.key.job,
                        "endpoint": run.endpoint.id,
                        "detail": fault.detail[:200],
                    },
                )

    async def _pace(self, change: Pace) -> None:
        run = change.run
        answer = await self._out.endpoints.pace(run, change.percent, self.token)
        logger.info(
            "paced",
            extra={
                "request": run.key.job,
                "endpoint": run.endpoint.id,
                "percent": change.percent,
                "done": answer.is_ok(),
            },
        )

    def _fenced(self) -> None:
        """End the term, as only a later coordinator has a higher token.

        :raises Deposed: always.
        """
        self._lease.lose()
        raise Deposed("an endpoint has seen a higher fencing token")

    # Looks at endpoints

    async def _look_loop(self, endpoint: Endpoint) -> None:
        engine = self._running()
        clock = self._out.clock
        while engine.endpoints.get(endpoint.id) is endpoint:
            renew = self._lease.proof_age() < BLIND_RENEWAL_SECONDS
            order = engine.hold_order(endpoint, clock.now(), renew=renew)
            asked_at = clock.now()
            match await self._out.endpoints.hold(order, self.token):
                case Ok(report):
                    news = bool(report.ends) or not endpoint.held
                    engine.hold_answered(endpoint, report, asked_at, clock.now())
                    self._follow_endpoints(engine)
                    if news:
                        stored = self._stored
                        self.wake()
                        with anyio.move_on_after(ENDS_SECONDS):
                            await stored.wait()
                case Err(CallFault(Fault.FENCED, _)):
                    self._fenced()
                case Err(CallFault(Fault.OTHER_LIFE, detail)):
                    logger.info(
                        "endpoint's life ended",
                        extra={"endpoint": endpoint.id, "detail": detail},
                    )
                    engine.lose_endpoint(endpoint, clock.now())
                    self.wake()
                case Err(fault):
                    if endpoint.silent_since is None and not endpoint.closing:
                        logger.info(
                            "endpoint silent",
                            extra={"endpoint": endpoint.id, "detail": fault.detail},
                        )
                    engine.hold_lost(endpoint, clock.now())
                    await anyio.sleep(SILENT_SECONDS)
        self._looked_at.discard(endpoint)
        self._out.endpoints.forget(endpoint.id)

    def _follow_endpoints(self, engine: Engine) -> None:
        for endpoint in engine.endpoints.values():
            if endpoint not in self._looked_at:
                self._looked_at.add(endpoint)
                self._group().start_soon(self._look_loop, endpoint)

    # The list of endpoints

    async def _listings_loop(self) -> None:
        clock = self._out.clock
        while True:
            await anyio.sleep(LISTINGS_SECONDS)
            engine = self._running()
            match await self._out.store.read(Topic.LISTINGS, self._listings_next, 0):
                case Ok(page):
                    self._listings_next = page.next
                    for record in page.records:
                        self._take_listing(engine, record)
                case Err(CallFault(Fault.TRIMMED, _)):
                    await self._read_all_listings()
                case Err(_):
                    self._listings_failed_at = clock.now()
                    continue
            self._unlist_missing(engine)
            engine.forget_places(clock.now())
            self._follow_endpoints(engine)

    async def _read_all_listings(self) -> None:
        engine = self._running()
        records = await self._newest(Topic.LISTINGS)
        named = {EndpointId(record.key) for record in records if record.value}
        for record in records:
            self._take_listing(engine, record)
        for endpoint in engine.endpoints.values():
            if endpoint.id not in named:
                self._missing.setdefault(endpoint.id, self._out.clock.now())
        self._follow_endpoints(engine)

    def _take_listing(self, engine: Engine, record: Record) -> None:
        id = EndpointId(record.key)
        if not record.value:
            self._missing.setdefault(id, self._out.clock.now())
            return
        listing = self._out.listings.decode(record)
        if listing is None:
            return
        self._missing.pop(id, None)
        engine.list_endpoint(listing, self._out.clock.now())

    def _unlist_missing(self, engine: Engine) -> None:
        """Drop endpoints that are missing, and not just because of an outage."""
        now = self._out.clock.now()
        if now - self._listings_failed_at < RELIST_SECONDS:
            return
        for id in list(self._missing):
            del self._missing[id]
            engine.unlist_endpoint(id)

    async def _advice_loop(self, port: AdvicePort) -> None:
        """Ask for advice, one call at a time, as the service answers them."""
        clock = self._out.clock
        while True:
            engine = self._running()
            wanted = engine.advice.next_wanted()
            if wanted is None:
                await anyio.sleep(ADVICE_SECONDS)
                continue
            asked_at = clock.now()
            match await port.ask(wanted, _advice_wait_s(engine, wanted)):
                case Ok(advised):
                    engine.advice.take(wanted, advised, asked_at)
                    self.wake()
                case Err(fault):
                    logger.info(
                        "advice not given",
                        extra={"request": wanted.step.job, "detail": fault.detail},
                    )
                    await anyio.sleep(SILENT_SECONDS)

    async def _directory_loop(self) -> None:
        while True:
            changed = self._watcher.changed
            directory = self._watcher.directory
            engine = self._running()
            if directory is not None and directory is not engine.directory:
                engine.directory = directory
                self.wake()
            await changed.wait()

    # Calls

    async def answer(self, call: Call) -> Answer:
        """Answer a caller's call."""
        if self.engine is None or self._finishing or not self._lease.valid():
            return NotRun(Why.NO_COORDINATOR)
        self._open_calls += 1
        try:
            return await self._answer(call)
        finally:
            self._open_calls -= 1

    async def finish(self) -> None:
        """Take no more calls, and wait for the answers to those taken."""
        self._finishing = True
        with anyio.move_on_after(FINISH_SECONDS):
            while self._open_calls:
                await anyio.sleep(0.01)

    async def _answer(self, call: Call) -> Answer:
        await self._await_version(call.where.version)
        found = self._admit(call.where)
        if not isinstance(found, _Admitted):
            return found
        match call:
            case Submit():
                return await self._submit(call, found)
            case Cancel(_, id):
                return await self._cancel(id, found)
            case Ask(_, id):
                return self._state(id, found)
            case Count():
                if found.rest:
                    return NoSuchQueue()
                return PendingIs(self._running().pending(found.queue.id))

    async def _await_version(self, version: int) -> None:
        with anyio.move_on_after(VERSION_SECONDS):
            while self._watcher.version < version:
                await self._watcher.changed.wait()

    def _admit(self, where: Where) -> "_Admitted | Answer":
        directory = self._watcher.directory
        if directory is None:
            return NotRun(Why.NO_CONFIGURATION)
        if self._watcher.age() > STALE_SECONDS:
            return NotRun(Why.STORE_AWAY)
        target = directory.resolve(where.host, where.path)
        if target is None:
            return NoSuchQueue()
        team = directory.team_of_key.get(where.key)
        if team is None and not target.queue.open:
            return NoKey()
        return _Admitted(target.queue, target.rest, team or TeamId(""))

    async def _submit(self, call: Submit, found: "_Admitted") -> Answer:
        engine = self._running()
        if found.rest != call.id:
            return NoSuchQueue()
        if call.id not in engine.jobs and self._journal.failing:
            return NotRun(Why.STORE_AWAY)
        fault = _check_steps(call)
        if fault:
            return Faulty(fault)
        told = call.submission
        job = Job(
            id=call.id,
            queue=found.queue.id,
            pool=found.queue.pool,
            team=found.team,
            payload=told.payload,
            steps=told.steps,
            accepted_ms=time.time_ns() // 1_000_000,
            repeats=told.repeats,
            first_ms=told.first_ms,
            period_ms=told.period_ms,
        )
        engine.submit(job, self._out.clock.now())
        stored = await self._until_stored()
        logger.info(
            "job taken",
            extra={
                "request": job.id,
                "queue": job.queue,
                "team": job.team,
                "stored": stored,
                "steps": [_step_summary(step) for step in job.steps],
            },
        )
        if stored:
            return Accepted()
        return Unsettled("the job isn't stored yet")

    async def _cancel(self, id, found: "_Admitted") -> Answer:
        engine = self._running()
        row = engine.jobs.get(id)
        if row is None or row.job.queue != found.queue.id:
            return NoSuchJob()
        engine.cancel(row, self._out.clock.now())
        if await self._until_stored():
            return Cancelled()
        return Unsettled("the end isn't stored yet")

    def _state(self, id, found: "_Admitted") -> Answer:
        row = self._running().jobs.get(id)
        if row is None or row.job.queue != found.queue.id:
            return NoSuchJob()
        if row.stored.final:
            return StateIs(row.stored)
        return StateIs(JobState.RUNNING if row.begun else JobState.QUEUED)


class _Admitted(msgspec.Struct, frozen=True):
    """A call that the configuration allows."""

    queue: Queue
    rest: str
    team: TeamId


def _advice_wait_s(engine: Engine, wanted: Wanted) -> float:
    """Return how long advice may take, in seconds."""
    row = engine.jobs.get(wanted.step.job)
    queue = engine.directory.queues.get(row.job.queue) if row is not None else None
    stated = queue.advice if queue is not None else None
    if stated is None:
        return LEAST_ADVICE_SECONDS
    ms = stated.decide_ms + stated.per_endpoint_ms * len(wanted.endpoints)
    return LEAST_ADVICE_SECONDS + ADVICE_TIMES * ms / 1000


def _step_summary(step: Step) -> str:
    """Return a step in a few words, for logs."""
    flags = [
        name
        for name in ("gang", "same_rack", "checkpointing", "speculative", "lasting")
        if getattr(step, name)
    ]
    flags += ["fills"] if step.fills else []
    flags += [f"most {step.max_per_endpoint}"] if step.max_per_endpoint else []
    flags += [f"target {step.target_ms} ms"] if step.target_ms else []
    flags += [f"may miss {step.may_miss}"] if step.may_miss else []
    flags += [f"label {step.required_label}"] if step.required_label else []
    flags += [f"near {step.affinity}"] if step.affinity else []
    size = step.size
    return (
        f"{step.count}x{size.cpu}m/{size.mem_mb}MB/{size.gpu}"
        f" {step.estimate_ms}ms after {list(step.after)} {' '.join(flags)}"
    )


def _check_steps(call: Submit) -> str:
    steps = call.submission.steps
    if not steps:
        return "a job needs a step"
    for number, step in enumerate(steps):
        if step.count < 1:
            return f"step {number} has no task"
        if any(not 0 <= one < number for one in step.after):
            return f"step {number} waits for a step that doesn't come before it"
    return ""
