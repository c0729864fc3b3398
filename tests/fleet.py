"""A small deployment of entries and stand-ins as processes on loopback."""

import hashlib
import http.client
import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import httpx
import msgspec

from hickoryplank.core.ownership import owner
from hickoryplank.external.worker import WorkerStatus
from tests.ports import ReservedAddress
from tests.processes import log_tail, require_running
from tests.proxy import Proxy

TOKEN = "operator-token-for-tests"
CLUSTER_SECRET = "cluster-secret-for-tests"
KEY = "caller-key-of-rutas"
DEFAULT_TIMEOUT_SECONDS = 20.0


def digest(secret: str) -> str:
    """Return the SHA-256 hex digest of a secret, as used in settings and objects."""
    return hashlib.sha256(secret.encode()).hexdigest()


def wait_until(
    check,
    seconds: float = DEFAULT_TIMEOUT_SECONDS,
    what: str = "wait_until",
    program: "Program | None" = None,
):
    """Poll ``check`` until it returns a true value, and return that value.

    :param seconds: time-out.
    :param what: name of the condition in the error message.
    :param program: the process that is waited for, if any.
    :raises AssertionError: if ``check`` returns no true value in time, or once
        ``program`` has exited; with the end of its log.
    """
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        found = check()
        if found:
            return found
        if program is not None:
            require_running(program.name, program.process, program.log)
        time.sleep(0.05)
    log = "" if program is None else f"; {log_tail(program.log)}"
    raise AssertionError(f"{what}: condition not met within {seconds} s{log}")


@dataclass
class Program:
    """One process of the deployment.

    :param address: address that it listens on, as ``host:port``; a stand-in prints
        its address at the start.
    :param log: file that receives its standard error.
    """

    name: str
    command: list[str]
    address: str = ""
    process: subprocess.Popen | None = None
    log: Path | None = None

    def start(self) -> None:
        """Start the process and, for a stand-in, read its address."""
        with self.log.open("ab") as err:
            self.process = subprocess.Popen(
                self.command, stdout=subprocess.PIPE, stderr=err
            )
        if not self.address:
            line = self.process.stdout.readline()
            if not line:
                self.process.wait()
                require_running(self.name, self.process, self.log)
            self.address = json.loads(line)["address"]

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def stop(self) -> int:
        """Stop the process with SIGTERM and return its exit code."""
        self.signal(signal.SIGTERM)
        return self.process.wait(90)

    def inject(self, **changes) -> None:
        """Inject faults into a stand-in."""
        res = httpx.post(f"http://{self.address}/fault", json=changes, timeout=5)
        res.raise_for_status()


@dataclass
class Fleet:
    """A deployment of stand-ins and entries.

    :param root: directory for settings, logs and the operator's token.
    """

    root: Path
    zones: tuple[str, ...] = ("talcahuano", "concepcion", "coronel")
    programs: list[Program] = field(default_factory=list)
    workers: list[Program] = field(default_factory=list)
    entries: list[Program] = field(default_factory=list)
    proxies: list[Proxy] = field(default_factory=list)
    reserved: list[ReservedAddress] = field(default_factory=list)
    client: httpx.Client = field(default_factory=lambda: httpx.Client(timeout=60))

    def __enter__(self):
        (self.root / "token").write_text(TOKEN)
        return self

    def __exit__(self, *exc):
        self.client.close()
        for proxy in self.proxies:
            proxy.close()
        for program in self.programs:
            if program.process.poll() is None:
                program.signal(signal.SIGCONT)
                program.kill()
            program.process.stdout.close()
        for reserved in self.reserved:
            reserved.close()

    def reserve_address(self) -> str:
        """Return an address that entries can bind until the end of the deployment."""
        self.reserved.append(ReservedAddress())
        return self.reserved[-1].address

    def standin(self, kind: str, name: str, *args: str) -> Program:
        """Start a stand-in."""
        command = [sys.executable, "-m", f"tests.standins.{kind}", *args]
        program = Program(name, command, log=self.root / f"{name}.log")
        program.start()
        self.programs.append(program)
        return program

    def start(
        self,
        entries: int = 3,
        workers: int = 6,
        slots: int = 8,
        seconds: float = 0.0,
    ) -> None:
        """Start all processes and wait until the entries are ready.

        :param slots: slots of each worker.
        :param seconds: service time of a request.
        """
        self.log = self.standin("log", "log")
        for i in range(workers):
            args = ("--vm", f"vm-{i}", "--slots", str(slots))
            args += ("--seconds", str(seconds))
            self.workers.append(self.standin("worker", f"worker-{i}", *args))
        listed = [f"vm-{i}={w.address}" for i, w in enumerate(self.workers)]
        options = [word for vm in listed for word in ("--vm", vm)]
        self.vms = self.standin("vms", "vms", *options)
        for i in range(entries):
            self.add_entry(i)
        self.wait_ready()

    def add_entry(self, i: int, api_bind: str = "", peer_bind: str = "") -> Program:
        """Start entry ``i`` with its own settings and a proxy to the log service.

        :param api_bind: a reserved address by default, like ``peer_bind``.
        """
        name = f"entry-{i}"
        address = api_bind or self.reserve_address()
        peers = peer_bind or self.reserve_address()
        self.proxies.append(Proxy(self.log.address))
        settings = self.root / f"{name}.ini"
        settings.write_text(self._settings(name, i, address, peers))
        command = [sys.executable, "-m", "hickoryplank", "serve", str(settings)]
        log = self.root / f"{name}.log"
        entry = Program(name, command, address, log=log)
        entry.start()
        self.programs.append(entry)
        self.entries.append(entry)
        return entry

    def _settings(self, name: str, i: int, address: str, peers: str) -> str:
        return f"""
[node]
name = {name}
region = biobio
zone = {self.zones[i % len(self.zones)]}
api_bind = {address}
peer_bind = {peers}
[platform]
log_url = http://{self.proxies[i].address}
vms_url = http://{self.vms.address}
[security]
cluster_secret = {CLUSTER_SECRET}
operator.olga = {digest(TOKEN)}
"""

    def wait_ready(self) -> None:
        """Wait until every entry is ready."""
        for entry in self.entries:
            self.wait_entry_ready(entry)

    def wait_entry_ready(
        self, entry: Program, seconds: float = DEFAULT_TIMEOUT_SECONDS
    ) -> None:
        """Wait until ``entry`` is ready."""
        what = f"{entry.name} ready"
        wait_until(lambda: self.is_ready(entry), seconds, what, entry)

    def is_ready(self, entry: Program) -> bool:
        """Return whether the readiness check of ``entry`` succeeds."""
        try:
            url = f"http://{entry.address}/ready"
            return self.client.get(url, timeout=2).status_code == 200
        except httpx.HTTPError:
            return False

    def cli(self, *args: str, entry: int | None = None) -> subprocess.CompletedProcess:
        """Run the command line against all entries, or only ``entry``."""
        chosen = self.entries if entry is None else [self.entries[entry]]
        urls = [x for e in chosen for x in ("--entry", f"http://{e.address}")]
        token = ("--token-file", str(self.root / "token"))
        command = [sys.executable, "-m", "hickoryplank", *urls, *token, *args]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60, env=os.environ
        )

    def publish(self, text: str, entry: int | None = None):
        """Apply objects in INI form and wait until they are in force."""
        path = self.root / "objects.ini"
        path.write_text(text)
        done = self.cli("apply", str(path), "--wait", entry=entry)
        assert done.returncode == 0, done.stdout + done.stderr
        return done

    def objects(self, limit: int = 48, budget: int = 3, key: str = KEY) -> str:
        """Return objects in INI form: a team, a pool of all workers and three queues.

        :param limit: units of the team.
        :param budget: VMs of the pool that must stay in service.
        """
        text = f"""
[pool rondas-norte]
min_available = {budget}
[team rutas]
[share rutas]
percent = 60
[limit rutas]
units = {limit}
[key rutas-1]
team = rutas
digest = {digest(key)}
[queue rondas]
pool = rondas-norte
[queue pagos]
pool = rondas-norte
idempotent = no
[queue cierre]
pool = rondas-norte
work_class = batch
idempotent = no
"""
        for i, worker in enumerate(self.workers):
            text += f"""
[endpoint vm-{i}]
address = {worker.address}
pool = rondas-norte
zone = {self.zones[i % len(self.zones)]}
rack = rack-{i // 4}
"""
        return text

    def submit(
        self,
        entry: int,
        queue: str,
        body: bytes,
        key: str = KEY,
        timeout: float = 60.0,
        **headers: str,
    ):
        """Submit one request through ``entry``."""
        url = f"http://{self.entries[entry].address}/v1/queues/{queue}/work"
        request_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        if key:
            request_headers["Authorization"] = f"Bearer {key}"
        return self.client.post(
            url, content=body, headers=request_headers, timeout=timeout
        )

    def submit_and_hang_up(
        self, entry: int, queue: str, body: bytes, name: str, until
    ) -> None:
        """Submit one request through ``entry``, and hang up once ``until`` is true.

        :param name: idempotency key.
        """
        conn = http.client.HTTPConnection(self.entries[entry].address)
        headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": name}
        conn.request("POST", f"/v1/queues/{queue}/work", body, headers)
        wait_until(until, what=f"moment to hang up on {name}")
        conn.close()

    def is_appending(self, text: str) -> bool:
        """Return whether an append that contains ``text`` is waiting at the log."""
        url = f"http://{self.log.address}/appending"
        return int(self.client.get(url, params={"text": text}).text) > 0

    def effects(self) -> Counter[str]:
        """Return how often each named effect took place on all workers."""
        total: Counter[str] = Counter()
        for worker in self.workers:
            res = self.client.get(f"http://{worker.address}/effects")
            total.update(res.json()["did"]["effects"])
        return total

    def replace(self, entry: int) -> None:
        """Restart a stopped entry under the same name and addresses."""
        self.entries[entry].process.stdout.close()
        self.entries[entry].start()

    def status(self) -> dict:
        """Return the status of the fleet."""
        shown = self.cli("status", "--format", "json")
        assert shown.returncode == 0, shown.stderr
        return json.loads(shown.stdout)

    def owner(self, pool: str = "rondas-norte") -> int:
        """Return the index of the entry that owns ``pool`` if all entries are alive."""
        live = {
            row["incarnation"]: row["node"]
            for row in self.status()["nodes"]
            if row["state"] == "live"
        }
        name = live[owner(pool, list(live))]
        return [entry.name for entry in self.entries].index(name)

    def running(self) -> int:
        """Return the number of tasks running on all workers."""
        answers = [self.client.get(f"http://{w.address}/status") for w in self.workers]
        statuses = [
            msgspec.msgpack.decode(r.content, type=WorkerStatus) for r in answers
        ]
        return sum(status.running for status in statuses)
