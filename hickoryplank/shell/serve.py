"""Composition root: assembles a node and runs it until it is told to stop."""

import logging
import signal
import socket
import sys
from urllib.parse import urlsplit

import anyio
import msgspec
from anyio.abc import TaskGroup
from hypercorn.asyncio import serve as serve_http
from hypercorn.config import Config
from result import Err

from hickoryplank.core.ids import Incarnation
from hickoryplank.core.records import NodeJoined, NodeLeft
from hickoryplank.external.channel import ChannelOptions, TlsOptions
from hickoryplank.external.errors import LogFailure
from hickoryplank.external.log_http import HttpLog
from hickoryplank.external.vmlist_http import HttpVmList
from hickoryplank.external.worker_http import HttpWorkerDirectory
from hickoryplank.settings import PlatformSettings, Settings
from hickoryplank.shell.clock import MonotonicClock
from hickoryplank.shell.listeners import Listeners, open_listeners
from hickoryplank.shell.logs import configure_logs
from hickoryplank.shell.metrics import Metrics
from hickoryplank.shell.node import Node, PlatformClients
from hickoryplank.shell.replica import Replica, new_record_id
from hickoryplank.shell.snapshot_manager import SnapshotManager
from hickoryplank.shell.tasks import TaskSpawner
from hickoryplank.shell.telemetry import LogSpanExporter, Telemetry, make_tracer

__all__ = ["run"]

logger = logging.getLogger(__name__)

JOIN_RETRY_DELAY_SECONDS = 0.2
LEAVE_TIMEOUT_SECONDS = 5.0
#: Time for which a leaving node still accepts requests, while the load balancer and
#: the peers learn that it leaves.
LEAVE_NOTICE_SECONDS = 1.0
#: Time for which new requests are refused before the node waits until it is idle.
REFUSAL_NOTICE_SECONDS = 1.0
DRAIN_TIMEOUT_SECONDS = 60.0
DRAIN_POLL_SECONDS = 0.05
READ_TIMEOUT_SECONDS = 5.0


def run(cfg: Settings) -> None:
    """Run a node with these settings until SIGTERM or SIGINT."""
    configure_logs(cfg.log.level.value, cfg.node.name)
    try:
        listeners = open_listeners(cfg.node)
    except OSError as exc:
        logger.error("%s", exc)
        sys.exit(1)
    cfg = msgspec.structs.replace(cfg, node=listeners.with_bound_ports(cfg.node))
    bound = {"api": cfg.node.api_bind, "peers": cfg.node.peer_bind}
    logger.info("addresses bound", extra=bound)
    anyio.run(_serve, cfg, listeners)


async def _serve(cfg: Settings, listeners: Listeners) -> None:
    clock = MonotonicClock()
    platform = connect_platform(cfg.platform)
    metrics = Metrics(cfg.node.name)
    tracer = make_tracer(cfg.node.name, cfg.log.trace_ratio, LogSpanExporter())
    telemetry = Telemetry(tracer, metrics.meter, cfg.log.trace_ratio > 0)
    replica = Replica(platform.log, clock, telemetry)
    async with anyio.create_task_group() as group:
        snapshots = SnapshotManager(platform.log, replica, clock)
        await snapshots.restore()
        group.start_soon(replica.follow)
        group.start_soon(replica.append)
        group.start_soon(snapshots.recover)
        await _join(replica, cfg)
        node = Node(
            cfg,
            platform,
            replica,
            listeners.peers,
            TaskSpawner(group),
            clock,
            metrics,
            telemetry,
        )
        await node.start(group)
        group.start_soon(snapshots.serve)
        stop = anyio.Event()
        stopped = anyio.Event()
        group.start_soon(_run_http_server, node, cfg, listeners.api, stop, stopped)
        await _wait_for_stop(node, group)
        await _leave(node, replica, stop, stopped)
        group.cancel_scope.cancel()


def connect_platform(cfg: PlatformSettings) -> PlatformClients:
    """Return clients of the platform's services."""
    return PlatformClients(
        log=HttpLog(_address(cfg.log_url), _options(cfg, cfg.log_url)),
        vms=HttpVmList(_address(cfg.vms_url), _options(cfg, cfg.vms_url)),
        workers=HttpWorkerDirectory(),
    )


def _address(url: str) -> str:
    return urlsplit(url).netloc


def _options(cfg: PlatformSettings, url: str) -> ChannelOptions:
    secure = urlsplit(url).scheme == "https"
    tls = TlsOptions(ca_file=cfg.ca_file or "") if secure else None
    return ChannelOptions(read_seconds=READ_TIMEOUT_SECONDS, tls=tls)


async def _join(replica: Replica, cfg: Settings) -> None:
    """Join the table of nodes; the record's revision becomes the incarnation."""
    record = NodeJoined(
        id=new_record_id(),
        node=cfg.node.name,
        api=cfg.node.api_address,
        peer=cfg.node.peer_address,
        zone=cfg.node.zone,
    )
    while isinstance(joined := await replica.submit(record), Err):
        logger.warning(
            "joining the table of nodes failed, retrying: %s", joined.unwrap_err()
        )
        await anyio.sleep(JOIN_RETRY_DELAY_SECONDS)
    replica.incarnation = Incarnation(joined.unwrap())
    replica.freshness.joined = replica.offset
    logger.info("joined as incarnation %d", replica.incarnation)


async def _run_http_server(
    node: Node,
    cfg: Settings,
    sock: socket.socket,
    stop: anyio.Event,
    stopped: anyio.Event,
) -> None:
    config = Config()
    config.bind = [f"fd://{sock.detach()}"]
    config.certfile = cfg.security.tls_cert_file
    config.keyfile = cfg.security.tls_key_file
    config.ca_certs = cfg.security.tls_ca_file
    config.graceful_timeout = DRAIN_TIMEOUT_SECONDS
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    try:
        await serve_http(node.app, config, shutdown_trigger=stop.wait)
    finally:
        stopped.set()


async def _wait_for_stop(node: Node, group: TaskGroup) -> None:
    """Wait for a signal, or until the log records this incarnation as gone."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as waiting:
            waiting.start_soon(_cancel_on_signal, signals, waiting.cancel_scope)
            waiting.start_soon(_cancel_when_gone, node, waiting.cancel_scope)


async def _cancel_on_signal(signals, scope: anyio.CancelScope) -> None:
    async for number in signals:
        logger.info("stopping because of signal %d", number)
        scope.cancel()
        return


async def _cancel_when_gone(node: Node, scope: anyio.CancelScope) -> None:
    await node.wait_until_gone()
    logger.error("the log records this incarnation as gone; stopping")
    scope.cancel()


async def _leave(
    node: Node, replica: Replica, stop: anyio.Event, stopped: anyio.Event
) -> None:
    """Give up ownership, complete running work and leave the table of nodes."""
    node.begin_leaving()
    await anyio.sleep(LEAVE_NOTICE_SECONDS)
    node.refuse_work()
    await anyio.sleep(REFUSAL_NOTICE_SECONDS)
    with anyio.move_on_after(DRAIN_TIMEOUT_SECONDS):
        while node.busy:
            await anyio.sleep(DRAIN_POLL_SECONDS)
    stop.set()
    with anyio.move_on_after(LEAVE_TIMEOUT_SECONDS):
        await stopped.wait()
    if node.busy:
        logger.warning("stopped while work was in progress; its units remain in use")
        return
    record = NodeLeft(
        id=new_record_id(), node=node.name, incarnation=replica.incarnation
    )
    with anyio.move_on_after(LEAVE_TIMEOUT_SECONDS):
        while isinstance(left := await replica.submit(record), Err):
            if not isinstance(left.unwrap_err(), LogFailure):
                break
            await anyio.sleep(JOIN_RETRY_DELAY_SECONDS)
    logger.info("stopped")
