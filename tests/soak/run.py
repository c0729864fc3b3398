"""Run of one seed: starts entries, injects faults, and reports violations."""

import asyncio
import random
import signal
import tempfile
import time
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from hickoryplank.coordinator.ports import Topic
from hickoryplank.core.ids import VmId
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.sizes import Size
from tests.proxy import Direction, Proxy
from tests.soak.callers import Callers
from tests.soak.deployment import POOLS, WAVE_VMS, ZONES, Deployment, Entry
from tests.soak.fault_plan import (
    INJECTION_SECONDS,
    Fault,
    FaultKind,
    draw_faults,
    draw_late_calls,
    draw_restarts,
)

__all__ = ["Play", "Report", "soak"]

#: Longest wait until all accepted work is done after the last fault, in seconds: the
#: time until entries are connected again, and the bound that users require.
FINISH_SECONDS = 3.0 + 14.0
#: Longest wait until an entry is coordinator, in seconds.
#: Time after an outage of the store until lapsed entries are back, in seconds. The
#: platform states it.
RELIST_SECONDS = 2.0
#: Delay of each chunk of data from and to a slow store, in seconds.
STORE_DELAY_SECONDS = 0.12
#: Endpoints that start again together, the time from then until they are cut off, and
#: the time for which they are, in seconds.
RESTARTED_VMS = 3
CUT_DELAY_SECONDS = 2.0
CUT_SECONDS = 9.0
#: Longest time until the cut for endpoints that are cut off before they are listed, in
#: seconds: less than the interval at which endpoints renew their listing.
MAX_UNLISTED_SECONDS = 0.6
#: Silence of an endpoint after which it is removed from the list, in seconds.
LISTING_LAPSE_SECONDS = 4.5
#: Run times of the tasks in a play of such faults alone, in milliseconds.
LONG_TASK_MS = (12_000.0,)
LONG_STEPS = (Step(2, Size(100, 100), estimate_ms=12_000),)
#: The same in a play of late calls.
LATE_CALLS_TASK_MS = (100.0, 300.0, 900.0, 2500.0, 6000.0)
LATE_CALLS_STEPS = (Step(3, Size(300, 300), estimate_ms=2000, max_per_endpoint=1),)
REPOSITORY = str(Path(__file__).parents[2])


class Play(Enum):
    """Which faults a run injects."""

    #: Faults of all kinds.
    MIXED = "mixed"
    #: Only endpoints that restart and are cut off, with long tasks.
    RESTARTS = "restarts"
    #: The same, but the endpoints are cut off before they are listed again.
    RESTARTS_UNLISTED = "restarts-unlisted"
    #: Only endpoints that restart and carry calls out late, with tasks of any length.
    LATE_CALLS = "late-calls"
    #: The same, but only polls are late.
    LATE_POLLS = "late-polls"


#: Run times of the tasks and steps of the jobs of each play; random if there are none.
_WORK: dict[Play, tuple[tuple[float, ...], tuple[Step, ...] | None]] = {
    Play.MIXED: ((), None),
    Play.RESTARTS: (LONG_TASK_MS, LONG_STEPS),
    Play.RESTARTS_UNLISTED: (LONG_TASK_MS, LONG_STEPS),
    Play.LATE_CALLS: (LATE_CALLS_TASK_MS, LATE_CALLS_STEPS),
    Play.LATE_POLLS: (LATE_CALLS_TASK_MS, LATE_CALLS_STEPS),
}
#: Paths of the calls that may be late in each play.
_LATE_PATHS = {
    Play.LATE_CALLS: ("/api/hold", "/api/run-start", "/api/run-stop"),
    Play.LATE_POLLS: ("/api/hold",),
}


@dataclass
class Report:
    """Result of one seed."""

    seed: int
    faults: list[Fault]
    violations: list[str]
    jobs: int
    accepted: int
    starts: int
    statuses: dict[int | None, int]
    longest_stall_s: float
    logs: Path

    def lines(self) -> list[str]:
        """Return the report as lines of text."""
        summary = (
            f"seed {self.seed}: {self.jobs} jobs, {self.accepted} accepted,"
            f" {self.starts} starts, answers {self.statuses},"
            f" stand-ins stalled for up to {self.longest_stall_s:.2f} s"
        )
        if not self.violations:
            return [summary]
        faults = [f"  {one.at:5.2f} {one.kind.name} {one}" for one in self.faults]
        return [summary, f"  logs in {self.logs}", *faults, *self.violations]


class _Injector:
    """Injects faults; calls for several faults may overlap."""

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self._waves = 0

    async def inject(self, fault: Fault) -> None:
        """Inject a fault, and end it after its duration."""
        match fault.kind:
            case FaultKind.KILL | FaultKind.KILL_COORDINATOR:
                await self._kill([self._entry(fault)], fault.for_s)
            case FaultKind.KILL_ALL:
                await self._kill(self._deployment.entries, fault.for_s)
            case FaultKind.PAUSE | FaultKind.PAUSE_COORDINATOR:
                await self._pause(self._entry(fault), fault.for_s)
            case FaultKind.STOP:
                await self._stop(self._entry(fault))
            case FaultKind.RELOAD:
                self._entry(fault).signal(signal.SIGHUP)
            case FaultKind.KEY_WITHDRAWN:
                await self._deployment.withdraw_key()
            case FaultKind.ODD_LISTINGS:
                await self._deployment.write_odd_listings()
            case FaultKind.LISTINGS_LAPSED:
                await self._lapse_listings(fault.for_s)
            case FaultKind.WAVE:
                self._waves += 1
                await self._deployment.request_random_wave(self._waves)
            case _:
                await self._inject_platform_fault(fault)

    async def _lapse_listings(self, for_s: float) -> None:
        vms = self._deployment.lapse_listings()
        self._waves += 1
        machines = self._deployment.vms_with_lasting_tasks() or vms[:WAVE_VMS]
        await self._deployment.request_wave(self._waves, machines)
        self._deployment.platform.store_status = 503
        await asyncio.sleep(for_s)
        self._deployment.platform.store_status = None
        await asyncio.sleep(RELIST_SECONDS)
        self._deployment.relist(vms)

    async def _inject_platform_fault(self, fault: Fault) -> None:
        if fault.kind is FaultKind.ZONE_EVACUATED:
            await self._evacuate_zone(fault)
        elif fault.kind.name.startswith("STORE"):
            await self._inject_store_fault(fault)
        else:
            await self._inject_endpoint_fault(fault)

    async def _evacuate_zone(self, fault: Fault) -> None:
        zone = ZONES[fault.target % len(ZONES)]
        await self._deployment.evacuate_zone(zone)
        await asyncio.sleep(fault.for_s)
        await self._deployment.take_zone_back(zone)

    async def _inject_store_fault(self, fault: Fault) -> None:
        proxy = self._entry(fault).store_proxy
        match fault.kind:
            case FaultKind.STORE_DOWN:
                self._deployment.platform.store_status = 503
                await asyncio.sleep(fault.for_s)
                self._deployment.platform.store_status = None
            case FaultKind.STORE_TRIMMED:
                for topic in Topic:
                    self._deployment.store.trim(topic)
            case FaultKind.STORE_SLOW:
                proxy.delay_s = STORE_DELAY_SECONDS
                await self._restore_later(proxy, fault)
            case FaultKind.STORE_CUT:
                proxy.cut()
                await self._restore_later(proxy, fault)
            case _:
                await self._disturb_connections(proxy, fault)

    async def _inject_endpoint_fault(self, fault: Fault) -> None:
        vms = sorted(self._deployment.proxies)
        vm = vms[fault.target % len(vms)]
        proxy = self._deployment.proxies[vm]
        match fault.kind:
            case FaultKind.ENDPOINTS_RESTARTED_AND_CUT:
                await self._restart_and_cut(vm, fault.for_s, CUT_DELAY_SECONDS)
            case FaultKind.ENDPOINTS_CUT_UNLISTED:
                # The delay follows from the seed without a change of other draws.
                delay_s = random.Random(f"{fault}").uniform(0.0, MAX_UNLISTED_SECONDS)
                await self._restart_and_cut(vm, fault.for_s, delay_s, listed=False)
            case FaultKind.ENDPOINT_RESTARTED:
                self._deployment.restart_endpoint(vm)
            case FaultKind.ENDPOINT_DARK:
                await self._restart_after_dark(vm, fault.for_s)
            case FaultKind.CALLS_LATE:
                await self._deployment.hold_up_calls(vm, fault.for_s)
            case FaultKind.ENDPOINT_FAILING:
                id = self._deployment.vms.vms[vm].endpoint
                one = self._deployment.endpoints.endpoints.get(id)
                if one is not None:
                    one.failing = True
                    await asyncio.sleep(fault.for_s)
                    one.failing = False
            case FaultKind.ENDPOINT_CUT:
                proxy.cut()
                await self._restore_later(proxy, fault)
            case _:
                await self._disturb_connections(proxy, fault)

    async def _restart_after_dark(self, vm: VmId, dark_s: float) -> None:
        """Restart the endpoint of a VM in service, which is dark before."""
        if vm not in self._deployment.vms.unavailable:
            self._deployment.crash_endpoints([vm])
            await asyncio.sleep(dark_s)
            self._deployment.start_endpoints_again([vm])

    async def _restart_and_cut(
        self, vm: VmId, dark_s: float, delay_s: float, *, listed: bool = True
    ) -> None:
        """Restart endpoints of one pool under their ids, and cut them off soon after.

        They go on working while they are cut off, and renew no listing.

        :param listed: whether their next incarnations are listed before the cut.
        """
        deployment = self._deployment
        rows = deployment.vms.vms
        pool = rows[vm].pool if rows[vm].pool in POOLS else POOLS[0]
        vms = [
            id
            for id in sorted(rows)
            if rows[id].pool == pool and id not in deployment.vms.unavailable
        ][:RESTARTED_VMS]
        deployment.crash_endpoints(vms)
        await asyncio.sleep(dark_s)
        deployment.start_endpoints_again(vms, listed=listed)
        await asyncio.sleep(delay_s)
        for id in vms:
            deployment.proxies[id].freeze()
        await asyncio.sleep(LISTING_LAPSE_SECONDS)
        deployment.lapse_listings_of(vms)
        await asyncio.sleep(CUT_SECONDS - LISTING_LAPSE_SECONDS)
        for id in vms:
            deployment.proxies[id].restore()
        deployment.relist(vms)

    async def _disturb_connections(self, proxy: Proxy, fault: Fault) -> None:
        match fault.kind.name.partition("_")[2]:
            case "FROZEN":
                proxy.freeze()
                await self._restore_later(proxy, fault)
            case "ANSWERS":
                proxy.freeze(Direction.FROM_TARGET)
                await self._restore_later(proxy, fault)
            case "SILENCED":
                proxy.blackhole()
            case "RESET":
                proxy.reset()

    async def _restore_later(self, proxy: Proxy, fault: Fault) -> None:
        await asyncio.sleep(fault.for_s)
        proxy.restore()

    def _entry(self, fault: Fault) -> Entry:
        if fault.kind in (FaultKind.KILL_COORDINATOR, FaultKind.PAUSE_COORDINATOR):
            return self._deployment.lease_holder()
        entries = self._deployment.entries
        return entries[fault.target % len(entries)]

    async def _kill(self, entries: list[Entry], for_s: float) -> None:
        for entry in entries:
            entry.kill()
        await asyncio.sleep(min(for_s, 1.5))
        for entry in entries:
            entry.start()

    async def _pause(self, entry: Entry, for_s: float) -> None:
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        entry.signal(signal.SIGCONT)

    async def _stop(self, entry: Entry) -> None:
        checker = self._deployment.checker
        ended = await entry.stop()
        if not ended:
            checker.report_violation(
                "stop", f"{entry.name} did not stop in time and was killed"
            )
        entry.start()


def _unfinished(deployment: Deployment) -> list[str]:
    """Return descriptions of accepted jobs that are not finished or not running."""
    unfinished = []
    for job in deployment.checker.jobs.values():
        if job.accepted_at is None or job.cancel_sent or job.state == "failed":
            continue
        if job.lasting:
            all_running = all(
                deployment.checker.running.get(t) for t in job.all_tasks()
            )
            if not all_running:
                unfinished.append(f"lasting job {job.id} does not run all of its tasks")
        elif not job.all_tasks() <= job.done:
            unfinished.append(f"job {job.id} is not done")
    return unfinished


async def _finish(deployment: Deployment, callers: Callers) -> None:
    task_s = max(deployment.task_ms, default=0.0) / 1000
    until = time.monotonic() + FINISH_SECONDS + task_s
    while _unfinished(deployment) and time.monotonic() < until:
        await asyncio.sleep(0.1)
    for detail in _unfinished(deployment):
        deployment.checker.report_violation("lost", detail)
    callers.stop_queries()
    await callers.finish()
    deployment.checker.check_refusals()


def _draw(play: Play, seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a seed in a play."""
    match play:
        case Play.MIXED:
            return draw_faults(seed, length_s)
        case Play.LATE_CALLS | Play.LATE_POLLS:
            return draw_late_calls(seed)
    return draw_restarts(seed, unlisted=play is Play.RESTARTS_UNLISTED)


async def _soak(
    seed: int, length_s: float, root: Path, code: str, play: Play
) -> Report:
    deployment = Deployment(root, seed, code)
    deployment.task_ms, steps = _WORK[play]
    deployment.late_paths = _LATE_PATHS.get(play, ())
    callers = Callers(deployment, seed, steps)
    faults = _draw(play, seed, length_s)
    try:
        await deployment.start()
        await deployment.wait_until_coordinated()
        started_at = time.monotonic()
        submissions = asyncio.create_task(callers.run(length_s))
        injector = _Injector(deployment)
        injections = []
        for fault in faults:
            await asyncio.sleep(max(0.0, started_at + fault.at - time.monotonic()))
            injections.append(asyncio.create_task(injector.inject(fault)))
        await asyncio.gather(submissions, *injections)
        await _finish(deployment, callers)
    finally:
        await callers.close()
        await deployment.close()
    jobs = deployment.checker.jobs.values()
    return Report(
        seed=seed,
        faults=faults,
        violations=deployment.checker.violations,
        jobs=len(jobs),
        accepted=sum(1 for job in jobs if job.accepted_at is not None),
        starts=deployment.checker.starts,
        statuses=callers.statuses,
        longest_stall_s=deployment.longest_stall_s,
        logs=root,
    )


def soak(
    seed: int,
    length_s: float = INJECTION_SECONDS,
    root: Path | None = None,
    code: str = REPOSITORY,
    play: Play = Play.MIXED,
) -> Report:
    """Run one seed and return its report.

    :param seed: decides the jobs and the faults.
    :param length_s: time for which jobs are submitted and faults begin, in seconds.
    :param root: directory for settings and logs; a new temporary one by default.
    :param code: directory of the code that the entries run.
    :param play: the kinds of faults.
    """
    root = root or Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    random.seed(seed)
    return asyncio.run(_soak(seed, length_s, root, code, play))
