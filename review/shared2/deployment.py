"""A small deployment of the project's entries, started by the deploy file's command."""

import asyncio
import contextlib
import hashlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from standins import Executor, Executors, Machines, Store, read_message

ROOT = Path(__file__).resolve().parents[2]
HOST = "pule25.example"
KEY = "key-of-rutas"
GRACE_SECONDS = 6.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
_used_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return free ports of loopback, from a range of this case.

    They are below those that outgoing connections take.
    """
    name = Path(sys.argv[0]).resolve().parent.name
    first = 20000 + 1000 * (int(name) if name.isdigit() else 1)
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(first, first + 1000)
        if port in _used_ports:
            continue
        _used_ports.add(port)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            ports.append(port)
    return ports


def render(text: str, fields: dict) -> str:
    """Fill in a template of the settings as DEPLOY.md tells."""

    def value(name: str):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part, "") if isinstance(found, dict) else ""
        return found

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
        lambda m: m[2] if value(m[1]) else "",
        text,
        flags=re.S,
    )
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m[1])), text)


class Entry:
    """One entry: its process, and the addresses that it serves."""

    def __init__(self, number: int, folder: Path, store: str, vms: str):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        self.command = role["run"].split(" ")
        self.name = f"edge-a-{number}"
        front, ready, first, last = free_ports(4)
        self.front = f"127.0.0.1:{front}"
        self.readiness = f"127.0.0.1:{ready}"
        fields = {
            "node": self.name,
            "ip": "127.0.0.1",
            "listen": {"front": self.front, "readiness": self.readiness},
            "port_range": [first, last],
            "limits": {"cpu_share": 0.537, "cores": 2, "link_mbps": 1000.0},
            "platform": {"address": store},
            "cloud_api": {"address": vms, "duty_per_s": 64.0},
            "advice": "",
            "bounds": {
                "grace_s": 6,
                "hold_max_ms": 10000,
                "stop_grace_ms": 400,
                "migrate_s": 1.5,
                "maintenance_s": 2,
                "lease_ms": 3000,
                "status_s": 120,
            },
        }
        self.settings = folder / f"{self.name}.conf"
        self.settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        self.log = folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the environment that DEPLOY.md names."""
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env["HICKORYPLANK_CONFIG"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send(self, number: int) -> None:
        """Send a signal to the process, if it is running."""
        if self.running:
            self.process.send_signal(number)

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None


class Deployment:
    """Stand-ins, entries, a client, and the record of what was seen.

    :param services: number of executors of each service.
    """

    def __init__(self, services: dict[str, int], entries: int = 3):
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._record = (Path(sys.argv[0]).resolve().parent / "record.txt").open("w")
        self._began = time.monotonic()
        self.store = Store()
        self.park = Executors(self.store, self.note)
        self.park.clock = self.now
        self.machines = Machines(self.park)
        self._services = services
        self._entry_count = entries
        self.entries: list[Entry] = []
        self.executors: list[Executor] = []
        self.version = 0

    def note(self, what: str, **more) -> None:
        """Write a line to the record."""
        at = time.monotonic() - self._began
        text = " ".join(f"{key}={value}" for key, value in more.items())
        self._record.write(f"{at:8.3f} {what} {text}\n")
        self._record.flush()

    def now(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._began

    def configure(self, routes: list[dict] | None = None) -> None:
        """Write the next version of the configuration as the operator."""
        self.version += 3
        if routes is None:
            routes = [self.route(name) for name in self._services]
        config = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": name, "enforces_capacity": False} for name in self._services
            ],
            "tenants": [
                {
                    "name": "rutas",
                    "api_keys": [KEY],
                    "weight": 100,
                    "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0},
                }
            ],
            "limits": {},
        }
        self.store.write("keyed.op", "config", config)
        names = [one["name"] for one in routes]
        self.note("configuration", version=self.version, routes=names)

    @staticmethod
    def route(service: str, attempts: int = 3) -> dict:
        """Return the route of a service, which is the queue of its jobs."""
        return {
            "name": f"q-{service}",
            "host": HOST,
            "path_prefix": f"/{service}/",
            "service": service,
            "priority": 0,
            "attempts": attempts,
            "stretch": 1.6,
            "target_latency_ms": 600,
        }

    async def start(self, labels=lambda number: ("a", "r-1")) -> None:
        """Start everything, and wait until an entry serves."""
        await self.store.server.start()
        await self.machines.server.start()
        self.configure()
        for service, count in self._services.items():
            for number in range(count):
                digest = hashlib.sha256(f"{service}/{number}".encode()).hexdigest()
                id = f"i-{digest[:10]}"
                one = Executor(self.park, id, service, labels(number))
                await one.start()
                self.executors.append(one)
        self.park.start_clock()
        for number in range(1, self._entry_count + 1):
            entry = Entry(
                number,
                Path(self._folder.name),
                self.store.server.address,
                self.machines.server.address,
            )
            self.entries.append(entry)
            entry.start()
        service = next(iter(self._services))
        for entry in self.entries:
            for _ in range(300):
                if (await self.call(entry, "GET", f"/{service}/", quiet=True))[
                    0
                ] == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"{entry.name} does not serve")
        self.note("all entries serve")

    async def close(self) -> None:
        """End all processes that were started."""
        for entry in self.entries:
            entry.send(signal.SIGCONT)
            entry.send(signal.SIGTERM)
        until = time.monotonic() + GRACE_SECONDS
        for entry in self.entries:
            while entry.running and time.monotonic() < until:
                await asyncio.sleep(0.05)
            entry.send(signal.SIGKILL)
            if entry.process is not None:
                entry.process.wait()
        await self.park.stop()
        await self.machines.server.stop()
        await self.store.server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for entry in self.entries:
                Path(keep, entry.log.name).write_bytes(entry.log.read_bytes())
        self._folder.cleanup()

    def lease_holder(self) -> Entry:
        """Return the entry that last wrote to the store under a condition."""
        records = self.store.topic("keyed.coordinator").records
        for entry in self.entries:
            if records and entry.name.encode() in records[-1]:
                return entry
        raise RuntimeError("no entry has written to the store under a condition")

    async def call(
        self,
        entry: Entry,
        method: str,
        path: str,
        body=None,
        timeout_s: float = 3.0,
        quiet: bool = False,
    ) -> tuple[int, dict]:
        """Make a call as a client; the status is 0 if there is no complete answer."""
        sent_at = self.now()
        data = json.dumps(body).encode() if body is not None else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Authorization: Bearer {KEY}\r\n"
            f"Hickoryplank-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        status, answer, why = 0, {}, ""
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                host, port = entry.front.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head.encode() + data)
                await writer.drain()
                message = await read_message(reader)
                if message is None:
                    why = "connection ended"
                else:
                    status = int(message[0].split(" ")[1])
                    with contextlib.suppress(ValueError):
                        answer = json.loads(message[2])
        except TimeoutError:
            why = "no answer in time"
        except (OSError, asyncio.IncompleteReadError) as exc:
            why = type(exc).__name__
        finally:
            if writer is not None:
                writer.close()
        if not quiet:
            self.note(
                "call",
                entry=entry.name,
                method=method,
                path=path,
                sent=f"{sent_at:.3f}",
                status=status,
                answer=json.dumps(answer),
                why=why,
            )
        return status, answer

    async def submit(self, service: str, id: str, spec: dict, stages, **more) -> bool:
        """Hand a job in, with up to four retries; return whether it was accepted."""
        body = {"spec": json.dumps(spec), "job_stages": stages, **more}
        for attempt in range(5):
            entry = self.entries[attempt % len(self.entries)]
            status, _ = await self.call(entry, "POST", f"/{service}/{id}", body)
            if 200 <= status < 300:
                return True
            if status in (400, 404):
                return False
            await asyncio.sleep(0.3)
        return False

    async def state(self, service: str, id: str, quiet: bool = False) -> str:
        """Return the state of a job; the status if it is not told, and 0 for none."""
        for entry in self.entries:
            if not entry.running:
                continue
            status, answer = await self.call(
                entry, "GET", f"/{service}/{id}", quiet=quiet
            )
            if status == 200:
                return answer["state"]
            if status == 410:
                return "410"
        return "0"

    async def wait_state(self, service: str, id: str, states, seconds: float) -> str:
        """Ask for the state of a job until it is one of ``states``."""
        until = self.now() + seconds
        state = ""
        while self.now() < until:
            before, state = state, await self.state(service, id, quiet=True)
            if state != before:
                self.note("state", job=id, state=state)
            if state in states:
                break
            await asyncio.sleep(0.3)
        return state


def run_case(services: dict[str, int], play, entries: int = 3, **start) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if not run.

    :param play: plays the case on the deployment; returns why the rule was broken, or
        an empty text.
    """

    async def main() -> int:
        deployment = Deployment(services, entries)
        deployment.note("begin", trouble=TROUBLE)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()

        def give_up() -> None:
            # Once: the processes have to be ended after it.
            loop.add_signal_handler(signal.SIGTERM, lambda: None)
            task.cancel()

        loop.add_signal_handler(signal.SIGTERM, give_up)
        try:
            await deployment.start(**start)
            why = await play(deployment)
        except (Exception, asyncio.CancelledError) as exc:
            deployment.note("the case could not run", why=repr(exc))
            print(f"not run: {exc!r}")
            return NOT_RUN
        finally:
            await deployment.close()
        deployment.note("broken" if why else "held", why=why)
        print(f"broken: {why}" if why else "held")
        return BROKEN if why else HELD

    sys.exit(asyncio.run(main()))
