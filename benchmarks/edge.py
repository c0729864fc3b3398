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

CALLS_PER_BLOCK = 50
CALLS_PER_PATH = 600
BODY = b"ronda del alba " * 16
QUEUE = "rondas"
WORKERS = 4
ENTRIES = 3
IDLE_SECONDS = 10.0
WARM_UP_SECONDS = 3.0
CLIENTS = 24
LOAD_SECONDS = 6.0
FAR_FUTURE_SECONDS = 1e9
LEASE_SECONDS = 6.0
MS_PER_SECOND = 1000.0
BYTES_PER_MB = 1e6
BYTES_PER_KB = 1e3
PERCENT = 100.0
IDLE_CPU_TARGET_PERCENT = 2.6
IDLE_TRAFFIC_TARGET_KB_PER_SECOND = 4.0
MEMORY_TARGET_MB = 128.0
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
#: User and system time in ``/proc/PID/stat``, counted after the command name.
_CPU_FIELDS = slice(11, 13)
_BYTES = re.compile(r"bytes_(?:sent|received):(\d+)")


class PathCost(msgspec.Struct):
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
    return sum(map(int, fields[_CPU_FIELDS])) / CLOCK_TICKS_PER_SECOND


def memory_mb(program: Program) -> float:
    """Return the resident memory of a process, in MB."""
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    kilobytes = re.search(r"VmRSS:\s+(\d+) kB", status)[1]
    return int(kilobytes) * 1024 / BYTES_PER_MB


def socket_bytes(program: Program) -> dict[str, int]:
    """Return the bytes that each TCP socket of a process has sent and received."""
    lines = subprocess.run(
        ["ss", "-tinpOH"], capture_output=True, text=True, check=True
    ).stdout.splitlines()
    own_lines = [line for line in lines if f"pid={program.process.pid}," in line]
    return {
        " ".join(line.split()[3:5]): sum(map(int, _BYTES.findall(line)))
        for line in own_lines
    }


def figures() -> Iterator[Figure]:
    """Yield the latency, throughput and resource use of one entry of three."""
    with tempfile.TemporaryDirectory() as root, Fleet(Path(root)) as fleet:
        fleet.start(ENTRIES, WORKERS)
        fleet.publish(fleet.objects(budget=1))
        yield from _idle_cost(fleet)
        yield from _added_latency(fleet)
        yield from _loaded_cost(fleet)


def _idle_cost(fleet: Fleet) -> Iterator[Figure]:
    entry = fleet.entries[0]
    time.sleep(WARM_UP_SECONDS)
    cpu, bytes_before = cpu_seconds(entry), socket_bytes(entry)
    time.sleep(IDLE_SECONDS)
    cpu = cpu_seconds(entry) - cpu
    transferred = sum(
        count - bytes_before.get(socket, 0)
        for socket, count in socket_bytes(entry).items()
    )
    yield Figure(
        name="CPU of an idle entry",
        value=PERCENT * cpu / IDLE_SECONDS,
        unit="% of a core",
        target=IDLE_CPU_TARGET_PERCENT,
    )
    yield Figure(
        name="TCP bytes of an idle entry, both ways",
        value=transferred / IDLE_SECONDS / BYTES_PER_KB,
        unit="KB/s",
        target=IDLE_TRAFFIC_TARGET_KB_PER_SECOND,
    )
    yield _memory("idle", entry)


def _memory(state: str, entry: Program) -> Figure:
    return Figure(
        name=f"resident memory of an entry, {state}",
        value=memory_mb(entry),
        unit="MB",
        target=MEMORY_TARGET_MB,
    )


def _owner(fleet: Fleet) -> int:
    """Return the index of the owner of the pool: the entry that uses most CPU time."""
    cpu_before = [cpu_seconds(entry) for entry in fleet.entries]
    for _ in range(CALLS_PER_BLOCK):
        for number in range(ENTRIES):
            fleet.submit(number, QUEUE, BODY).raise_for_status()
    costs = [cpu_seconds(e) - u for e, u in zip(fleet.entries, cpu_before, strict=True)]
    return costs.index(max(costs))


def _added_latency(fleet: Fleet) -> Iterator[Figure]:
    owner = _owner(fleet)
    other = (owner + 1) % ENTRIES
    call_paths = {
        "direct": lambda: _call_worker(fleet),
        "owner": lambda: fleet.submit(owner, QUEUE, BODY),
        "forwarded": lambda: fleet.submit(other, QUEUE, BODY),
    }
    costs = _measure_in_turn(fleet, call_paths)
    direct = costs["direct"]
    for call_path, text in (
        ("owner", "at the owner"),
        ("forwarded", "at another entry"),
    ):
        for quantile, label in ((P50, "p50"), (P99, "p99")):
            direct_latency = percentile(direct.latencies, quantile)
            yield Figure(
                name=f"added latency {text}, {label}",
                value=MS_PER_SECOND
                * (percentile(costs[call_path].latencies, quantile) - direct_latency),
                unit="ms",
                baseline=MS_PER_SECOND * direct_latency,
            )
        yield Figure(
            name=f"CPU of the entries per request {text}",
            value=MS_PER_SECOND * costs[call_path].cpu / CALLS_PER_PATH,
            unit="ms",
        )


def _measure_in_turn(
    fleet: Fleet, call_paths: dict[str, Callable[[], httpx.Response]]
) -> dict[str, PathCost]:
    """Call each path in turn, in blocks, to measure its CPU time separately."""
    costs = {call_path: PathCost([]) for call_path in call_paths}
    for _ in range(CALLS_PER_PATH // CALLS_PER_BLOCK):
        for call_path, call in call_paths.items():
            before = sum(map(cpu_seconds, fleet.entries))
            for _ in range(CALLS_PER_BLOCK):
                began = time.perf_counter()
                call().raise_for_status()
                costs[call_path].latencies.append(time.perf_counter() - began)
            costs[call_path].cpu += sum(map(cpu_seconds, fleet.entries)) - before
    return costs


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


def _loaded_cost(fleet: Fleet) -> Iterator[Figure]:
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
    end = time.perf_counter() + LOAD_SECONDS

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
