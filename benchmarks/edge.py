"""Latency that an entry adds to a call of a worker, and resources that it uses.

Entries, workers and fakes of the platform run as processes on loopback. Direct calls
of a worker alternate with calls through an entry, so that the load of the machine
affects both alike.
"""

import os
import re
import subprocess
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from uuid import uuid4

import anyio
import httpx
import msgspec

from benchmarks.figure import Figure
from hickoryplank.external import wire
from tests.fleet import KEY, Fleet, Program
from tests.load import P50, P99, percentile

__all__ = ["figures"]

WARM_UP_CALLS = 50
CALLS = 600
BODY = b"ronda del alba " * 16
QUEUE = "rondas"
WORKERS = 4
ENTRIES = 3
IDLE_SECONDS = 10.0
SETTLE_SECONDS = 3.0
CLIENTS = 24
LOADED_SECONDS = 6.0
FAR_FUTURE_SECONDS = 1e9
LEASE_SECONDS = 6.0
MILLIS = 1000.0
MEGABYTE = 1e6
KILOBYTE = 1e3
PERCENT = 100.0
IDLE_CORE_TARGET = 2.6
IDLE_KILOBYTES_TARGET = 4.0
MEMORY_TARGET_MEGABYTES = 128.0
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
_CPU_FIELDS = slice(11, 13)
_BYTES = re.compile(r"bytes_(?:sent|received):(\d+)")


class Spent(msgspec.Struct):
    """Cost of the calls on one path to the worker.

    :param latencies: latency of each call, in seconds.
    :param cpu: CPU time that all entries used for these calls, in seconds.
    """

    latencies: list[float]
    cpu: float = 0.0


def cpu_seconds(program: Program) -> float:
    """Return the CPU time that a process has used, in seconds."""
    stat = Path(f"/proc/{program.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return sum(map(int, fields[_CPU_FIELDS])) / TICKS_A_SECOND


def memory_megabytes(program: Program) -> float:
    """Return the resident memory of a process, in MB."""
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    kilobytes = re.search(r"VmRSS:\s+(\d+) kB", status)[1]
    return int(kilobytes) * 1024 / MEGABYTE


def socket_bytes(program: Program) -> dict[str, int]:
    """Return the bytes that each TCP socket of a process has sent and received."""
    lines = subprocess.run(
        ["ss", "-tinpOH"], capture_output=True, text=True, check=True
    ).stdout.splitlines()
    mine = [line for line in lines if f"pid={program.process.pid}," in line]
    return {
        " ".join(line.split()[3:5]): sum(map(int, _BYTES.findall(line)))
        for line in mine
    }


def figures() -> Iterator[Figure]:
    """Yield the latency, throughput and resource use of one entry of three."""
    with tempfile.TemporaryDirectory() as root, Fleet(Path(root)) as fleet:
        fleet.start(ENTRIES, WORKERS)
        fleet.publish(fleet.objects(budget=1))
        yield from _idle(fleet)
        yield from _added(fleet)
        yield from _loaded(fleet)


def _idle(fleet: Fleet) -> Iterator[Figure]:
    entry = fleet.entries[0]
    time.sleep(SETTLE_SECONDS)
    cpu, carried = cpu_seconds(entry), socket_bytes(entry)
    time.sleep(IDLE_SECONDS)
    cpu = cpu_seconds(entry) - cpu
    sent = sum(
        count - carried.get(socket, 0) for socket, count in socket_bytes(entry).items()
    )
    yield Figure(
        name="CPU of an idle entry",
        value=PERCENT * cpu / IDLE_SECONDS,
        unit="% of a core",
        target=IDLE_CORE_TARGET,
    )
    yield Figure(
        name="TCP bytes of an idle entry, both ways",
        value=sent / IDLE_SECONDS / KILOBYTE,
        unit="KB/s",
        target=IDLE_KILOBYTES_TARGET,
    )
    yield _memory("idle", entry)


def _memory(state: str, entry: Program) -> Figure:
    return Figure(
        name=f"resident memory of an entry, {state}",
        value=memory_megabytes(entry),
        unit="MB",
        target=MEMORY_TARGET_MEGABYTES,
    )


def _owner(fleet: Fleet) -> int:
    """Return the index of the owner of the pool: the entry that uses most CPU time."""
    used = [cpu_seconds(entry) for entry in fleet.entries]
    for _ in range(WARM_UP_CALLS):
        for number in range(ENTRIES):
            fleet.submit(number, QUEUE, BODY).raise_for_status()
    spent = [cpu_seconds(e) - u for e, u in zip(fleet.entries, used, strict=True)]
    return spent.index(max(spent))


def _added(fleet: Fleet) -> Iterator[Figure]:
    owner = _owner(fleet)
    other = (owner + 1) % ENTRIES
    ways = {
        "direct": lambda: _call_worker(fleet),
        "owner": lambda: fleet.submit(owner, QUEUE, BODY),
        "forwarded": lambda: fleet.submit(other, QUEUE, BODY),
    }
    spent = _take_turns(fleet, ways)
    direct = spent["direct"]
    for way, text in (("owner", "at the owner"), ("forwarded", "at another entry")):
        for part, label in ((P50, "p50"), (P99, "p99")):
            base = percentile(direct.latencies, part)
            yield Figure(
                name=f"added latency {text}, {label}",
                value=MILLIS * (percentile(spent[way].latencies, part) - base),
                unit="ms",
                baseline=MILLIS * base,
            )
        yield Figure(
            name=f"CPU of the entries per request {text}",
            value=MILLIS * spent[way].cpu / CALLS,
            unit="ms",
        )


def _take_turns(
    fleet: Fleet, ways: dict[str, Callable[[], httpx.Response]]
) -> dict[str, Spent]:
    """Call each path in turn, in blocks, to measure its CPU time separately."""
    spent = {way: Spent([]) for way in ways}
    for _ in range(CALLS // WARM_UP_CALLS):
        for way, call in ways.items():
            before = sum(map(cpu_seconds, fleet.entries))
            for _ in range(WARM_UP_CALLS):
                began = time.perf_counter()
                call().raise_for_status()
                spent[way].latencies.append(time.perf_counter() - began)
            spent[way].cpu += sum(map(cpu_seconds, fleet.entries)) - before
    return spent


def _call_worker(fleet: Fleet) -> httpx.Response:
    headers = {
        wire.TASK_HEADER: uuid4().hex,
        wire.ATTEMPT_HEADER: "1",
        wire.BOOT_HEADER: "",
        wire.START_BY_HEADER: str(FAR_FUTURE_SECONDS),
        wire.LEASE_HEADER: str(LEASE_SECONDS),
    }
    url = f"http://{fleet.workers[0].address}/start"
    return fleet.client.post(url, content=BODY, headers=headers)


def _loaded(fleet: Fleet) -> Iterator[Figure]:
    """Load the owner of the pool with ``CLIENTS`` callers, one for each usable slot."""
    owner = fleet.entries[_owner(fleet)]
    cpu, began = cpu_seconds(owner), time.perf_counter()
    done = anyio.run(_closed_loop, f"http://{owner.address}")
    elapsed = time.perf_counter() - began
    cores = (cpu_seconds(owner) - cpu) / elapsed
    rate = done / elapsed
    yield Figure(name="requests per second of one entry", value=rate, unit="requests/s")
    yield Figure(
        name="requests per second and core of one entry",
        value=rate / cores,
        unit="requests/s",
    )
    yield _memory("loaded", owner)


async def _closed_loop(entry: str) -> int:
    """Return how many requests ``CLIENTS`` concurrent callers completed."""
    done = 0
    url = f"{entry}/v1/queues/{QUEUE}/work"
    headers = {"Authorization": f"Bearer {KEY}"}
    end = time.perf_counter() + LOADED_SECONDS

    async def call(client: httpx.AsyncClient) -> None:
        nonlocal done
        while time.perf_counter() < end:
            res = await client.post(url, content=BODY, headers=headers)
            done += res.status_code == httpx.codes.OK

    async with (
        httpx.AsyncClient(timeout=30) as client,
        anyio.create_task_group() as group,
    ):
        for _ in range(CLIENTS):
            group.start_soon(call, client)
    return done
