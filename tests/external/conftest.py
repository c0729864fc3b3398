"""Fixtures that provide each platform service in memory and over HTTP."""

import math
from contextlib import asynccontextmanager
from functools import partial

import anyio
import httpx
import msgspec
import pytest

from hickoryplank.external.channel import ChannelOptions
from hickoryplank.external.log_http import HttpLog
from hickoryplank.external.log_memory import MemoryLog
from hickoryplank.external.vmlist import ListedState, ListedVm
from hickoryplank.external.vmlist_http import HttpVmList
from hickoryplank.external.vmlist_memory import MemoryVmList
from hickoryplank.external.worker_http import HttpWorkerDirectory
from hickoryplank.external.worker_memory import MemoryWorker
from hickoryplank.external.worker_simulator import WorkerSimulator
from tests.standins import log, service, vms, worker

READ_TIMEOUT_SECONDS = 0.3
PROBE_INTERVAL_SECONDS = 0.1
SLOTS = 3
OPTIONS = ChannelOptions(read_seconds=READ_TIMEOUT_SECONDS)


class ServiceHarness:
    """A client under test and the simulated service behind it.

    :param address: address of the service; empty for an in-memory client.
    """

    def __init__(self, client, simulator, address: str = "") -> None:
        self.client = client
        self.simulator = simulator
        self.over_http = bool(address)
        self._url = f"http://{address}"

    async def inject(self, **changes) -> None:
        if self.over_http:
            return await self._post("/fault", msgspec.json.encode(changes))
        faults = msgspec.structs.replace(self.simulator.faults, **changes)
        return self.simulator.set_faults(faults)

    async def blackhole(self) -> None:
        if self.over_http:
            await self._post("/silence", b"")

    async def _post(self, path: str, body: bytes) -> None:
        async with httpx.AsyncClient(trust_env=False, verify=False) as client:
            (await client.post(self._url + path, content=body)).raise_for_status()


@asynccontextmanager
async def serve_app(app, **settings):
    """Serve ``app`` on a loopback port and yield its address."""
    sock, stop = service.listen("127.0.0.1:0"), anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(partial(service.serve, app, sock, stop.wait, **settings))
        yield service.address_of(sock)
        stop.set()


@asynccontextmanager
async def make_harness(kind: str, simulator, app, memory, http):
    """Yield the client of ``kind`` (memory or http) with its simulated service."""
    if kind == "memory":
        yield ServiceHarness(memory, simulator)
        return
    async with serve_app(app) as address:
        client = http(address)
        yield ServiceHarness(client, simulator, address)
        await client.aclose()


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture(params=["memory", "http"])
async def log_harness(request, anyio_backend):
    simulator = MemoryLog(
        READ_TIMEOUT_SECONDS if request.param == "memory" else math.inf
    )
    http = partial(HttpLog, options=OPTIONS)
    async with make_harness(
        request.param, simulator, log.make_app(simulator), simulator, http
    ) as harness:
        yield harness


@pytest.fixture(params=["memory", "http"])
async def vm_list_harness(request, anyio_backend):
    rows = [ListedVm(f"vm-{i}", f"10.0.0.{i}", ListedState.LIVE, 1) for i in range(2)]
    simulator = MemoryVmList(rows)
    http = partial(HttpVmList, options=OPTIONS)
    async with make_harness(
        request.param, simulator, vms.make_app(simulator), simulator, http
    ) as harness:
        yield harness


@pytest.fixture(params=["memory", "http"])
async def worker_harness(request, anyio_backend):
    simulator = WorkerSimulator(SLOTS)
    memory = MemoryWorker(simulator, READ_TIMEOUT_SECONDS)
    http = HttpWorkerDirectory(OPTIONS, PROBE_INTERVAL_SECONDS).at
    app = worker.make_app(simulator)
    async with make_harness(request.param, simulator, app, memory, http) as harness:
        yield harness
