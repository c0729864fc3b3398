"""Each platform service behind its in-memory and its HTTP client."""

import math
from contextlib import asynccontextmanager
from functools import partial

import anyio
import httpx
import msgspec
import pytest

from hickoryplank.platform.channel import ChannelOptions
from hickoryplank.platform.log_http import HttpLog
from hickoryplank.platform.log_memory import MemoryLog
from hickoryplank.platform.vmlist import ListedState, ListedVm
from hickoryplank.platform.vmlist_http import HttpVmList
from hickoryplank.platform.vmlist_memory import MemoryVmList
from hickoryplank.platform.worker_engine import WorkerEngine
from hickoryplank.platform.worker_http import HttpWorkers
from hickoryplank.platform.worker_memory import MemoryWorker
from tests.standins import log, service, vms, worker

READ_SECONDS = 0.3
PROBE_SECONDS = 0.1
SLOTS = 3
OPTIONS = ChannelOptions(read_seconds=READ_SECONDS)


class Side:
    """A client, the model behind it and the way to set its faults."""

    def __init__(self, client, model, address: str = "") -> None:
        self.client = client
        self.model = model
        self.address = address
        self.http = bool(address)

    async def fault(self, **changes) -> None:
        if self.http:
            await self.post("/fault", changes)
        else:
            self.model.set_faults(msgspec.structs.replace(self.model.faults, **changes))

    async def post(self, path: str, body=None) -> None:
        async with httpx.AsyncClient(trust_env=False, verify=False) as client:
            content = msgspec.json.encode(body or {})
            reply = await client.post(f"http://{self.address}{path}", content=content)
            assert reply.status_code == 200, reply.text


@asynccontextmanager
async def served(app, **tls):
    """Serve ``app`` on a loopback port and give its address."""
    sock = service.listen("127.0.0.1:0")
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(lambda: service.serve(app, sock, stop.wait, **tls))
        yield service.address_of(sock)
        stop.set()


@asynccontextmanager
async def side(kind: str, model, app, memory, http):
    """Give the side of ``kind``."""
    if kind == "memory":
        yield Side(memory, model)
        return
    async with served(app) as address:
        client = http(address)
        yield Side(client, model, address)
        await client.aclose()


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture(params=["memory", "http"])
async def log_side(request, anyio_backend):
    model = MemoryLog(READ_SECONDS if request.param == "memory" else math.inf)
    app = log.make_app(model)
    http = partial(HttpLog, options=OPTIONS)
    async with side(request.param, model, app, model, http) as made:
        yield made


@pytest.fixture(params=["memory", "http"])
async def vms_side(request, anyio_backend):
    rows = [ListedVm(f"vm-{i}", f"10.0.0.{i}", ListedState.LIVE, 1) for i in range(2)]
    model = MemoryVmList(rows)
    http = partial(HttpVmList, options=OPTIONS)
    async with side(request.param, model, vms.make_app(model), model, http) as made:
        yield made


@pytest.fixture(params=["memory", "http"])
async def worker_side(request, anyio_backend):
    engine = WorkerEngine(SLOTS)
    memory = MemoryWorker(engine, READ_SECONDS)
    http = HttpWorkers(OPTIONS, PROBE_SECONDS).at
    app = worker.make_app(engine)
    async with side(request.param, engine, app, memory, http) as made:
        yield made
