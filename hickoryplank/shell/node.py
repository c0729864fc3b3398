"""Assembles the components of a node around its replica."""

import time
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from hickoryplank.core.escrow import Escrow
from hickoryplank.core.fold import FoldResult
from hickoryplank.core.ids import NodeId
from hickoryplank.core.maintenance import MaintenancePolicy
from hickoryplank.core.messages import (
    Accepted,
    Answered,
    Cancel,
    DemandReport,
    Envelope,
    Forward,
    Heartbeat,
    Inquiry,
    InquiryAnswer,
    RunningCounts,
    UnitsRequest,
)
from hickoryplank.core.moves import MovePolicy
from hickoryplank.core.queues import BacklogLimits
from hickoryplank.core.records import EditSet, Record
from hickoryplank.core.running_counts import RunningCountsReporter
from hickoryplank.external.log import Log
from hickoryplank.external.vmlist import VmList
from hickoryplank.external.worker import WorkerDirectory
from hickoryplank.settings import Settings
from hickoryplank.shell.api import CallerApi, CallerLimits
from hickoryplank.shell.attempts import AttemptRunner
from hickoryplank.shell.claim_manager import ClaimManager
from hickoryplank.shell.claimed_runs import ClaimedAttemptRunner
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.dispatcher import Dispatcher
from hickoryplank.shell.fleet_statistics import FleetStatistics
from hickoryplank.shell.freshness_exchange import FreshnessExchange
from hickoryplank.shell.maintenance_controller import MaintenanceController
from hickoryplank.shell.membership import HEARTBEAT_INTERVAL_SECONDS, Membership
from hickoryplank.shell.metrics import Metrics, MetricSources, observe_state
from hickoryplank.shell.move_controller import MoveController
from hickoryplank.shell.operator_history import OperatorHistory
from hickoryplank.shell.operator_http import OperatorSecurity
from hickoryplank.shell.operator_routes import operator_routes
from hickoryplank.shell.peer_transport import PeerListener, PeerTransport
from hickoryplank.shell.replica import Replica, new_record_id
from hickoryplank.shell.request_executor import RequestExecutor
from hickoryplank.shell.request_router import RequestRouter
from hickoryplank.shell.tasks import TaskSpawner
from hickoryplank.shell.telemetry import Telemetry
from hickoryplank.shell.units_manager import UnitsManager
from hickoryplank.shell.worker_clients import WorkerClients

__all__ = ["Node", "PlatformClients"]

METRICS_MEDIA_TYPE = "text/plain; version=0.0.4"


@dataclass(frozen=True)
class PlatformClients:
    """Clients of the platform's services."""

    log: Log
    vms: VmList
    workers: WorkerDirectory


class Node:
    """The components that one incarnation of a node runs."""

    def __init__(
        self,
        cfg: Settings,
        platform: PlatformClients,
        replica: Replica,
        peers: PeerListener,
        spawner: TaskSpawner,
        clock: Clock,
        metrics: Metrics,
        telemetry: Telemetry,
    ):
        self._metrics = metrics
        self.name: NodeId = cfg.node.name
        self._replica = replica
        self._spawner = spawner
        self._clock = clock
        secret = cfg.security.cluster_secret.reveal()
        self._transport = PeerTransport(peers, secret, replica.incarnation)
        self._membership = Membership(replica, self._transport, clock)
        self._freshness_exchange = FreshnessExchange(replica, self._transport, clock)
        self._workers = WorkerClients(platform.workers, clock)
        self._claims = ClaimManager(replica, spawner, clock)
        claimed_runner = ClaimedAttemptRunner(
            self._claims, replica, self._workers, clock
        )
        escrow = Escrow(replica.incarnation, new_record_id)
        attempt_runner = AttemptRunner(
            replica, self._workers, claimed_runner, clock, telemetry
        )
        backlog_limits = BacklogLimits(cfg.limits.queue_length, cfg.limits.queue_length)
        self._dispatcher = Dispatcher(
            replica, escrow, attempt_runner, clock, backlog_limits, telemetry
        )
        self._units_manager = UnitsManager(
            escrow,
            replica,
            self._transport,
            self._dispatcher.waiting_counts,
            spawner,
            clock,
        )
        self._executor = RequestExecutor(
            replica,
            self._membership,
            self._dispatcher,
            self._claims,
            claimed_runner,
            self._workers,
            spawner,
            clock,
        )
        policy = MaintenancePolicy(
            drain_timeout=cfg.maintenance.drain_timeout_seconds,
            reboot_timeout=cfg.maintenance.reboot_timeout_seconds,
            probe_timeout=cfg.maintenance.probe_timeout_seconds,
            max_reboots=cfg.maintenance.max_reboots,
        )
        self._maintenance = MaintenanceController(
            replica,
            self._membership,
            self._dispatcher,
            self._workers,
            platform.vms,
            policy,
            spawner,
            clock,
        )
        self._move_controller = MoveController(
            replica,
            self._membership,
            self._transport,
            self._dispatcher,
            MovePolicy(
                buffer_vms=cfg.moves.buffer_vms,
                hysteresis=cfg.moves.hysteresis_seconds,
                fill=cfg.moves.fill,
            ),
            spawner,
            clock,
        )
        self._router = RequestRouter(
            replica, self._membership, self._transport, self._executor, clock, telemetry
        )
        limits = CallerLimits(
            body_bytes=cfg.limits.body_bytes,
            wait_seconds=cfg.limits.request_timeout_seconds,
        )
        self._api = CallerApi(replica, self._router, limits, clock, telemetry)
        self._statistics = FleetStatistics(
            replica, self._membership, self._dispatcher, clock
        )
        self._observe(metrics, escrow)
        self._history = OperatorHistory()
        self._edit_folded = anyio.Event()
        self._moves_enabled = cfg.moves.enabled
        self._running_reporter = RunningCountsReporter()
        replica.subscribe(self._note_record)
        self.app = self._make_app(cfg)

    def _observe(self, metrics: Metrics, escrow: Escrow) -> None:
        sources = MetricSources(
            replica=self._replica,
            membership=self._membership,
            transport=self._transport,
            dispatcher=self._dispatcher,
            escrow=escrow,
            statistics=self._statistics,
            clock=self._clock,
        )
        observe_state(metrics.meter, sources)

    def _make_app(self, cfg: Settings) -> Starlette:
        security = OperatorSecurity(cfg.security.operators, cfg.limits.body_bytes)
        return Starlette(
            routes=[
                *self._api.routes(),
                *operator_routes(
                    self._replica,
                    self._history,
                    security,
                    statistics=self._statistics,
                    tasks_by_vm=self._dispatcher.tasks_by_vm,
                ),
                Route("/health", self._health),
                Route("/ready", self._ready),
                Route("/metrics", self._metrics_page),
            ]
        )

    async def start(self, group: TaskGroup) -> None:
        """Start the node's tasks.

        :param group: the task group of the process.
        """
        group.start_soon(self._transport.serve, self._receive)
        for task in (
            self._send_heartbeats,
            self._freshness_exchange.serve,
            self._dispatcher.serve,
            self._units_manager.serve,
            self._statistics.serve,
            self._executor.adopt_orphans,
            self._maintenance.serve,
            self._maintenance.poll_vm_list,
            self._maintenance.delete_expired_claims,
        ):
            self._spawner.start_service(task)
        if self._moves_enabled:
            self._spawner.start_service(self._move_controller.serve)

    def begin_leaving(self) -> None:
        """Give up ownership of pools, and tell the load balancer and peers."""
        self._membership.leaving = True
        self._membership.send_heartbeats()

    def refuse_work(self) -> None:
        """Refuse new requests of callers; open requests are completed."""
        self._api.refusing = True

    @property
    def busy(self) -> bool:
        """Whether work is in progress that stopping the node would interrupt."""
        return bool(
            self._dispatcher.busy
            or self._router.peer_requests
            or self._claims.pending_outcomes
            or self._api.open_requests
        )

    async def wait_until_gone(self) -> None:
        """Wait until the log records that this incarnation is gone."""
        while self._replica.tables.is_live(self._replica.incarnation):
            await self._replica.wait_until_advanced()

    async def _send_heartbeats(self) -> None:
        """Send heartbeats periodically, and at once after an edit set was folded."""
        while True:
            self._membership.send_heartbeats()
            self._report_running()
            with anyio.move_on_after(HEARTBEAT_INTERVAL_SECONDS):
                await self._edit_folded.wait()
            self._edit_folded = anyio.Event()

    def _report_running(self) -> None:
        counts = {team: n for team, n in self._dispatcher.running.items() if n}
        peers = len(self._replica.other_incarnations())
        running = self._running_reporter.next_report(counts, peers, self._clock.now())
        if running is not None:
            self._transport.broadcast(running)

    def _note_record(self, record: Record, fold_result: FoldResult) -> None:
        self._history.note(record, fold_result, self._replica.offset - 1, time.time())
        self._statistics.note_record(record, fold_result)
        if isinstance(record, EditSet):
            self._edit_folded.set()

    async def _receive(self, envelope: Envelope) -> None:
        sender = envelope.sender
        match envelope.message:
            case Heartbeat() as heartbeat:
                self._membership.note_heartbeat(sender, heartbeat)
            case Forward(request):
                self._spawner.start_soon(self._router.handle_forwarded, sender, request)
            case Accepted() as accepted:
                self._router.note_accepted(sender, accepted)
            case Answered() as answered:
                self._router.note_answered(sender, answered)
            case Cancel() as cancel:
                self._router.note_cancelled(cancel)
            case _:
                self._receive_control(envelope)

    def _receive_control(self, envelope: Envelope) -> None:
        sender = envelope.sender
        match envelope.message:
            case Inquiry() as inquiry:
                self._freshness_exchange.answer(sender, inquiry)
            case InquiryAnswer() as answer:
                self._freshness_exchange.note_answer(sender, answer)
            case DemandReport() as demand_report:
                self._move_controller.note_demand_report(sender, demand_report)
            case UnitsRequest() as units_request:
                self._units_manager.note_request(sender, units_request)
            case RunningCounts() as running:
                self._dispatcher.note_running(sender, running)

    async def _health(self, _: Request) -> Response:
        return PlainTextResponse("alive\n")

    async def _metrics_page(self, _: Request) -> Response:
        return Response(self._metrics.text(), media_type=METRICS_MEDIA_TYPE)

    async def _ready(self, _: Request) -> Response:
        fresh = self._replica.freshness.is_fresh(self._clock.now())
        ready = fresh and not self._membership.leaving
        return PlainTextResponse(
            "ready\n" if ready else "not ready\n", 200 if ready else 503
        )
