"""Small stand-in of the users' platform: store, machines, executors and operator.

It follows PROTOCOL.md and serves on free loopback ports. Everything that clients,
executors and the platform can see is appended to ``Platform.events``.
"""

import asyncio
import base64
import contextlib
import json
import secrets
import struct
import time

from aiohttp import web

APPEND_SECONDS = 0.002
PART_BYTES_PER_SECOND = 20_000_000
HEARTBEAT_SECONDS = 1.5
MAX_ITEMS = 500
MAX_ITEM_BYTES = 1_000_000
MAX_ENDS = 500
_LENGTH = struct.Struct(">I")


def _json(status: int, body: object) -> web.Response:
    return web.Response(
        status=status, text=json.dumps(body), content_type="application/json"
    )


class Partition:
    """Partition 0 of a keyed topic."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.epochs: dict[str, int] = {}
        self.next_seq: dict[str, int] = {}
        self.answers: dict[tuple[str, int, int], tuple[int, int]] = {}
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()

    def append(self, records: list[tuple[str, bytes]]) -> tuple[int, int]:
        """Append records; return the offset of the first one, and the end."""
        offset = len(self.records)
        for key, value in records:
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
            self.records.append((key, value))
        if records:
            self.grown.set()
            self.grown = asyncio.Event()
        return offset, len(self.records)


def _unframe(body: bytes) -> list[tuple[str, bytes]]:
    records, position = [], 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        content = body[position + 4 : position + 4 + length]
        position += 4 + length
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
    return records


def _frame(key: str, value: bytes) -> bytes:
    raw = key.encode()
    content = bytes((len(raw),)) + raw + value
    return _LENGTH.pack(len(content)) + content


class Executor:
    """One life of an executor on a machine."""

    def __init__(self, platform: "Platform", machine: "Machine", id: str):
        self.platform = platform
        self.machine = machine
        self.id = id
        self.born_ms = time.time_ns() // 1_000_000
        self._born_at = time.monotonic()
        self.token = 0
        self.until_ms = 0
        self.runs: dict[str, dict] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list] = []
        self.last_number = 0
        self.changed = asyncio.Event()
        self.alive = True

    @property
    def clock_ms(self) -> int:
        """Steady clock of this life, in milliseconds."""
        return 1000 + int((time.monotonic() - self._born_at) * 1000)

    def end(self, task: str, how: str) -> None:
        """End a run and list its end."""
        run = self.runs.pop(task, None)
        if run is None:
            return
        self.last_number += 1
        self.ended.append([self.last_number, task, run["attempt"], how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run["attempt"])
        self.platform.note("end", executor=self.id, task=task, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    def terminate(self) -> None:
        """End this life and everything that runs on it."""
        self.alive = False
        for task in list(self.runs):
            self.platform.note("killed", executor=self.id, task=task)
        self.runs.clear()
        self.changed.set()

    def step(self) -> None:
        """End the runs that are done, and all whose lease has lapsed."""
        now = self.clock_ms
        for task, run in list(self.runs.items()):
            if now >= self.until_ms:
                self.end(task, "lapsed")
            elif run["work_ms"] is not None and now >= run["at"] + run["work_ms"]:
                self.end(task, "done")

    def start(self, order: dict) -> web.Response:
        """Carry out a start."""
        task, attempt = order["task"], order["attempt"]
        if order["fencing_token"] < self.token:
            return _json(409, {"clock_ms": self.clock_ms, "reason": "fence"})
        self.token = order["fencing_token"]
        present = self.runs.get(task)
        if present is not None and present["attempt"] == attempt:
            return _json(200, {"clock_ms": self.clock_ms})
        until_ms = min(order["until_ms"], self.clock_ms + self.platform.hold_max_ms)
        if attempt <= self.highest.get(task, 0):
            self.until_ms = max(self.until_ms, until_ms)
            return _json(409, {"clock_ms": self.clock_ms, "reason": "old"})
        if order["until_ms"] <= self.clock_ms:
            return _json(409, {"clock_ms": self.clock_ms, "reason": "late"})
        self.until_ms = max(self.until_ms, until_ms)
        self.runs[task] = {
            "attempt": attempt,
            "at": self.clock_ms,
            "work_ms": work_ms(order["spec"]),
        }
        self.platform.note(
            "start",
            executor=self.id,
            machine=self.machine.name,
            task=task,
            attempt=attempt,
            token=order["fencing_token"],
        )
        return _json(200, {"clock_ms": self.clock_ms})

    def stop(self, order: dict) -> web.Response:
        """Carry out a stop."""
        if order["fencing_token"] < self.token:
            return _json(409, {"clock_ms": self.clock_ms, "reason": "fence"})
        self.token = order["fencing_token"]
        task = order["task"]
        present = self.runs.get(task)
        if present is not None and present["attempt"] == order["attempt"]:
            self.end(task, "stopped")
        self.highest[task] = max(self.highest.get(task, 0), order["attempt"])
        return _json(200, {"clock_ms": self.clock_ms})

    async def hold(self, order: dict) -> web.Response:
        """Renew the leases, and list runs and ends."""
        if order["fencing_token"] < self.token:
            return _json(409, {"clock_ms": self.clock_ms, "reason": "fence"})
        self.token = order["fencing_token"]
        if order.get("until_ms"):
            until_ms = min(order["until_ms"], self.clock_ms + self.platform.hold_max_ms)
            self.until_ms = max(self.until_ms, until_ms)
        self.ended = [one for one in self.ended if one[0] > order["last_seen"]]
        if not self.ended and order.get("wait_ms"):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(order["wait_ms"] / 1000):
                    await self.changed.wait()
        rows = []
        for task, run in self.runs.items():
            done = 100
            if run["work_ms"]:
                done = min(99, 100 * (self.clock_ms - run["at"]) // run["work_ms"])
            rows.append([task, run["attempt"], "", done, 100])
        body = {
            "clock_ms": self.clock_ms,
            "born": self.born_ms,
            "running": rows,
            "ended": self.ended[:MAX_ENDS],
        }
        return _json(200, body)


def work_ms(spec: str) -> int | None:
    """Return how long a task works; none if it lasts. Specs are ``work=MS``."""
    value = spec.partition("work=")[2].split()
    return None if not value or value[0] == "inf" else int(value[0])


class Machine:
    """A machine of a pool, and the executor on it."""

    def __init__(self, platform: "Platform", name: str, pool: str, zone: str):
        self.platform = platform
        self.name = name
        self.pool = pool
        self.zone = zone
        self.state = "up"
        self.executor: Executor | None = None
        self.waves: set[int] = set()
        self.address = ""
        self.seq = 0

    def boot(self) -> None:
        """Start a new life of the executor, and register it."""
        self.state = "up"
        self.executor = Executor(self.platform, self, "i-" + secrets.token_hex(5))
        self.register()

    def register(self) -> None:
        """Write the executor's entry to the store."""
        one = self.executor
        if one is None or not one.alive:
            return
        self.seq += 1
        entry = {
            "service": self.pool,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": one.born_ms,
            "capacity": self.platform.capacity,
            "labels": ["std", "r1-" + self.name[-1]],
        }
        self.platform.part("keyed.servers").append(
            [(one.id, json.dumps(entry).encode())]
        )

    def take_down(self, state: str, pool: str, seconds: float) -> None:
        """End the executor at once; a new one joins ``pool`` later."""
        if self.executor is not None:
            self.executor.terminate()
            self.platform.part("keyed.servers").append([(self.executor.id, b"")])
            self.executor = None
        self.state = state
        self.pool = pool
        self.platform.later(seconds, self.boot)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a call to the executor at this machine's address."""
        one = self.executor
        if one is None:
            request.transport.abort()
            return web.Response(status=503)
        if request.headers.get("Hickoryplank-Expect-Instance", one.id) != one.id:
            return _json(421, {"clock_ms": one.clock_ms})
        order = json.loads(await request.read())
        one.step()
        match request.path:
            case "/api/run-start":
                return one.start(order)
            case "/api/run-stop":
                return one.stop(order)
            case "/api/hold":
                return await one.hold(order)
            case "/api/pace":
                return _json(200, {"clock_ms": one.clock_ms})
        return web.Response(status=404)


class Platform:
    """The whole platform.

    :param migrate_s: time for which a move takes a machine out of service.
    :param maintenance_s: the same for an upkeep.
    """

    def __init__(self, migrate_s: float = 1.5, maintenance_s: float = 2.0):
        self.migrate_s = migrate_s
        self.maintenance_s = maintenance_s
        self.hold_max_ms = 6000
        self.capacity = {"cpu": 16000, "mem_mb": 65536, "gpu": 0}
        self.parts: dict[str, Partition] = {}
        self.machines: dict[str, Machine] = {}
        self.wave_machines: dict[int, set[str]] = {}
        self.events: list[dict] = []
        self.started_at = time.monotonic()
        self.store = ""
        self.cloud = ""
        self._runners: list[web.ServerRunner] = []
        self._tasks: set[asyncio.Task] = set()

    def note(self, kind: str, **fields: object) -> None:
        """Record what was seen."""
        at = round(time.monotonic() - self.started_at, 3)
        self.events.append({"at": at, "kind": kind, **fields})

    def part(self, topic: str) -> Partition:
        """Return the partition of a topic."""
        return self.parts.setdefault(topic, Partition())

    def later(self, seconds: float, action) -> None:
        """Call ``action`` after some seconds."""

        async def run() -> None:
            await asyncio.sleep(seconds)
            action()

        self.spawn(run())

    def spawn(self, coro) -> None:
        """Run a coroutine until the platform is closed."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def serve(self, handler) -> str:
        """Serve ``handler`` on a free loopback port; return the address."""
        runner = web.ServerRunner(web.Server(handler, access_log=None))
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, "127.0.0.1", 0, backlog=512).start()
        return f"127.0.0.1:{runner.addresses[-1][1]}"

    async def open(self, pools: dict[str, int], zones: list[str]) -> None:
        """Start the store, the machine service and the machines of each pool."""
        self.store = await self.serve(self._handle_store)
        self.cloud = await self.serve(self._handle_cloud)
        number = 0
        for pool, count in pools.items():
            for _ in range(count):
                name = f"m{number:02d}"
                machine = Machine(self, name, pool, zones[number % len(zones)])
                machine.address = await self.serve(machine.handle)
                self.machines[name] = machine
                machine.boot()
                number += 1
        self.spawn(self._beat())

    def run_count(self) -> int:
        """Return the number of tasks that run."""
        executors = [one.executor for one in self.machines.values()]
        return sum(len(one.runs) for one in executors if one is not None)

    def cancel_tasks(self) -> None:
        """End what :meth:`spawn` has started."""
        for task in list(self._tasks):
            task.cancel()

    async def close(self) -> None:
        """Stop everything."""
        self.cancel_tasks()
        for runner in self._runners:
            await runner.cleanup()

    async def _beat(self) -> None:
        beat_at = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            for machine in self.machines.values():
                if machine.executor is not None:
                    machine.executor.step()
            if time.monotonic() - beat_at > HEARTBEAT_SECONDS:
                beat_at = time.monotonic()
                for machine in self.machines.values():
                    machine.register()

    # The operator

    def configure(self, config: dict) -> None:
        """Write a configuration."""
        self.part("keyed.op").append([("config", json.dumps(config).encode())])
        self.note("config", version=config["version"])

    def order_wave(self, number: int, machines: list[str], deadline_s, cap) -> None:
        """Ask for the upkeep of machines."""
        self.wave_machines[number] = set(machines)
        body = {
            "wave": number,
            "machines": machines,
            "deadline_s": deadline_s,
            "cap": cap,
        }
        self.part("keyed.op").append([(f"wave/{number}", json.dumps(body).encode())])
        self.note("wave", **body)

    # The store

    async def _handle_store(self, request: web.BaseRequest) -> web.StreamResponse:
        match request.path:
            case "/api/log-append":
                return await self._append(request)
            case "/api/log-read":
                return await self._read(request)
            case "/api/log-newest":
                return self._newest(request)
        return web.Response(status=404)

    async def _append(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        part = self.part(query["topic"])
        body = await request.read()
        records = _unframe(body)
        async with part.lock:
            await asyncio.sleep(APPEND_SECONDS + len(body) / PART_BYTES_PER_SECOND)
            if "at" in query and int(query["at"]) != len(part.records):
                return _json(412, {"end_offset": len(part.records)})
            if "producer" not in query:
                offset, end = part.append(records)
                return _json(200, {"offset": offset, "end_offset": end})
            return self._append_of_producer(part, query, records)

    def _append_of_producer(self, part: Partition, query, records) -> web.Response:
        producer = query["producer"]
        epoch, seq = int(query["epoch"]), int(query["seq"])
        known = part.epochs.get(producer, 0)
        if epoch < known:
            return _json(409, {"reason": "fenced"})
        if epoch == known and seq != part.next_seq.get(producer, 0):
            answer = part.answers.get((producer, epoch, seq))
            if answer is None or seq < part.next_seq[producer] - 5:
                body = {"reason": "seq", "seq": part.next_seq.get(producer, 0)}
                return _json(409, body)
            return _json(200, {"offset": answer[0], "end_offset": answer[1]})
        part.epochs[producer] = epoch
        part.next_seq[producer] = seq + 1
        answer = part.append(records)
        part.answers[(producer, epoch, seq)] = answer
        return _json(200, {"offset": answer[0], "end_offset": answer[1]})

    async def _read(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        part = self.part(query["topic"])
        first = int(query["from"])
        wait_s = int(query.get("wait_ms", "0")) / 1000
        if first >= len(part.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await part.grown.wait()
        await asyncio.sleep(APPEND_SECONDS)
        size, framed = 0, []
        for key, value in part.records[first:]:
            framed.append(_frame(key, value))
            size += len(framed[-1])
            if size > MAX_ITEM_BYTES:
                break
        header = struct.pack(">QQ", len(part.records), 0)
        return web.Response(body=header + b"".join(framed))

    def _newest(self, request: web.BaseRequest) -> web.Response:
        part = self.part(request.query["topic"])
        after = request.query.get("after", "")
        keys = sorted(key for key in part.newest if key > after)
        items, size = [], 0
        for key in keys[:MAX_ITEMS]:
            value, offset = part.newest[key]
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": offset})
            size += len(encoded)
            if size > MAX_ITEM_BYTES:
                break
        body = {
            "items": items,
            "has_more": len(items) < len(keys),
            "end_offset": len(part.records),
        }
        return _json(200, body)

    # Machines

    async def _handle_cloud(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/api/machines":
            rows = [
                {
                    "machine": one.name,
                    "pool": one.pool,
                    "state": one.state,
                    "zone": one.zone,
                    "labels": ["std", "r1-" + one.name[-1]],
                    "capacity": self.capacity,
                    "id": one.executor.id if one.executor else None,
                }
                for one in self.machines.values()
            ]
            return _json(200, {"machines": rows, "next_token": None})
        order = json.loads(await request.read())
        token = int(request.headers["Hickoryplank-Fencing-Token"])
        holder = request.headers["Hickoryplank-Lease-Holder"]
        kind = request.path.removeprefix("/api/machine-")
        response = self._carry_out(kind, order)
        self.note(
            "order",
            order=kind,
            machine=order["machine"],
            to=order.get("pool", order.get("wave")),
            token=token,
            holder=holder,
            status=response.status,
            answer=json.loads(response.text),
        )
        return response

    def _carry_out(self, kind: str, order: dict) -> web.Response:
        machine = self.machines.get(order["machine"])
        if machine is None:
            return _json(400, {})
        if kind == "move":
            if machine.pool == order["pool"]:
                return _json(200, {})
            if machine.state != "up":
                return _json(409, {"reason": "busy"})
            self.note("moved", machine=machine.name, pool=order["pool"])
            machine.take_down("moving", order["pool"], self.migrate_s)
            return _json(200, {})
        wave = order["wave"]
        if machine.name not in self.wave_machines.get(wave, ()):
            return _json(409, {"reason": "wave"})
        if wave in machine.waves:
            return _json(200, {})
        if machine.state != "up":
            return _json(409, {"reason": "busy"})
        machine.waves.add(wave)
        down = [
            one.name
            for one in self.machines.values()
            if one.state == "upkeep" and one.name in self.wave_machines[wave]
        ]
        self.note("upkeep", machine=machine.name, wave=wave, down_already=down)
        machine.take_down("upkeep", machine.pool, self.maintenance_s)
        return _json(200, {})
