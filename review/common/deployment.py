"""A small deployment: entry processes of the project between stand-ins."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from standin import Advice, Cloud, Executor, Recorder, Relay, Store, call, serve

ROOT = Path(__file__).resolve().parents[2]
CALLERS_HOST = "calls.example"
KEY = "key-of-tenant-one"
QUEUE_PREFIX = "/ronda/"
SERVICE = "rondas"
#: Whether the case plays with its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Longest time for a case, in seconds.
MAX_SECONDS = 117.0

_SETTINGS = """[node]
name = {name}

[listen]
callers = {callers}
readiness = {readiness}
peers = {peers}
metrics = {metrics}

[vm]
cpu_share = 0.537
core_speed = 2
link_mbps = 1000.0

[platform]
store = {store}
vms = {vms}
advice = {advice}

[bounds]
grace_s = 6
lease_max_ms = 10000
move_s = 1.5
maintenance_s = 2
orders_apart_ms = 3000
orders_per_s = 64.0
status_s = 120

[log]
log_level = info
"""


class NotRunError(Exception):
    """The case could not run."""


def _free_addresses(count: int) -> list[str]:
    """Return free addresses, on a loopback address that no other case uses."""
    pid = os.getpid()
    host = f"127.{1 + (pid >> 16) % 250}.{pid >> 8 & 255}.{1 + (pid & 255) % 250}"
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    addresses = [f"{host}:{one.getsockname()[1]}" for one in sockets]
    for one in sockets:
        one.close()
    return addresses


class Entry:
    """One entry process, run as the deploy file says."""

    def __init__(self, folder: Path, number: int, store: str, vms: str, advice: str):
        self.name = f"entry-{number}"
        callers, readiness, peers, metrics = _free_addresses(4)
        self.callers, self.readiness, self.peers = callers, readiness, peers
        self._settings = folder / f"{self.name}.ini"
        self._settings.write_text(
            _SETTINGS.format(
                name=self.name,
                callers=callers,
                readiness=readiness,
                peers=peers,
                metrics=metrics,
                store=store,
                vms=vms,
                advice=advice,
            )
        )
        self.log = folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["HICKORYPLANK_CONFIG"] = str(self._settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "hickoryplank", "entry"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Deployment:
    """Store, executors, machines and entries on loopback addresses.

    :param services: names of all services; the queue is sent to the first.
    :param advice: the service that decides which executors may run a step, if the
        queue has one.
    :param store: settings of the store.
    """

    def __init__(
        self,
        recorder: Recorder,
        entries: int = 3,
        services: tuple[str, ...] = (SERVICE,),
        advice: Advice | None = None,
        **store,
    ):
        self.recorder = recorder
        self.store = Store(recorder, **store)
        self.executors: list[Executor] = []
        self.relays: dict[str, Relay] = {}
        self.entries: list[Entry] = []
        self._entry_count = entries
        self._services = services
        self._advice = advice
        self._folder = Path(tempfile.mkdtemp(prefix="hickoryplank-review-"))
        self._servers: list[asyncio.Server] = []

    async def start(self, executors: list[Executor]) -> None:
        """Start the stand-ins and the entries, and wait until callers are served.

        :param executors: the executors; each is reached through a relay of its own.
        """
        self.executors = executors
        for one in executors:
            await self._serve_executor(one)
            self.store.write("keyed.servers", one.id, one.listing())
        self.publish(2, self._services[0])
        store_server, store = await serve(self.store.handle)
        cloud_server, cloud = await serve(Cloud(executors).handle)
        self._servers += [store_server, cloud_server]
        advice = ""
        if self._advice is not None:
            advice_server, advice = await serve(self._advice.handle)
            self._servers.append(advice_server)
        for number in range(self._entry_count):
            entry = Entry(self._folder, number, store, cloud, advice)
            self.entries.append(entry)
            entry.start()
        await self._await_service()

    async def _serve_executor(self, one: Executor) -> None:
        server, address = await serve(one.handle)
        self._servers.append(server)
        relay = self.relays[one.id] = Relay()
        await relay.start(address)
        one.address = relay.address

    async def replace(self, gone: Executor, fresh: Executor) -> None:
        """Bring a machine back whose executor has crashed, as a new executor."""
        self.executors[self.executors.index(gone)] = fresh
        self.store.write("keyed.servers", gone.id, b"")
        await self._serve_executor(fresh)
        self.store.write("keyed.servers", fresh.id, fresh.listing())

    def publish(self, version: int, service: str) -> None:
        """Write a configuration as the operator.

        :param service: service that runs the tasks of the queue.
        """
        route = {
            "name": "ronda",
            "host": CALLERS_HOST,
            "path_prefix": QUEUE_PREFIX,
            "service": service,
            "priority": 0,
            "attempts": 3,
            "stretch": 1.6,
            "target_latency_ms": 600,
        }
        if self._advice is not None:
            route["advice"] = self._advice.timing
        config = {
            "version": version,
            "routes": [route],
            "services": [
                {"name": name, "enforces_capacity": False} for name in self._services
            ],
            "limits": {},
            "tenants": [
                {
                    "name": "one",
                    "api_keys": [KEY],
                    "weight": 100,
                    "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0},
                }
            ],
        }
        self.store.write("keyed.op", "config", json.dumps(config).encode())
        self.recorder.note(f"operator: configuration {version}, queue to {service}")

    async def _await_service(self) -> None:
        for _ in range(300):
            for entry in self.entries:
                assert entry.process is not None
                if entry.process.poll() is not None:
                    raise NotRunError(f"{entry.name} ended: {entry.log.read_text()}")
            if (await self.ask_pending())[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise NotRunError("no entry serves callers after 30 s")

    # Clients

    async def client(
        self, method: str, path: str, body=None, entry: int = 0, within_s: float = 3.0
    ) -> tuple[int | None, dict]:
        """Send one request as a client; note it and its answer."""
        headers = {
            "Host": CALLERS_HOST,
            "Authorization": f"Bearer {KEY}",
            "Hickoryplank-Deadline-Ms": str(int(within_s * 1000)),
            "Content-Type": "application/json",
        }
        data = json.dumps(body).encode() if body is not None else b""
        address = self.entries[entry % len(self.entries)].callers
        status, answer = await call(address, method, path, data, headers, within_s)
        try:
            decoded = json.loads(answer) if answer else {}
        except ValueError:
            decoded = {}
        return status, decoded

    async def ask_pending(self) -> tuple[int | None, dict]:
        """Ask the first entry for the number of pending jobs."""
        return await self.client("GET", QUEUE_PREFIX, within_s=1.0)

    async def submit(self, job: str, body: dict, tries: int = 5) -> bool:
        """Hand a job in, at another entry each time; return whether it is accepted."""
        for number in range(tries):
            status, _ = await self.client(
                "POST", QUEUE_PREFIX + job, body, entry=number
            )
            self.recorder.note(f"client: POST {job} -> {status}")
            if status is not None and 200 <= status < 300:
                return True
            if status in (400, 401, 404, 413):
                return False
            await asyncio.sleep(1.0 if status in (429, 503) else 0.2)
        return False

    async def state(self, job: str, tries: int = 1) -> str | None:
        """Ask for the state of a job; none if no entry answers in time."""
        for number in range(tries):
            status, answer = await self.client("GET", QUEUE_PREFIX + job, entry=number)
            text = answer.get("state", "")
            self.recorder.note(f"client: GET {job} -> {status} {text}")
            if status == 200:
                return text
            if status == 410:
                return "gone"
            await asyncio.sleep(1.0 if status in (429, 503) else 0.2)
        return None

    async def await_state(self, job: str, wanted: str, within_s: float) -> bool:
        """Ask until a job has the wanted state; return whether it came in time."""
        until = self.recorder.now() + within_s
        while self.recorder.now() < until:
            if await self.state(job, tries=3) == wanted:
                return True
            await asyncio.sleep(0.3)
        return False

    async def close(self) -> None:
        """End all processes that were started."""
        for entry in self.entries:
            entry.kill()
        for server in self._servers:
            server.close()
        shutil.rmtree(self._folder, ignore_errors=True)


async def _play_within_time(recorder: Recorder, play) -> list[str]:
    """Play a case; end its processes also if it is stopped or takes too long."""
    task = asyncio.ensure_future(play(recorder))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await asyncio.wait_for(task, MAX_SECONDS)
    except (TimeoutError, asyncio.CancelledError):
        raise NotRunError("stopped, or not finished in time") from None


def run_case(folder: Path, play) -> None:
    """Play a case and exit with its result.

    :param play: coroutine function of a recorder; returns the breaches found.
    """
    recorder = Recorder(str(folder / "record.txt"))
    recorder.note(f"disruption: {'yes' if TROUBLE else 'no'}")
    try:
        breaches = asyncio.run(_play_within_time(recorder, play))
    except NotRunError as exc:
        recorder.note(f"not run: {exc}")
        print(f"the case could not run: {exc}", flush=True)
        os._exit(NOT_RUN)
    for one in breaches[:20]:
        recorder.note(f"BROKEN: {one}")
        print(f"broken: {one}")
    recorder.note(f"result: {len(breaches)} breaches")
    recorder.close()
    if not breaches:
        print("held")
    sys.stdout.flush()
    # The connections that the entries had kept open need no orderly close.
    os._exit(BROKEN if breaches else HELD)
