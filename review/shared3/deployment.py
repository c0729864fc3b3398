"""A small deployment: a platform, three entries behind proxies, and callers."""

import asyncio
import json
import os
import secrets
import shutil
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import aiohttp
import msgspec

from review.shared3.entries import Entry, Proxy, wait_for
from review.shared3.platform import Platform

ZONES = ["bergen-a", "bergen-b", "bergen-c"]
HOST = "pule25.example"
KEY = "k-ovre"
PREFIX = "/puxa400/"


def config(version: int = 1) -> dict:
    """Return a configuration with one queue and one team."""
    return {
        "version": version,
        "routes": [
            {
                "name": "sub-change",
                "host": HOST,
                "path_prefix": PREFIX,
                "service": "kundeside",
                "priority": 0,
                "attempts": 3,
                "stretch": 1.5,
                "target_latency_ms": 600,
            }
        ],
        "services": [
            {"name": "kundeside", "enforces_capacity": False},
            {"name": "smaatt", "enforces_capacity": False, "standby": True},
        ],
        "limits": {},
        "tenants": [{"name": "ovre", "api_keys": [KEY], "weight": 50.0, "cap": {}}],
    }


class Deployment:
    """Everything that a case runs; closed in any case.

    :ivar trouble: whether the disruption takes place.
    """

    def __init__(self) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="hickoryplank-review-"))
        self.platform = Platform()
        self.entries: list[Entry] = []
        self.store_proxies: dict[str, Proxy] = {}
        self.cloud_proxies: dict[str, Proxy] = {}
        self.session: aiohttp.ClientSession | None = None

    async def open(
        self,
        pools: dict[str, int],
        count: int = 3,
        prepare: Callable[[Entry], None] = lambda _: None,
    ) -> None:
        """Start everything, and wait until an entry leads and all are ready.

        :param prepare: called with each entry before it is started.
        """
        await self.platform.open(pools, ZONES)
        self.platform.configure(config())
        for number in range(count):
            name = f"edge-{ZONES[number % 3]}-{number}"
            store, cloud = Proxy(self.platform.store), Proxy(self.platform.cloud)
            await store.start()
            await cloud.start()
            self.store_proxies[name], self.cloud_proxies[name] = store, cloud
            entry = Entry(self.folder, name, store.address, cloud.address)
            prepare(entry)
            self.entries.append(entry)
        for entry in self.entries:
            entry.start()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
        )
        await wait_for(self.leader, 20, "an entry takes the lease")
        for entry in self.entries:
            await self._wait_until_ready(entry)

    async def _wait_until_ready(self, entry: Entry) -> None:
        until = time.monotonic() + 20
        while time.monotonic() < until:
            try:
                async with self.session.get(
                    f"http://{entry.readiness}/api/readiness"
                ) as resp:
                    if resp.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{entry.name} is not ready")

    def leader(self) -> Entry | None:
        """Return the entry that holds the lease, by the platform's store."""
        newest = self.platform.part("keyed.coordinator").newest.get("lease")
        if newest is None:
            return None
        record = msgspec.msgpack.decode(newest[0])
        name = record[1].partition("/")[0]
        if record[3]:
            return None
        return next((one for one in self.entries if one.name == name), None)

    async def call(
        self,
        entry: Entry,
        method: str,
        id: str,
        body: dict | None = None,
        seconds: float = 3.0,
        key: str = KEY,
    ) -> tuple[int, str]:
        """Call an entry as a client does; return status and body.

        The status is 0 without an answer in time, and -1 if the connection broke off.
        """
        assert self.session is not None
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {key}",
            "Hickoryplank-Deadline-Ms": str(int(seconds * 1000)),
        }
        try:
            async with self.session.request(
                method,
                f"http://{entry.callers}{PREFIX}{id}",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=seconds),
            ) as resp:
                status, text = resp.status, await resp.text()
        except TimeoutError:
            status, text = 0, ""
        except aiohttp.ClientError as exc:
            status, text = -1, type(exc).__name__
        self.platform.note(
            "call", method=method, id=id, entry=entry.name, status=status, body=text
        )
        return status, text

    async def close(self, record: Path | None = None) -> None:
        """End all processes, and write what was seen."""
        self.platform.cancel_tasks()
        await asyncio.sleep(0)
        if self.session is not None:
            await self.session.close()
        for entry in self.entries:
            entry.kill()
        for proxy in [*self.store_proxies.values(), *self.cloud_proxies.values()]:
            await proxy.close()
        await self.platform.close()
        if record is not None:
            lines = [json.dumps(one) for one in self.platform.events]
            record.write_text("\n".join(lines) + "\n")
        if os.environ.get("KEEP_LOGS"):
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def job(tasks: int, work_ms: int | None, cpu: int = 1000, **step) -> dict:
    """Return the body of a job with one step."""
    spec = "work=inf" if work_ms is None else f"work={work_ms}"
    stage = {"count": tasks, "cpu": cpu, "mem_mb": 256, "estimate_ms": work_ms or 1000}
    return {"spec": spec, "job_stages": [stage | step]}


def new_id() -> str:
    """Return the id of a new job."""
    return secrets.token_hex(8)


async def run_case(case, name: str) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    :param case: gets a deployment and the folder's record; returns what it found.
    """
    deployment = Deployment()
    record = Path(__file__).resolve().parents[1] / name / "record.txt"
    try:
        async with asyncio.timeout(115):
            broken = await case(deployment)
    except (RuntimeError, TimeoutError, OSError, AssertionError) as exc:
        deployment.platform.note("could not run", detail=repr(exc))
        print("could not run:", repr(exc))
        return 2
    finally:
        await deployment.close(record)
    for line in broken:
        print("broken:", line)
    if not broken:
        print("held")
    return 1 if broken else 0
