"""Composition root of an entry process on the users' platform."""

import logging
import signal
import socket
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING

import anyio
import anyio.to_thread
import msgspec
from aiohttp import web

from hickoryplank.coordinator.coordinator import Coordinator, CoordinatorContext
from hickoryplank.coordinator.forwarder import CallForwarder
from hickoryplank.coordinator.lease import Holder, LeaseManager
from hickoryplank.coordinator.metrics import EntryMetrics
from hickoryplank.coordinator.operator_watcher import OperatorWatcher
from hickoryplank.coordinator.speed import SpeedMonitor
from hickoryplank.coordinator.term_state import MAX_RENEWAL_AGE_SECONDS
from hickoryplank.coordinator.vm_controller import VmOperationBounds
from hickoryplank.entry_logs import configure_entry_logs
from hickoryplank.entry_peers import PeerCallHandler
from hickoryplank.entry_settings import EntrySettings
from hickoryplank.entry_socket import LISTEN_BACKLOG, bound_address, open_listener
from hickoryplank.http_client import HttpClient
from hickoryplank.jobs.engine import EngineTiming
from hickoryplank.jobs.records import StoreBounds
from hickoryplank.jobs.shortage import ShortageOrder
from hickoryplank.platform.advice import PlatformAdvice
from hickoryplank.platform.endpoints import PlatformEndpoints
from hickoryplank.platform.ingress import Ingress
from hickoryplank.platform.records import (
    PlatformListingDecoder,
    PlatformOperatorRecordCodec,
)
from hickoryplank.platform.store import PlatformStore
from hickoryplank.platform.vms import PlatformVms
from hickoryplank.shell.clock import MonotonicClock
from hickoryplank.shell.tasks import keep_running

if TYPE_CHECKING:
    from hickoryplank.meter import Metrics

__all__ = ["run_entry"]

logger = logging.getLogger(__name__)

#: Lease of tasks on an endpoint, in ms. Tasks on an endpoint that stops responding
#: are given up after it, and a takeover between coordinators must fit into it.
TASK_LEASE_MS = 4000
#: Long-poll time, in ms: how long an endpoint waits for a task to end before it
#: answers a poll.
POLL_WAIT_MS = 600
#: Least time that a run takes which resumes from a checkpoint, in ms, where the
#: settings don't state it.
DEFAULT_RESTORE_MS = 250
#: How long leases granted by an earlier coordinator may last, in seconds. That
#: coordinator may renew them for ``MAX_RENEWAL_AGE_SECONDS`` without proof that its
#: own lease is valid, and the factor allows for slow endpoint clocks.
FORMER_LEASE_SECONDS = MAX_RENEWAL_AGE_SECONDS + TASK_LEASE_MS / 1000 * 1.05
#: Retention of the state of an ended job, as a multiple of the time during which
#: callers may query it.
STATUS_RETENTION_FACTOR = 1.5
#: Age of the configuration, in seconds, from which an entry reports itself as not
#: ready: about twice the duration of the longest read of the configuration.
MAX_READY_STALENESS_SECONDS = 2.5
#: Time during which an entry that is stopping still serves callers, in seconds. New
#: connections go to other entries after two failed readiness checks, one second
#: each.
DEREGISTRATION_DELAY_SECONDS = 2.4
#: Cores, at the reference speed, that a coordinator needs for some 400 task starts
#: and ends per second.
COORDINATOR_CORES = 1.0
#: Link speed that a coordinator needs, in Mbit/s: on takeover it reads 1 MB of jobs
#: in a tenth of a second.
COORDINATOR_LINK_MBPS = 100.0
#: Delay after the start before the metrics library is loaded, in seconds. A takeover
#: after a restart of all entries is completed within this time.
METRICS_LOAD_DELAY_SECONDS = 4.0
#: Fraction of the grace period after which open calls are abandoned. The rest is for
#: answering them, closing the listeners, and a reserve for a busy processor.
GRACE_PERIOD_FRACTION = 0.8
#: Fraction of the grace period within which the abandoned calls are answered.
ANSWER_PERIOD_FRACTION = 0.05
#: Time that a listener waits for its open connections on close, in seconds.
#: Requests of callers are waited for earlier in the shutdown.
LISTENER_CLOSE_SECONDS = 0.1


class Entry:
    """One entry: its listeners, platform clients and terms as coordinator.

    :param cfg: the settings of the entry.
    :param listeners: the listening sockets, by the name of their setting.
    """

    def __init__(self, cfg: EntrySettings, listeners: dict[str, socket.socket]):
        self._cfg = cfg
        self._listeners = listeners
        self._clock = MonotonicClock()
        self._client = HttpClient()
        store = PlatformStore(self._client, cfg.store)
        operator = PlatformOperatorRecordCodec()
        self._watcher = OperatorWatcher(store, operator, self._clock)
        holder = Holder.fresh(cfg.name, cfg.peers, _coordinator_strength(cfg))
        self._speed = SpeedMonitor(self._clock)
        self._lease = LeaseManager(store, holder, self._clock, speed=self._speed)
        self._forwarder = CallForwarder(self._lease, self._client, self._clock)
        self._metrics_exporter: Metrics | None = None
        self._metrics_loading = anyio.Lock()
        self._entry_metrics = EntryMetrics()
        self._ingress = Ingress(
            self._forwarder.answer, lambda: self._watcher.version, self._entry_metrics
        )
        self._context = CoordinatorContext(
            store=store,
            endpoints=PlatformEndpoints(self._client),
            listings=PlatformListingDecoder(),
            clock=self._clock,
            timing=EngineTiming(
                min(TASK_LEASE_MS, cfg.lease_max_ms),
                POLL_WAIT_MS,
                FORMER_LEASE_SECONDS,
                cfg.lease_max_ms,
                cfg.status_s * STATUS_RETENTION_FACTOR,
                cfg.stop_grace_ms,
                _restore_ms(cfg),
            ),
            vms=PlatformVms(self._client, cfg.vms, cfg.name),
            operator=operator,
            metrics=self._entry_metrics,
            advice=PlatformAdvice(self._client, cfg.advice) if cfg.advice else None,
            shortage_order=_shortage_order(cfg),
            store_bounds=_store_bounds(cfg),
            vm_bounds=VmOperationBounds(
                cfg.move_s,
                cfg.maintenance_s,
                cfg.orders_apart_ms / 1000,
                cfg.orders_per_s,
            ),
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down within the grace period."""
        peer_calls = PeerCallHandler(self._forwarder.answer_locally)
        runners = [
            await _serve(
                self._listeners["callers"], self._ingress.handle, ends_with_caller=True
            ),
            await _serve(self._listeners["readiness"], self._handle_readiness),
            await _serve(self._listeners["peers"], peer_calls.handle),
            await _serve(self._listeners["metrics"], self._handle_metrics),
        ]
        addresses = {name: getattr(self._cfg, name) for name in self._listeners}
        logger.info("started", extra=addresses)
        async with anyio.create_task_group() as tasks:
            for name, run in self._tasks().items():
                tasks.start_soon(keep_running, name, run)
            await self._wait_for_sigterm()
            await self._shut_down()
            tasks.cancel_scope.cancel()
        for runner in runners:
            await runner.cleanup()
        await self._client.close()
        logger.info("stopped")

    def _tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks that run until the entry stops, by name."""
        return {
            "configuration": self._watcher.run,
            "lease": self._lease.run,
            "speed": partial(self._speed.run, lambda: self._lease.held),
            "terms": self._run_terms,
            "metrics": self._load_metrics_later,
        }

    async def _run_terms(self) -> None:
        while True:
            changed = self._lease.changed
            if self._lease.held:
                coordinator = Coordinator(self._context, self._lease, self._watcher)
                self._forwarder.local_coordinator = coordinator
                try:
                    await coordinator.run()
                except Exception:
                    # Another entry may do better; this one must not keep the lease.
                    await self._lease.release()
                    raise
                finally:
                    self._forwarder.local_coordinator = None
                    self._lease.mark_lost()
            else:
                await changed.wait()

    async def _wait_for_sigterm(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async for signum in signals:
                if signum == signal.SIGTERM:
                    return
                logger.info("SIGHUP ignored; settings are read at the start only")

    async def _shut_down(self) -> None:
        """Hand the lease over, and serve until no calls are open or the time is up."""
        logger.info("stopping")
        abandon_at = self._clock.now() + self._cfg.grace_s * GRACE_PERIOD_FRACTION
        self._ingress.closing = True
        if self._forwarder.local_coordinator is not None:
            await self._forwarder.local_coordinator.drain_calls()
        await self._lease.stop()
        remaining_s = abandon_at - self._clock.now()
        await anyio.sleep(max(0.0, min(DEREGISTRATION_DELAY_SECONDS, remaining_s)))
        await self._wait_for_open_requests(abandon_at)
        abandoned = self._forwarder.abandon_calls()
        if abandoned:
            logger.warning(
                "open calls abandoned at the end of the grace period",
                extra={
                    "calls": abandoned,
                    "coordinator": self._lease.coordinator_address or "",
                },
            )
        await self._wait_for_open_requests(
            self._clock.now() + self._cfg.grace_s * ANSWER_PERIOD_FRACTION
        )

    async def _wait_for_open_requests(self, until: float) -> None:
        while self._ingress.open_requests and self._clock.now() < until:
            await anyio.sleep(0.05)

    async def _handle_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        ready = (
            not self._ingress.closing
            and self._watcher.staleness() < MAX_READY_STALENESS_SECONDS
        )
        return web.Response(status=200 if ready else 503)

    async def _handle_metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        metrics = await self._load_metrics()
        return web.Response(body=metrics.text(), content_type="text/plain")

    async def _load_metrics_later(self) -> None:
        await anyio.sleep(METRICS_LOAD_DELAY_SECONDS)
        await self._load_metrics()

    async def _load_metrics(self) -> "Metrics":
        """Load the metrics library in a thread, so that calls are served meanwhile."""
        async with self._metrics_loading:
            if self._metrics_exporter is None:
                self._metrics_exporter = await anyio.to_thread.run_sync(
                    _create_metrics, self._cfg.name
                )
                self._entry_metrics.attach(self._metrics_exporter.meter)
            return self._metrics_exporter


def _coordinator_strength(cfg: EntrySettings) -> float:
    """Return the capacity of the VM relative to a coordinator's needs, from 0 to 1."""
    cores = cfg.cpu_share * cfg.core_speed
    return min(1.0, cores / COORDINATOR_CORES, cfg.link_mbps / COORDINATOR_LINK_MBPS)


def _shortage_order(cfg: EntrySettings) -> ShortageOrder:
    """Return the order of service in a shortage; by deadline where none is set."""
    order = cfg.shortage_order
    return order if isinstance(order, ShortageOrder) else ShortageOrder.DEADLINE


def _restore_ms(cfg: EntrySettings) -> int:
    """Return the least time of a run that resumes from a checkpoint, in ms."""
    return cfg.restore_ms if isinstance(cfg.restore_ms, int) else DEFAULT_RESTORE_MS


def _store_bounds(cfg: EntrySettings) -> StoreBounds:
    """Return the bounds of the store; where none is set, those of the platform."""
    given = {"record_bytes": cfg.record_bytes, "call_bytes": cfg.call_bytes}
    return StoreBounds(
        **{key: one for key, one in given.items() if isinstance(one, int)}
    )


def _create_metrics(node: str) -> "Metrics":
    from hickoryplank.meter import Metrics

    return Metrics(node)


async def _serve(
    sock: socket.socket, handler, *, ends_with_caller: bool = False
) -> web.ServerRunner:
    """Serve HTTP on a socket.

    :param ends_with_caller: whether a handler is cancelled when its connection closes.
    """
    runner = web.ServerRunner(
        web.Server(handler, access_log=None, handler_cancellation=ends_with_caller),
        handle_signals=False,
        shutdown_timeout=LISTENER_CLOSE_SECONDS,
    )
    await runner.setup()
    await web.SockSite(runner, sock, backlog=LISTEN_BACKLOG).start()
    return runner


def run_entry(cfg: EntrySettings, callers: socket.socket) -> None:
    """Run an entry until it receives SIGTERM.

    :param callers: the listening socket for callers.
    """
    configure_entry_logs(cfg.log_level, cfg.name)
    listeners = {"callers": callers}
    for name in ("readiness", "peers", "metrics"):
        listeners[name] = open_listener(getattr(cfg, name))
    bound = {
        name: bound_address(getattr(cfg, name), sock)
        for name, sock in listeners.items()
    }
    anyio.run(Entry(msgspec.structs.replace(cfg, **bound), listeners).run)
