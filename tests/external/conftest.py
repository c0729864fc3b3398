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

READ_SECONDS = 0.3
PROBE_INTERVAL_SECONDS = 0.1
SLOTS = 3
OPTIONS = ChannelOptions(read_seconds=READ_SECONDS)


class ServiceHarness:
    """A client under test and the simulated service behind it.

    :param address: address of the service; empty for an in-memory client.
    """

    def __init__(self, client, model, address: str = "") -> None:
        self.client = client
        self.model = model
        self.http = bool(address)
        self._url = f"http://{address}"

    async def inject(self, **changes) -> None:
        if self.http:
            return await self._post("/fault", msgspec.json.encode(changes))
        faults = msgspec.structs.replace(self.model.faults, **changes)
        return self.model.set_faults(faults)

    async def blackhole(self) -> None:
        if self.http:
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
async def make_harness(kind: str, model, app, memory, http):
    """Yield the client of ``kind`` (memory or http) with its simulated service."""
    if kind == "memory":
        yield ServiceHarness(memory, model)
        return
    async with serve_app(app) as address:
        client = http(address)
        yield ServiceHarness(client, model, address)
        await client.aclose()


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture(params=["memory", "http"])
async def log_harness(request, anyio_backend):
    model = MemoryLog(READ_SECONDS if request.param == "memory" else math.inf)
    http = partial(HttpLog, options=OPTIONS)
    async with make_harness(
        request.param, model, log.make_app(model), model, http
    ) as harness:
        yield harness


@pytest.fixture(params=["memory", "http"])
async def vm_list_harness(request, anyio_backend):
    rows = [ListedVm(f"vm-{i}", f"10.0.0.{i}", ListedState.LIVE, 1) for i in range(2)]
    model = MemoryVmList(rows)
    http = partial(HttpVmList, options=OPTIONS)
    async with make_harness(
        request.param, model, vms.make_app(model), model, http
    ) as harness:
        yield harness


@pytest.fixture(params=["memory", "http"])
async def worker_harness(request, anyio_backend):
    model = WorkerSimulator(SLOTS)
    memory = MemoryWorker(model, READ_SECONDS)
    http = HttpWorkerDirectory(OPTIONS, PROBE_INTERVAL_SECONDS).at
    app = worker.make_app(model)
    async with make_harness(request.param, model, app, memory, http) as harness:
        yield harness
