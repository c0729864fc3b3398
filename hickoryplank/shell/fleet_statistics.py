"""Statistics of one node on the spare buffer, waves, VM moves and shares."""

import time
from collections import Counter
from collections.abc import Mapping

import anyio
import msgspec

from hickoryplank.core.fold import FoldResult
from hickoryplank.core.ids import PoolId, TeamId, VmId, WaveId
from hickoryplank.core.objects import Kind, Pool
from hickoryplank.core.records import Record, VmMoved, WaveChange, WaveState
from hickoryplank.core.shares import ShareMeter
from hickoryplank.core.tables import Tables, WaveRow
from hickoryplank.operator_status import (
    PoolReport,
    ReportAnswer,
    TeamReport,
    WaveReport,
)
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.dispatcher import Dispatcher
from hickoryplank.shell.membership import Membership
from hickoryplank.shell.replicated_state import ReplicatedState

__all__ = ["FleetStatistics", "count_idle_vms", "find_pool", "count_wave_vms"]

SAMPLE_INTERVAL_SECONDS = 1.0
SECONDS_PER_HOUR = 3600.0


def find_pool(tables: Tables, name: str) -> Pool | None:
    """Return the pool object of that name, or ``None``."""
    row = tables.objects[Kind.POOL].get(name)
    return row.obj if row and isinstance(row.obj, Pool) else None


def count_idle_vms(
    tables: Tables, pool: PoolId, tasks_by_vm: Mapping[VmId, int]
) -> int:
    """Return the number of idle VMs of a spare pool; 0 for any other pool.

    :param tasks_by_vm: the number of running tasks by VM.
    """
    found = find_pool(tables, pool)
    if found is None or not found.spare:
        return 0
    return sum(
        not tasks_by_vm.get(row.vm) for row in tables.members(pool) if row.healthy
    )


def count_wave_vms(tables: Tables, wave: WaveRow) -> int:
    """Return the number of VMs that a maintenance wave covers."""
    remaining = {row.vm for pool in wave.pools for row in tables.members(pool)}
    return len(remaining | set(wave.done))


class _WaveTimes(msgspec.Struct):
    """When a wave began and ended, on this node's clock in seconds."""

    began: float
    ended: float | None = None


class FleetStatistics:
    """Accumulates statistics since the node joined.

    Moves and waves cover the whole fleet. Buffer and distance from share cover
    the pools for as long as this node owns them, so that the buffer of the fleet
    is the sum over its nodes.

    :ivar total_moves: the number of VMs that changed their pool.
    """

    def __init__(
        self,
        replicated_state: ReplicatedState,
        membership: Membership,
        dispatcher: Dispatcher,
        clock: Clock,
    ):
        self._replicated_state = replicated_state
        self._membership = membership
        self._dispatcher = dispatcher
        self._clock = clock
        self._since = time.time()
        self._sampled_at = clock.now()
        self._idle_seconds: Counter[PoolId] = Counter()
        self._moves_by_pool: Counter[PoolId] = Counter()
        self._waves: dict[WaveId, _WaveTimes] = {}
        self.shares = ShareMeter()
        self.total_moves = 0

    def note_record(self, record: Record, fold_result: FoldResult) -> None:
        """Update the statistics of moves and waves from a folded record."""
        if fold_result.is_err():
            return
        match record:
            case VmMoved(pool=pool):
                self.total_moves += 1
                self._moves_by_pool[pool] += 1
            case WaveChange(wave=wave, state=state):
                self._note_wave(wave, state)

    def _note_wave(self, wave: WaveId, state: WaveState) -> None:
        now = self._clock.now()
        times = self._waves.setdefault(wave, _WaveTimes(now))
        ended = state in (WaveState.DONE, WaveState.CANCELLED)
        times.ended = now if ended else None

    def owned_pools(self) -> list[PoolId]:
        """Return the pools whose work this node queues and dispatches."""
        pools = (
            PoolId(name) for name in self._replicated_state.tables.objects[Kind.POOL]
        )
        me = self._membership.own_incarnation
        return [pool for pool in pools if self._membership.owner_of(pool) == me]

    async def serve(self) -> None:
        """Sample periodically until cancelled."""
        while True:
            self.sample()
            await anyio.sleep(SAMPLE_INTERVAL_SECONDS)

    def sample(self) -> None:
        """Account for the time since the last sample."""
        now = self._clock.now()
        tables = self._replicated_state.tables
        tasks_by_vm = self._dispatcher.tasks_by_vm()
        for pool in self.owned_pools():
            idle = count_idle_vms(tables, pool, tasks_by_vm)
            if idle:
                self._idle_seconds[pool] += idle * (now - self._sampled_at)
        self.shares.observe(
            now, self._dispatcher.running, self._dispatcher.entitled_units()
        )
        self._sampled_at = now

    def report(self) -> ReportAnswer:
        """Return the statistics up to now."""
        tables = self._replicated_state.tables
        pools = (PoolId(name) for name in tables.objects[Kind.POOL])
        return ReportAnswer(
            since=self._since,
            pools=tuple(self._pool_report(pool) for pool in pools),
            waves=tuple(self._wave_report(row) for row in tables.waves.values()),
            teams=tuple(
                self._team_report(TeamId(name)) for name in tables.objects[Kind.TEAM]
            ),
        )

    def _pool_report(self, pool: PoolId) -> PoolReport:
        return PoolReport(
            pool=pool,
            buffer_vm_hours=self._idle_seconds[pool] / SECONDS_PER_HOUR,
            moves_in=self._moves_by_pool[pool],
        )

    def _wave_report(self, row: WaveRow) -> WaveReport:
        times = self._waves.get(row.wave)
        seconds = None
        if times is not None:
            end = self._clock.now() if times.ended is None else times.ended
            seconds = end - times.began
        return WaveReport(
            wave=row.wave,
            state=row.state,
            done=len(row.done),
            vms=count_wave_vms(self._replicated_state.tables, row),
            seconds=seconds,
        )

    def _team_report(self, team: TeamId) -> TeamReport:
        return TeamReport(
            team=team,
            running=self._dispatcher.running[team],
            distance=self.shares.distance(team),
        )
