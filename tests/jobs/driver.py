"""Drives an engine against fake endpoints and a fake store, with injected faults."""

import msgspec

from hickoryplank.core.ids import EndpointId, JobId, PoolId, QueueId, TeamId, Zone
from hickoryplank.jobs.configuration import (
    AdviceTiming,
    Configuration,
    Pool,
    Queue,
    Team,
)
from hickoryplank.jobs.endpoints import (
    TOKENS_PER_TERM,
    Endpoint,
    Listing,
    Run,
    endpoint_token,
)
from hickoryplank.jobs.engine import Engine, EngineTiming
from hickoryplank.jobs.messages import Batch, PollRequest, StartOutcome
from hickoryplank.jobs.model import Job, Step, TaskKey
from hickoryplank.jobs.quarantine import Fault
from hickoryplank.jobs.records import (
    Record,
    apply_states,
    decode_job,
    is_job_key,
    job_of_key,
)
from hickoryplank.jobs.sizes import ZERO, Size
from hickoryplank.jobs.table import JobRow
from tests.jobs.fake_endpoint import MAX_LEASE_MS, FakeEndpoint

POOL = PoolId("routes")
QUEUE = QueueId("plan")
TEAM = TeamId("norte")
ZONE = Zone("z")
CAPACITY = Size(4000, 8000, 0)
TASK = Size(1000, 1000, 0)
LEASE_MS = 4000
RETENTION_SECONDS = 180.0
STOP_GRACE_MS = 400
FORMER_LEASE_SECONDS = 9.0
#: Longer than any run of these tests, whose runs don't begin from a checkpoint.
RESTORE_MS = 5000


def timing_with_restore(restore_ms: int) -> EngineTiming:
    """Return the timing of the engine, given the least time of a resumed run."""
    return EngineTiming(
        LEASE_MS,
        600,
        FORMER_LEASE_SECONDS,
        MAX_LEASE_MS,
        RETENTION_SECONDS,
        STOP_GRACE_MS,
        restore_ms,
    )


def configuration(
    limit: Size = ZERO, attempts: int = 3, advice: AdviceTiming | None = None
) -> Configuration:
    """Return a configuration with one queue, pool and team."""
    return Configuration.build(
        1,
        [
            Queue(
                QUEUE,
                "a.example",
                "/p/",
                POOL,
                attempts=attempts,
                slack_ms=600,
                public=False,
                advice=advice,
            )
        ],
        [Pool(POOL)],
        [Team(TEAM, frozenset(["key"]), 1.0, limit)],
    )


def without_queues(cfg: Configuration) -> Configuration:
    """Return the next version of a configuration, with the same pools and teams."""
    return Configuration.build(
        cfg.version + 1, [], list(cfg.pools.values()), list(cfg.teams.values())
    )


def job(id: str, *steps: Step) -> Job:
    """Return a job of the team in ``configuration()``."""
    return Job(JobId(id), QUEUE, POOL, TEAM, "payload", steps, accepted_ms=0)


class Driver:
    """An engine, its endpoints, and a store that outlives the engine's terms.

    :param count: number of endpoints.
    :param work_ms: function of the key of a task that returns its run time in
        milliseconds, or none for a lasting task.
    :param cfg: the configuration.
    :param bounds: bounds of the store.
    :param timing: timing of the engine.
    """

    def __init__(
        self,
        count: int = 2,
        work_ms=lambda key: 500.0,
        cfg=None,
        bounds=None,
        timing: EngineTiming | None = None,
    ):
        self.timing = timing or timing_with_restore(RESTORE_MS)
        self.bounds = bounds
        self.now = 100.0
        self.cfg = cfg or configuration()
        self.work_ms = work_ms
        self.token = TOKENS_PER_TERM
        self.store: dict[str, bytes] = {}
        #: Batch of an append that the store has not answered yet.
        self.pending_batch: Batch | None = None
        #: Availability zones of endpoints; ``ZONE`` for all others.
        self.zones: dict[EndpointId, Zone] = {}
        #: Zones that the operators' records say are evacuated.
        self.evacuated: frozenset[Zone] = frozenset()
        self.endpoints = {
            id: self.build_endpoint(id, 1)
            for id in (EndpointId(f"e{number}") for number in range(count))
        }
        self.unreachable: set[EndpointId] = set()
        #: Endpoints that the list leaves out when a term begins.
        self.unlisted: set[EndpointId] = set()
        #: Endpoints that receive starts, but whose answers to them are lost.
        self.lost_answers: set[EndpointId] = set()
        #: Time, run and fencing token of each start to be delivered again.
        self.delayed_starts: list[tuple[float, Run, int]] = []
        #: Endpoint, poll and fencing token of each poll to be delivered again.
        self.late_polls: list[tuple[EndpointId, PollRequest, int]] = []
        #: Latest poll of each endpoint, with its fencing token.
        self.last_polls: dict[EndpointId, tuple[PollRequest, int]] = {}
        #: Number of times that each unanswered start was sent.
        self.tries: dict[Run, int] = {}
        #: Jobs whose records the store refuses for good.
        self.refused_jobs: set[JobId] = set()
        #: Whether something may be set aside; else what was raised is raised again.
        self.may_set_aside = False
        self.faults: list[Fault] = []
        self.engine = self._fresh_engine()

    def build_endpoint(self, id: EndpointId, born_ms: int) -> FakeEndpoint:
        """Return a new incarnation of an endpoint."""
        return FakeEndpoint(born_ms, self.work_ms)

    def _fresh_engine(self) -> Engine:
        engine = Engine(
            self.cfg, self.timing, self.now, self.wall_ms, bounds=self.bounds
        )
        self._list_endpoints(engine)
        return engine

    def _list_endpoints(self, engine: Engine) -> None:
        for id, one in self.endpoints.items():
            if id not in self.unlisted:
                engine.update_listing(self.listing_of(id, one.born_ms), self.now)

    def listing_of(
        self, id: EndpointId, born_ms: int, draining: bool = False
    ) -> Listing:
        """Return the listing of an incarnation of an endpoint, with its zone."""
        zone = self.zones.get(id, ZONE)
        return msgspec.structs.replace(listing(id, born_ms, draining), zone=zone)

    def assign_zones(self, zones: dict[EndpointId, Zone]) -> None:
        """Put endpoints into availability zones, and list them there."""
        self.zones = zones
        self._list_endpoints(self.engine)

    def evacuate_zones(self, *zones: Zone) -> None:
        """Evacuate these zones and no others, in this term and later ones."""
        self.evacuated = frozenset(zones)
        self.engine.set_evacuated_zones(self.evacuated, self.now)

    def take_over(self, applied: bool = False) -> None:
        """Begin the term of another coordinator from the stored records.

        :param applied: the unanswered append has been carried out.
        """
        if applied and self.pending_batch is not None:
            self._write(self.pending_batch)
        self.collect_faults()
        self.token += TOKENS_PER_TERM
        self.tries.clear()
        self.pending_batch = None
        self.engine = Engine(
            self.cfg, self.timing, self.now, self.wall_ms, bounds=self.bounds
        )
        self.engine.set_evacuated_zones(self.evacuated, self.now)
        rows: dict[str, JobRow] = {}
        for record in self.records():
            if is_job_key(record.key):
                decoded = decode_job(record)
                rows[decoded.id] = JobRow(decoded, self.now)
        states = [one for one in self.records() if not is_job_key(one.key)]
        faults, self.engine.unowned_records = apply_states(rows, states)
        assert faults == []
        self.engine.restore(rows.values())
        self._list_endpoints(self.engine)

    @property
    def wall_ms(self) -> int:
        """Time of day, in milliseconds."""
        return int(self.now * 1000)

    def configure(self, cfg: Configuration) -> None:
        """Put a configuration in force, for this term and later ones."""
        self.cfg = self.engine.configuration = cfg

    def relist(self) -> None:
        """List the endpoints that the list has left out."""
        self.unlisted = set()
        self._list_endpoints(self.engine)

    def records(self):
        """Return the stored records."""
        return [Record(key, value) for key, value in self.store.items()]

    def step(self, ms: int = 100, store_up: bool = True) -> None:
        """Advance the time, poll every endpoint, and run one tick.

        :param store_up: whether the store answers appends.
        """
        self.now += ms / 1000
        for one in self.endpoints.values():
            one.advance(ms)
        self._deliver_delayed_starts()
        self._deliver_late_polls()
        self.engine.release_unlisted_assignments(self.now)
        self.poll_endpoints()
        if self.pending_batch is None:
            self.engine.tick(self.now, self.wall_ms)
        else:
            self.engine.tick_preassigned(self.now, self.wall_ms)
        for run in self.engine.take_preassigned_starts(self.now):
            self._send_start(run)
        self._send_stops()
        if self.pending_batch is None:
            self.pending_batch = self.engine.take_batch()
        if store_up or not self.pending_batch.records:
            self.commit()
        self._resend_starts()
        self.collect_faults()

    def collect_faults(self) -> None:
        """Raise what has set something aside, or keep it if that is expected."""
        faults = self.engine.quarantine.take_faults()
        if faults and not self.may_set_aside:
            raise faults[0].exc
        self.faults += faults

    def poll_endpoints(self) -> None:
        """Poll every endpoint once, or twice if ends are to be acknowledged.

        After a report that was too old for that, a coordinator polls again at once.
        """
        for endpoint in list(self.engine.endpoints.values()):
            acknowledged = self._poll(endpoint)
            stored = endpoint.stored_end_number
            if stored > endpoint.confirmed_ack_number and not acknowledged:
                self._poll(endpoint)

    def _poll(self, endpoint: Endpoint) -> int:
        """Poll an endpoint; return the last end that was acknowledged, or 0."""
        request = self.engine.next_poll(endpoint, self.now, renew=True)
        asked_at = self.now
        fake = self.endpoints[endpoint.id]
        token = self.token_for(endpoint)
        self.last_polls[endpoint.id] = (request, token)
        if endpoint.id in self.unreachable:
            self.engine.poll_unanswered(endpoint, self.now, may_arrive=True)
            return 0
        report = fake.poll(token, request.acknowledged, request.until_ms)
        assert report is not None
        self.engine.poll_answered(endpoint, report, asked_at, self.now)
        return request.acknowledged

    def token_for(self, endpoint: Endpoint) -> int:
        """Return the fencing token of calls to an endpoint."""
        return endpoint_token(self.token, endpoint.token_number)

    def commit(self) -> None:
        """Store a batch and send its starts."""
        batch = self.pending_batch or self.engine.take_batch()
        self.pending_batch = None
        self._write(batch)
        refused = frozenset(one.key for one in batch.records if self._refuses(one))
        for run in self.engine.batch_stored(batch, self.now, refused):
            self._send_start(run)

    def _refuses(self, record: Record) -> bool:
        return bool(self.refused_jobs) and job_of_key(record.key) in self.refused_jobs

    def _write(self, batch: Batch) -> None:
        for record in batch.records:
            if self._refuses(record):
                continue
            if record.value:
                self.store[record.key] = record.value
            else:
                self.store.pop(record.key, None)

    def _send_start(self, run: Run) -> None:
        if not self.engine.is_start_due(run, self.tries.get(run, 0), self.now):
            self.tries.pop(run, None)
            return
        self.tries[run] = self.tries.get(run, 0) + 1
        self.note_start_sent(run)
        fake = self.endpoints[run.endpoint.id]
        outcome = StartOutcome.UNKNOWN
        clock_ms = 0
        if run.endpoint.id not in self.unreachable:
            reported_outcome = StartOutcome.NO_TICKET
            if self.accepts_ticket(run):
                reported_outcome = fake.start(
                    run.key,
                    run.attempt,
                    "payload",
                    run.until_ms,
                    self.token_for(run.endpoint),
                )
            if run.endpoint.id not in self.lost_answers:
                outcome, clock_ms = reported_outcome, int(fake.clock_ms)
        again = self.engine.start_answered(
            run, outcome, self.tries[run], clock_ms, self.now
        )
        if not again:
            self.tries.pop(run, None)

    def note_start_sent(self, run: Run) -> None:
        """Note that a start is sent, for the first time or again."""

    def accepts_ticket(self, run: Run) -> bool:
        """Return whether an endpoint accepts the ticket of a start."""
        return True

    def _resend_starts(self) -> None:
        for run in list(self.tries):
            self._send_start(run)

    def _send_stops(self) -> None:
        stops, self.engine.stops = self.engine.stops, []
        for run in stops:
            if run.endpoint.id in self.unreachable:
                continue
            fake = self.endpoints[run.endpoint.id]
            if fake.stop(run.key, run.attempt, self.token_for(run.endpoint)):
                self.engine.stop_answered(run, self.now)

    def deliver_later(self, run: Run, seconds: float) -> None:
        """Deliver a start again after a delay, with the present fencing token."""
        self.delayed_starts.append(
            (self.now + seconds, run, self.token_for(run.endpoint))
        )

    def _deliver_delayed_starts(self) -> None:
        for at, run, token in list(self.delayed_starts):
            if at <= self.now:
                self.delayed_starts.remove((at, run, token))
                self.endpoints[run.endpoint.id].start(
                    run.key, run.attempt, "payload", run.until_ms, token
                )

    def deliver_last_poll_later(self, id: EndpointId) -> None:
        """Deliver the last poll of an endpoint when the next incarnation has an end."""
        self.late_polls.append((id, *self.last_polls[id]))

    def _deliver_late_polls(self) -> None:
        for one in list(self.late_polls):
            id, request, token = one
            if id not in self.unreachable and self.endpoints[id].ends:
                self.late_polls.remove(one)
                self.endpoints[id].poll(token, request.acknowledged, request.until_ms)

    def restart_endpoint(self, id: EndpointId) -> None:
        """Begin a new incarnation of an endpoint under the same id, and list it."""
        before = self.endpoints[id]
        self.endpoints[id] = self.build_endpoint(id, before.born_ms + 1)
        if id not in self.unlisted:
            fresh = self.listing_of(id, before.born_ms + 1)
            self.engine.update_listing(fresh, self.now)

    def run_count(self, key: TaskKey) -> int:
        """Return the number of endpoints on which a task is running."""
        return sum(
            1
            for one in self.endpoints.values()
            for run_key in one.run_keys()
            if run_key[0] == key
        )


def listing(id: EndpointId, born_ms: int, draining: bool = False) -> Listing:
    """Return the listing of an endpoint."""
    return Listing(id, born_ms, f"{id}:1", POOL, ZONE, CAPACITY, ("a", "r1"), draining)
