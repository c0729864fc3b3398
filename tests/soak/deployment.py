"""Entry processes on loopback with a fake platform, reached through proxies."""

import asyncio
import json
import random
import re
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
from aiohttp import web

from hickoryplank.coordinator.lease import LeaseRecord
from hickoryplank.coordinator.ports import ListedVm, Topic, VmState
from hickoryplank.core.ids import EndpointId, PoolId, TeamId, VmId, Zone
from hickoryplank.jobs.records import Record
from hickoryplank.jobs.sizes import Size
from tests.coordinator.memory_platform import MemoryEndpoints, MemoryStore, MemoryVms
from tests.ports import ReservedAddress
from tests.processes import require_running
from tests.proxy import Proxy
from tests.soak.checker import Evacuation, InvariantChecker, ObservedEndpoint
from tests.soak.fault_plan import ENTRY_COUNT
from tests.standins.fake_platform import FakePlatform

__all__ = ["HOST", "KEPT_KEY", "LIMITS", "WITHDRAWN_KEY", "Deployment"]

HOST = "soak.example"
KEPT_KEY = "key-that-stays"
WITHDRAWN_KEY = "key-that-goes"
CAPACITY = Size(4000, 8000, 0)
POOLS = ("norte", "costa")
STANDBY = "socios"
VMS_PER_POOL = 4
#: VMs of one maintenance wave.
WAVE_VMS = 4
LIMITS = {TeamId("rutas"): Size(9000), TeamId("pagos"): Size(6000)}
ZONES = (Zone("talcahuano"), Zone("concepcion"), Zone("coronel"))
#: Time for which an order takes a VM out of service, in seconds.
OUTAGE_SECONDS = 0.5
#: Longest time until an entry is coordinator after the start, in seconds.
READY_SECONDS = 15.0
#: Grace period from SIGTERM until a process is killed, in seconds.
GRACE_SECONDS = 6.0
#: Readings of the clock of an endpoint at its start, in milliseconds.
FIRST_CLOCKS_MS = (0.0, 1000.0, 1000.0, 8000.0, 90_000.0)
#: Longest time for which a crashed endpoint leaves a connection open, in seconds.
UNANSWERED_SECONDS = 15.0
#: Interval at which the clocks of the endpoints are advanced, in seconds.
CLOCK_INTERVAL_SECONDS = 0.01
#: Fraction of the calls that are late while calls to an endpoint are held up, and
#: shortest and longest time after which these are carried out, in seconds.
LATE_FRACTION = 0.4
LATE_SECONDS = (2.0, 12.0)

_SETTINGS = """
[node]
name = {name}
[listen]
callers = {callers}
readiness = {readiness}
peers = {peers}
metrics = {metrics}
[platform]
store = {store}
vms = {vms}
[bounds]
grace_s = 6
lease_max_ms = 10000
move_s = 0.5
maintenance_s = 0.5
orders_apart_ms = 3000
"""

_LISTENERS = ("callers", "readiness", "peers", "metrics")
_NESTED = "[" * 20_000 + "]" * 20_000
#: How a sound entry is edited, by the key of the odd one.
_ODD_LISTINGS: dict[str, Callable[[str], str]] = {
    "i-nested": lambda text: text.replace("{", f'{{"x":{_NESTED},', 1),
    "i-number": lambda text: text.replace('"born": 1', '"born": ' + "9" * 400),
    "i-port": lambda text: re.sub(r":\d+\"", ':99999"', text),
    "i-host": lambda text: text.replace("127.0.0.1", "a..b"),
    "i-\x00\x7f": lambda text: text,
    "i-pool": lambda text: re.sub(r'"service": "\w+"', '"service": "other"', text),
    "i-text": lambda text: "\xff",
}


class Entry:
    """An entry process with its settings, and a proxy to the store of its own.

    :param store: address of the store.
    :param vms: address of the service for VMs.
    :param code: directory of the code that the process runs.
    """

    def __init__(self, root: Path, number: int, store: str, vms: str, code: str):
        self.name = f"entry-{number}"
        self.store_proxy = Proxy(store)
        self._reserved = {name: ReservedAddress() for name in _LISTENERS}
        names = {name: one.address for name, one in self._reserved.items()}
        self.callers, self.peers = names["callers"], names["peers"]
        text = _SETTINGS.format(
            name=self.name, store=self.store_proxy.address, vms=vms, **names
        )
        self._settings = root / f"{self.name}.ini"
        self._settings.write_text(text)
        self._log = root / f"{self.name}.log"
        self._code = code
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process, unless it is running."""
        if self.process is not None and self.process.poll() is None:
            return
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "hickoryplank", "entry", str(self._settings)],
                stdout=log,
                stderr=log,
                cwd=self._code,
            )

    def require_running(self) -> None:
        """Check that the process is running.

        :raises AssertionError: if it has exited, with the end of its log.
        """
        require_running(self.name, self.process, self._log)

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def stop(self) -> bool:
        """Stop the process; return whether it ended within the grace period."""
        # Another stop that overlaps with this one may start the next process meanwhile.
        process = self.process
        if process is None or process.poll() is not None:
            return True
        process.send_signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_SECONDS
        while process.poll() is None:
            if time.monotonic() > until:
                process.kill()
                process.wait()
                return False
            await asyncio.sleep(0.05)
        return True

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def close(self) -> None:
        """Kill the process, close its proxy and give its ports back."""
        self.kill()
        self.store_proxy.close()
        for reserved in self._reserved.values():
            reserved.close()


class Deployment:
    """A store, VMs with endpoints, and entries.

    :ivar longest_stall_s: longest time for which this process, which plays the store
        and the endpoints, got no processor and answered nothing, in seconds.
    """

    def __init__(self, root: Path, seed: int, code: str):
        self._root = root
        self._code = code
        self._rng = random.Random(seed)
        self._clock_rng = random.Random(f"clocks {seed}")
        self.checker = InvariantChecker(dict(LIMITS))
        self.store = MemoryStore()
        self.endpoints = MemoryEndpoints({})
        self.vms = MemoryVms({}, OUTAGE_SECONDS)
        self.vms.on_down = self._take_down
        self.vms.on_return = self._return_to_service
        self.platform = FakePlatform(self.store, self.endpoints, self.vms)
        self.proxies: dict[VmId, Proxy] = {}
        self.entries: list[Entry] = []
        self.keys = {KEPT_KEY, WITHDRAWN_KEY}
        self._version = 0
        self._incarnations = 0
        self._clock_task: asyncio.Task | None = None
        self.longest_stall_s = 0.0
        #: Endpoints that have crashed and answer nothing until their next incarnation.
        self._crashed: set[EndpointId | None] = set()
        #: Paths of the calls that may be late, endpoints to which calls are held up,
        #: and the late calls themselves.
        self.late_paths: tuple[str, ...] = ()
        self._held_up: set[EndpointId | None] = set()
        self._late_calls: set[asyncio.Task] = set()
        self._late_rng = random.Random(f"late calls {seed}")
        #: Run times of the tasks that end, in milliseconds; random by default.
        self.task_ms: tuple[float, ...] = ()

    async def start(self) -> None:
        """Start everything."""
        store = await self.platform.serve(self.platform.handle_store)
        vms = await self.platform.serve(self.platform.handle_vms)
        self._endpoint_address = await self.platform.serve(self._handle_endpoint)
        self._clock_task = asyncio.create_task(self._advance())
        await self.publish()
        for pool in (*POOLS, STANDBY):
            for number in range(VMS_PER_POOL):
                await self._add_vm(VmId(f"vm-{pool}-{number}"), PoolId(pool), number)
        for number in range(ENTRY_COUNT):
            entry = Entry(self._root, number, store, vms, self._code)
            self.entries.append(entry)
            entry.start()

    async def wait_until_coordinated(self) -> None:
        """Wait until an entry is coordinator, while all are to run.

        :raises AssertionError: if none is in time, or an entry has exited.
        """
        until = time.monotonic() + READY_SECONDS
        while self.store.partition(Topic.JOBS).epoch <= 0:
            for entry in self.entries:
                entry.require_running()
            if time.monotonic() > until:
                raise AssertionError(
                    f"no entry became coordinator within {READY_SECONDS} s"
                )
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Stop everything that was started."""
        for entry in self.entries:
            entry.signal(signal.SIGCONT)
            entry.close()
        for proxy in self.proxies.values():
            proxy.close()
        if self._clock_task is not None:
            self._clock_task.cancel()
        await self.platform.close()

    async def _advance(self) -> None:
        while True:
            self.endpoints.advance_clocks()
            before = time.monotonic()
            await asyncio.sleep(CLOCK_INTERVAL_SECONDS)
            stall_s = time.monotonic() - before - CLOCK_INTERVAL_SECONDS
            self.longest_stall_s = max(self.longest_stall_s, stall_s)

    async def _leave_unanswered(self, request: web.BaseRequest) -> None:
        """Leave a request open that an endpoint had received before it crashed."""
        until = time.monotonic() + UNANSWERED_SECONDS
        while time.monotonic() < until and request.transport is not None:
            await asyncio.sleep(0.1)

    async def _handle_endpoint(self, request: web.BaseRequest) -> web.Response:
        id = EndpointId(request.headers["Hickoryplank-Expect-Instance"])
        if id in self._crashed:
            await self._leave_unanswered(request)
            raise ConnectionResetError
        may_be_late = id in self._held_up and request.path in self.late_paths
        if may_be_late and self._late_rng.random() < LATE_FRACTION:
            order = json.loads(await request.read())
            late = asyncio.create_task(self._carry_out_late(id, request.path, order))
            self._late_calls.add(late)
            await self._leave_unanswered(request)
            raise ConnectionResetError
        if request.path == "/api/hold":
            order = json.loads(await request.read())
            incarnation = self.endpoints.endpoints.get(id)
            await self._wait_for_end(id, order.get("wait_ms", 0) / 1000)
            if id in self._crashed:
                await self._leave_unanswered(request)
            if (
                self.endpoints.endpoints.get(id) is not incarnation
                and request.transport
            ):
                # The incarnation that the request had reached has ended.
                request.transport.abort()
                return web.Response(status=503)
        return await self.platform.handle_endpoint(request)

    async def hold_up_calls(self, vm: VmId, for_s: float) -> None:
        """Leave calls to the endpoint of a VM unanswered, and carry them out late.

        :param for_s: time for which new calls are held up, in seconds.
        """
        id = self.vms.vms[vm].endpoint
        self._held_up.add(id)
        await asyncio.sleep(for_s)
        self._held_up.discard(id)
        await asyncio.gather(*self._late_calls)

    async def _carry_out_late(self, id: EndpointId, path: str, order: dict) -> None:
        """Carry a call out in the incarnation that is there then, if there is one."""
        self._log_late_call("sent", id, path, order)
        await asyncio.sleep(self._late_rng.uniform(*LATE_SECONDS))
        incarnation = self.endpoints.endpoints.get(id)
        self._log_late_call("carried out", id, path, order)
        self.platform.carry_out(id, path, order)
        if path != "/api/hold":
            return
        # It may apply the acknowledgement when it answers, too.
        await self._wait_for_end(id, order.get("wait_ms", 0) / 1000)
        if incarnation is not None and self.endpoints.endpoints.get(id) is incarnation:
            self._log_late_call("answered", id, path, order)
            self.platform.carry_out(id, path, order)

    def _log_late_call(self, what: str, id: EndpointId, path: str, order: dict) -> None:
        """Log a late call, with the incarnation that is there and its ends."""
        one = self.endpoints.endpoints.get(id)
        there = None if one is None else (one.born_ms, one.ends)
        line = msgspec.json.encode((time.time(), what, id, path, order, there))
        with (self._root / "late-calls.log").open("ab") as log:
            log.write(line + b"\n")

    async def _wait_for_end(self, id: EndpointId, wait_s: float) -> None:
        """Wait until a run has ended on the endpoint, as a poll may request."""
        until = time.monotonic() + wait_s
        while time.monotonic() < until:
            one = self.endpoints.endpoints.get(id)
            if one is None or one.ends:
                return
            await asyncio.sleep(CLOCK_INTERVAL_SECONDS)

    # Operators

    async def publish(self) -> None:
        """Publish the configuration with the present keys."""
        self._version += 1
        pools = [{"name": name} for name in POOLS]
        routes = [
            {
                "name": f"q-{pool}",
                "host": HOST,
                "path_prefix": f"/{pool}/",
                "service": pool,
                "attempts": 5,
                "stretch": 2.0,
                "target_latency_ms": 600,
            }
            for pool in POOLS
        ]
        keys = {"rutas": [KEPT_KEY], "pagos": sorted(self.keys - {KEPT_KEY})}
        tenants = [
            {
                "name": team,
                "api_keys": keys[team],
                "weight": 50,
                "cap": {"cpu": size.cpu, "mem_mb": 0, "gpu": 0},
            }
            for team, size in LIMITS.items()
        ]
        config = {
            "version": self._version,
            "routes": routes,
            "services": [*pools, {"name": STANDBY, "standby": True}],
            "limits": {},
            "tenants": tenants,
        }
        await self._write(Topic.OPERATOR, "config", config)

    async def withdraw_key(self) -> None:
        """Withdraw one of the two keys."""
        if WITHDRAWN_KEY in self.keys:
            self.keys.discard(WITHDRAWN_KEY)
            await self.publish()
            self.checker.withdrawn_at[WITHDRAWN_KEY] = time.monotonic()

    async def request_random_wave(self, number: int) -> None:
        """Request a maintenance wave for random VMs."""
        await self.request_wave(
            number, self._rng.sample(sorted(self.vms.vms), WAVE_VMS)
        )

    async def request_wave(self, number: int, machines: list[VmId]) -> None:
        """Request a maintenance wave."""
        wave = {"wave": number, "machines": machines, "deadline_s": 20, "cap": 2}
        await self._write(Topic.OPERATOR, f"wave/{number}", wave)

    async def evacuate_zone(self, zone: Zone) -> None:
        """Request to evacuate an availability zone."""
        await self._append(Topic.OPERATOR, Record(f"evacuate/{zone}", b"{}"))
        epoch = self._lease_epoch()
        self.checker.evacuations[zone] = Evacuation(time.monotonic(), epoch)

    async def take_zone_back(self, zone: Zone) -> None:
        """Remove the request to evacuate an availability zone."""
        self.checker.evacuations.pop(zone, None)
        await self._append(Topic.OPERATOR, Record(f"evacuate/{zone}", b""))

    async def write_odd_listings(self) -> None:
        """Write entries to the list of endpoints that name none to use, for good."""
        sound = json.dumps(self._listing(next(iter(self.vms.vms.values())), 1))
        records = [
            Record(key, edit(sound).encode()) for key, edit in _ODD_LISTINGS.items()
        ]
        (await self.store.append(Topic.LISTINGS, records, None)).unwrap()

    async def _write(self, topic: Topic, key: str, body) -> None:
        await self._append(
            topic, Record(key, json.dumps(body).encode() if body else b"")
        )

    async def _append(self, topic: Topic, record: Record) -> None:
        (await self.store.append(topic, [record], None)).unwrap()

    # VMs and their endpoints

    async def _add_vm(self, vm: VmId, pool: PoolId, number: int) -> None:
        self.proxies[vm] = Proxy(self._endpoint_address)
        zone = ZONES[number % len(ZONES)]
        labels = ("a", f"r-{number % 2}")
        self.vms.vms[vm] = ListedVm(
            vm, pool, VmState.UP, zone, labels, CAPACITY, EndpointId("")
        )
        self._return_to_service(self.vms.vms[vm])

    def _take_down(self, vm: ListedVm) -> None:
        assert vm.endpoint is not None
        ordered_away = self.endpoints.endpoints.get(vm.endpoint)
        if isinstance(ordered_away, ObservedEndpoint):
            self.checker.note_ordered_away(ordered_away)
        self._end_incarnation(vm.endpoint)
        self._write_listing(vm.endpoint, None)

    def _return_to_service(self, vm: ListedVm) -> None:
        self._incarnations += 1
        id = EndpointId(f"i-{self._incarnations}")
        returned = msgspec.structs.replace(vm, endpoint=id)
        self.vms.vms[vm.id] = returned
        self._begin_incarnation(returned)

    def restart_endpoint(self, vm: VmId) -> None:
        """Restart the endpoint of a VM under the same id."""
        if vm not in self.vms.unavailable:
            row = self.vms.vms[vm]
            self._end_incarnation(row.endpoint)
            self._begin_incarnation(row)

    def crash_endpoints(self, vms: list[VmId]) -> None:
        """End the endpoints of VMs, and hold back all data from and to them.

        What was sent to them meanwhile reaches the next incarnation.
        """
        for vm in vms:
            self.proxies[vm].freeze()
            self._crashed.add(self.vms.vms[vm].endpoint)
            self._end_incarnation(self.vms.vms[vm].endpoint)
            self.vms.set_state(vm, VmState.DOWN)

    def start_endpoints_again(self, vms: list[VmId], *, listed: bool = True) -> None:
        """Begin the next incarnation of crashed endpoints, under the same ids.

        :param listed: whether the list of endpoints shows it already.
        """
        for vm in vms:
            self.vms.set_state(vm, VmState.UP)
            self._crashed.discard(self.vms.vms[vm].endpoint)
            if vm not in self.vms.unavailable:
                self._begin_incarnation(self.vms.vms[vm], listed=listed)
            self.proxies[vm].restore()

    def lapse_listings_of(self, vms: list[VmId]) -> None:
        """Remove the endpoints of VMs from the list."""
        for vm in vms:
            self._write_listing(self.vms.vms[vm].endpoint, None)

    def lapse_listings(self) -> list[VmId]:
        """Remove all endpoints from the list, and return their VMs."""
        vms = sorted(set(self.vms.vms) - set(self.vms.unavailable))
        self.lapse_listings_of(vms)
        return vms

    def vms_with_lasting_tasks(self) -> list[VmId]:
        """Return the VMs on which lasting tasks run, those with most of them first."""
        counts = {
            id: sum(run.work_ms is None for run in endpoint.running.values())
            for id, vm in sorted(self.vms.vms.items())
            if (endpoint := self.endpoints.endpoints.get(vm.endpoint)) is not None
        }
        busy = [id for id, count in counts.items() if count]
        return sorted(busy, key=lambda id: counts[id], reverse=True)[:WAVE_VMS]

    def relist(self, vms: list[VmId]) -> None:
        """List the endpoints of VMs again, as far as these are in service."""
        for id in vms:
            vm = self.vms.vms[id]
            endpoint = self.endpoints.endpoints.get(vm.endpoint)
            if id not in self.vms.unavailable and endpoint is not None:
                self._write_listing(vm.endpoint, self._listing(vm, endpoint.born_ms))

    def _begin_incarnation(self, vm: ListedVm, *, listed: bool = True) -> None:
        # Restarts of one endpoint may overlap.
        self._end_incarnation(vm.endpoint)
        born_ms = time.time_ns() // 1_000_000
        incarnation = ObservedEndpoint(
            vm.endpoint,
            born_ms,
            self._work_ms,
            CAPACITY,
            self._rng.uniform(0.98, 1.0),
            self.checker,
            vm.zone,
        )
        incarnation.clock_ms = self._clock_rng.choice(FIRST_CLOCKS_MS)
        self.endpoints.endpoints[vm.endpoint] = incarnation
        if listed:
            self._write_listing(vm.endpoint, self._listing(vm, born_ms))

    def _end_incarnation(self, id: EndpointId | None) -> None:
        ended = self.endpoints.endpoints.pop(id, None)
        if isinstance(ended, ObservedEndpoint):
            self.checker.note_incarnation_ended(ended)

    def _listing(self, vm: ListedVm, born_ms: int):
        return {
            "service": vm.pool,
            "address": self.proxies[vm.id].address,
            "zone": vm.zone,
            "state": "ready",
            "capacity": {"cpu": CAPACITY.cpu, "mem_mb": CAPACITY.mem_mb},
            "labels": list(vm.labels),
            "born": born_ms,
        }

    def _write_listing(self, id: EndpointId, body) -> None:
        asyncio.ensure_future(self._write(Topic.LISTINGS, id, body))

    def _work_ms(self, key) -> float | None:
        job = self.checker.jobs.get(key.job)
        if job is None or job.steps[key.step].lasting:
            return None
        rng = random.Random(f"{key.job}{key.step}{key.index}")
        return rng.choice(self.task_ms) if self.task_ms else rng.uniform(60, 900)

    def _lease_epoch(self) -> int:
        """Return the highest stored epoch of a coordinator; 0 before the first."""
        records = self.store.partition(Topic.LEASE).records
        if not records:
            return 0
        return msgspec.msgpack.decode(records[-1].value, type=LeaseRecord).epoch

    def lease_holder(self) -> Entry:
        """Return the entry that holds the lease by the store; by default the first."""
        records = self.store.partition(Topic.LEASE).records
        if records:
            lease = msgspec.msgpack.decode(records[-1].value, type=LeaseRecord)
            for entry in self.entries:
                if entry.peers == lease.address:
                    return entry
        return self.entries[0]
