"""Metrics of a node's state, and their text form for Prometheus."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from opentelemetry.metrics import CallbackOptions, Meter, Observation

from hickoryplank.core.escrow import Escrow
from hickoryplank.core.ids import PoolId, TeamId
from hickoryplank.core.objects import Kind, WorkClass
from hickoryplank.core.records import WaveState
from hickoryplank.meter import Metrics
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.dispatcher import Dispatcher
from hickoryplank.shell.fleet_statistics import (
    FleetStatistics,
    count_idle_vms,
    count_wave_vms,
)
from hickoryplank.shell.membership import Membership
from hickoryplank.shell.peer_transport import PeerTransport
from hickoryplank.shell.replica import Replica

__all__ = ["Metrics", "MetricSources", "observe_state"]


@dataclass(frozen=True)
class MetricSources:
    """The components of a node whose state is exported as metrics."""

    replica: Replica
    membership: Membership
    transport: PeerTransport
    dispatcher: Dispatcher
    escrow: Escrow
    statistics: FleetStatistics
    clock: Clock


def observe_state(meter: Meter, sources: MetricSources) -> None:
    """Register instruments that read the node's state at each collection."""
    for name, unit, text, read in _GAUGES:
        meter.create_observable_gauge(name, [_callback(read, sources)], unit, text)
    for name, text, read in _COUNTERS:
        meter.create_observable_counter(name, [_callback(read, sources)], "", text)


StateReader = Callable[[MetricSources], Iterable[Observation]]


def _callback(
    read: StateReader, sources: MetricSources
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    return lambda _: list(read(sources))


def _teams(sources: MetricSources) -> list[TeamId]:
    return [TeamId(name) for name in sources.replica.tables.objects[Kind.TEAM]]


def _pools(sources: MetricSources) -> list[PoolId]:
    return [PoolId(name) for name in sources.replica.tables.objects[Kind.POOL]]


def _buffer(sources: MetricSources) -> Iterator[Observation]:
    tasks_by_vm = sources.dispatcher.tasks_by_vm()
    for pool in sources.statistics.owned_pools():
        idle = count_idle_vms(sources.replica.tables, pool, tasks_by_vm)
        yield Observation(idle, {"pool": pool})


def _vms(sources: MetricSources) -> Iterator[Observation]:
    for pool in _pools(sources):
        tables = sources.replica.tables
        rows = tables.members(pool)
        in_service = sum(tables.takes_work(row) for row in rows)
        yield Observation(in_service, {"pool": pool, "in_service": "yes"})
        yield Observation(len(rows) - in_service, {"pool": pool, "in_service": "no"})


def _wave_progress(sources: MetricSources) -> Iterator[Observation]:
    tables = sources.replica.tables
    for wave in tables.waves.values():
        if wave.state is not WaveState.CANCELLED:
            fraction = len(wave.done) / max(count_wave_vms(tables, wave), 1)
            yield Observation(fraction, {"wave": wave.wave})


def _running(sources: MetricSources) -> Iterator[Observation]:
    for team in _teams(sources):
        yield Observation(sources.dispatcher.running[team], {"team": team})


def _distance(sources: MetricSources) -> Iterator[Observation]:
    for team in _teams(sources):
        yield Observation(sources.statistics.shares.distance(team), {"team": team})


def _held(sources: MetricSources) -> Iterator[Observation]:
    for team in _teams(sources):
        held = sources.escrow.held(sources.replica.tables, team)
        yield Observation(held, {"team": team})


def _queue_lengths(sources: MetricSources) -> Iterator[Observation]:
    for pool in _pools(sources):
        for work_class in WorkClass:
            waiting = sources.dispatcher.queues.waiting_counts(pool, work_class)
            labels = {"pool": pool, "work_class": work_class.value}
            yield Observation(sum(waiting.values()), labels)


def _queue_ages(sources: MetricSources) -> Iterator[Observation]:
    now = sources.clock.now()
    for pool in _pools(sources):
        for work_class in WorkClass:
            oldest_items = sources.dispatcher.queues.oldest_items(
                pool, work_class
            ).values()
            oldest = min((item.arrived for item in oldest_items), default=now)
            labels = {"pool": pool, "work_class": work_class.value}
            yield Observation(now - oldest, labels)


def _ejected(sources: MetricSources) -> Iterator[Observation]:
    for pool in _pools(sources):
        rows = sources.dispatcher.endpoints.members(pool)
        ejected = sum(row.ejected_until is not None for row in rows)
        yield Observation(ejected, {"pool": pool})


def _freshness_age(sources: MetricSources) -> Iterator[Observation]:
    view = sources.replica.freshness.view(sources.clock.now(), quiet=True)
    if view.age is not None:
        yield Observation(view.age)


def _offset(sources: MetricSources) -> Iterator[Observation]:
    yield Observation(sources.replica.offset)


def _peers_alive(sources: MetricSources) -> Iterator[Observation]:
    yield Observation(len(sources.membership.alive()) - 1)


def _folded(sources: MetricSources) -> Iterator[Observation]:
    yield Observation(sources.replica.tables.sequence)


def _moves(sources: MetricSources) -> Iterator[Observation]:
    yield Observation(sources.statistics.total_moves)


def _refused(sources: MetricSources) -> Iterator[Observation]:
    yield Observation(sources.transport.refused)


def _dropped(sources: MetricSources) -> Iterator[Observation]:
    yield Observation(sources.transport.dropped)


_GAUGES: tuple[tuple[str, str, str, StateReader], ...] = (
    ("buffer_vms", "", "Idle VMs of the spare pools", _buffer),
    ("vms", "", "VMs by pool and whether in service", _vms),
    ("wave_progress", "1", "Part of a wave's VMs that are done", _wave_progress),
    ("running_units", "", "Units that teams have running here", _running),
    ("share_distance", "", "Units above a team's share, averaged", _distance),
    ("units_held", "", "Units of a team's limit held here", _held),
    ("queue_length", "", "Requests that wait here", _queue_lengths),
    ("queue_age", "s", "Wait of the oldest request", _queue_ages),
    ("ejected_endpoints", "", "Endpoints that get no work here", _ejected),
    ("freshness_age", "s", "Age of this node's view of the log", _freshness_age),
    ("log_offset", "", "Log offset that is folded next", _offset),
    ("peers_alive", "", "Peers believed alive", _peers_alive),
)

_COUNTERS: tuple[tuple[str, str, StateReader], ...] = (
    ("records_folded", "Records folded into the tables", _folded),
    ("vm_moves", "VMs that changed their pool since the node joined", _moves),
    ("peer_messages_refused", "Peer messages that were not genuine", _refused),
    ("peer_messages_dropped", "Peer messages that found no way out", _dropped),
)
