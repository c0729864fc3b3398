"""Load generator that prints a JSON summary.

Each queue in turn receives five times its mean rate, the others one twentieth.
"""

import argparse
import math
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import anyio
import httpx
import msgspec

BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05
BURST_SECONDS = 4.0
REQUEST_TIMEOUT_SECONDS = 30.0
CONNECTIONS = 256
P50 = 0.5
P99 = 0.99


@dataclass(frozen=True)
class Target:
    """A queue to send load to.

    :param key: key of the caller.
    :param rate: mean rate, in requests per second.
    """

    queue: str
    key: str
    rate: float


@dataclass
class Load:
    """Parameters of a load.

    :param entries: base URLs of the entries.
    :param seconds: duration of the load.
    :param bursts: whether the queues receive bursts in turn, instead of a steady
        rate.
    """

    entries: tuple[str, ...]
    targets: tuple[Target, ...]
    seconds: float
    bursts: bool = True
    body: bytes = b"ronda"


class Summary(msgspec.Struct, kw_only=True):
    """Results of a load.

    :param outcomes: number of requests by outcome and status.
    :param p50: median latency of completed requests, in seconds.
    :param p99: 99th percentile of this latency, in seconds.
    """

    sent: int
    outcomes: dict[str, int]
    p50: float
    p99: float


@dataclass
class _Results:
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of ``values``, or NaN if there are none.

    :param fraction: fraction of the values that do not exceed the percentile.
    """
    if not values:
        return math.nan
    return sorted(values)[min(int(len(values) * fraction), len(values) - 1)]


def rate_at(load: Load, index: int, elapsed: float) -> float:
    """Return the rate of target ``index`` at ``elapsed`` seconds after the start."""
    target = load.targets[index]
    if not load.bursts:
        return target.rate
    turn = int(elapsed / BURST_SECONDS) % len(load.targets)
    return target.rate * (BURST_FACTOR if turn == index else QUIET_FACTOR)


async def run(load: Load) -> Summary:
    """Send the load and wait for all responses."""
    results = _Results()
    limits = httpx.Limits(max_connections=CONNECTIONS)
    async with (
        httpx.AsyncClient(timeout=REQUEST_TIMEOUT_SECONDS, limits=limits) as client,
        anyio.create_task_group() as group,
    ):
        for index in range(len(load.targets)):
            group.start_soon(_send_target, client, load, index, results)
    return Summary(
        sent=results.outcomes.total(),
        outcomes=dict(results.outcomes),
        p50=percentile(results.latencies, P50),
        p99=percentile(results.latencies, P99),
    )


async def _send_target(
    client: httpx.AsyncClient, load: Load, index: int, results: _Results
) -> None:
    """Send the requests of one target on schedule, regardless of response times."""
    started_at = due = time.monotonic()
    number = index
    async with anyio.create_task_group() as group:
        while due - started_at < load.seconds:
            await anyio.sleep(max(0.0, due - time.monotonic()))
            entry = load.entries[number % len(load.entries)]
            url = f"{entry}/v1/queues/{load.targets[index].queue}/work"
            group.start_soon(_send, client, url, load, index, results)
            number += 1
            due += 1 / rate_at(load, index, due - started_at)


async def _send(
    client: httpx.AsyncClient, url: str, load: Load, index: int, results: _Results
) -> None:
    headers = {"Authorization": f"Bearer {load.targets[index].key}"}
    started_at = time.monotonic()
    try:
        res = await client.post(url, content=load.body, headers=headers)
    except httpx.HTTPError as exc:
        results.outcomes[type(exc).__name__] += 1
        return
    outcome = res.headers.get("hickoryplank-outcome", "none")
    results.outcomes[f"{outcome} {res.status_code}"] += 1
    if outcome == "completed":
        results.latencies.append(time.monotonic() - started_at)


def main() -> None:
    """Run the load given on the command line."""
    parser = argparse.ArgumentParser(prog="tests.load", description=__doc__)
    parser.add_argument("--entry", action="append", required=True, metavar="URL")
    parser.add_argument("--queue", action="append", required=True)
    parser.add_argument("--key", required=True, help="key of the caller")
    parser.add_argument(
        "--rate", type=float, default=20.0, help="mean requests per second and queue"
    )
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--steady", action="store_true", help="without bursts")
    args = parser.parse_args()
    targets = tuple(Target(queue, args.key, args.rate) for queue in args.queue)
    load = Load(tuple(args.entry), targets, args.seconds, not args.steady)
    sys.stdout.write(msgspec.json.encode(anyio.run(run, load)).decode() + "\n")


if __name__ == "__main__":
    main()
