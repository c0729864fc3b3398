"""Stand-ins for the platform of the users' pages: store, executors and machines.

They serve the published protocol over HTTP/1.1 on loopback addresses, on the real
clock, and use nothing beyond the standard library.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
PAGE_ITEMS = 500
ENDS_PER_ANSWER = 500
_LENGTH = struct.Struct(">I")


@dataclass
class Request:
    """A request as received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass
class Response:
    """A response; ``dropped`` closes the connection without one."""

    status: int
    body: bytes = b"{}"
    dropped: bool = False


Handler = Callable[[Request], Awaitable[Response]]


def as_json(status: int, body) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(body).encode())


class Recorder:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: str):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the time since the start of the case, in seconds."""
        return time.monotonic() - self.started_at

    def note(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


# HTTP


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    url = urlsplit(target)
    query = {key: values[0] for key, values in parse_qs(url.query).items()}
    return Request(method, url.path, query, headers, body)


async def serve(handler: Handler) -> tuple[asyncio.Server, str]:
    """Serve ``handler`` on a free loopback port; return the server and address."""

    async def on_connect(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                response = await handler(request)
                if response.dropped:
                    return
                writer.write(
                    f"HTTP/1.1 {response.status} X\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(response.body)}\r\n\r\n".encode()
                    + response.body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connect, HOST, 0, limit=16 << 20)
    port = server.sockets[0].getsockname()[1]
    return server, f"{HOST}:{port}"


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int | None, bytes]:
    """Make one call on a new connection; status ``None`` if there is no answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
            fields = {"Host": address, "Connection": "close", **(headers or {})}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            length = 0
            for line in head.decode("latin-1").split("\r\n"):
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            return int(head.split(b" ", 2)[1]), await reader.readexactly(length)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None, b""
    finally:
        if writer is not None:
            writer.close()


class Relay:
    """Forwards connections to an address; while cut, it forwards nothing."""

    def __init__(self) -> None:
        self.address = ""
        self.is_open = asyncio.Event()
        self.is_open.set()
        self._target = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, target: str) -> None:
        """Listen on a free port."""
        self._target = target
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def cut(self) -> None:
        """Hold back all bytes, in both directions, without a reset."""
        self.is_open.clear()

    def heal(self) -> None:
        """Forward again, and what was held back first."""
        self.is_open.set()

    async def _accept(self, reader, writer) -> None:
        await self.is_open.wait()
        host, port = self._target.rsplit(":", 1)
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        for source, sink in ((reader, back), (there, writer)):
            task = asyncio.create_task(self._pump(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(self, source, sink) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65536):
                await self.is_open.wait()
                sink.write(data)
                await sink.drain()
        await self.is_open.wait()
        sink.close()


# The store


@dataclass
class _Partition:
    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    epoch: int = -1
    sequence: int = -1
    answers: dict[int, tuple[int, int]] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class Store:
    """The platform's log, for keyed topics with one partition each.

    :param record_bytes: largest size of a record; larger ones are rejected.
    :ivar rejected: appends that were rejected as too large.
    :ivar calls: number of calls.
    """

    def __init__(
        self,
        recorder: Recorder,
        record_bytes: int = 262_144,
        call_bytes: int = 2_097_152,
        answer_s: float = 0.004,
    ):
        self._recorder = recorder
        self._record_bytes = record_bytes
        self._call_bytes = call_bytes
        self._answer_s = answer_s
        self._partitions: dict[str, _Partition] = {}
        self.rejected = 0
        self.calls = 0

    def partition(self, topic: str) -> _Partition:
        """Return a partition, created on first use."""
        return self._partitions.setdefault(topic, _Partition())

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Append a record of the operator or of an executor."""
        self._apply(self.partition(topic), [(key, value)])

    async def handle(self, request: Request) -> Response:
        """Handle a call."""
        self.calls += 1
        await asyncio.sleep(self._answer_s)
        topic = request.query.get("topic", "")
        match (request.method, request.path):
            case ("POST", "/api/log-append"):
                if topic in ("keyed.op", "keyed.servers"):
                    return as_json(403, {})
                return await self._append(self.partition(topic), request)
            case ("GET", "/api/log-read"):
                return await self._read(self.partition(topic), request.query)
            case ("GET", "/api/log-newest"):
                return self._newest(self.partition(topic), request.query)
        return as_json(404, {})

    def _apply(self, part: _Partition, records: list[tuple[str, bytes]]) -> int:
        offset = len(part.records)
        for key, value in records:
            if value:
                part.newest[key] = (value, len(part.records))
            else:
                part.newest.pop(key, None)
            part.records.append((key, value))
        if records:
            part.grown.set()
            part.grown = asyncio.Event()
        return offset

    def _decode(self, body: bytes) -> list[tuple[str, bytes]] | None:
        """Return the records of a call, or none if one or all are too large."""
        records, position = [], 0
        if len(body) > self._call_bytes:
            return None
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            if length > self._record_bytes:
                return None
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            key_end = 1 + content[0]
            records.append((content[1:key_end].decode(), content[key_end:]))
        return records

    async def _append(self, part: _Partition, request: Request) -> Response:
        query = request.query
        async with part.lock:
            records = self._decode(request.body)
            if records is None:
                self.rejected += 1
                if self.rejected <= 3:
                    self._recorder.note(
                        f"store: append of {len(request.body)} bytes rejected (400):"
                        f" a record is over {self._record_bytes} bytes"
                    )
                return as_json(400, {"reason": "size"})
            if "at" in query and int(query["at"]) != len(part.records):
                return as_json(412, {"end_offset": len(part.records)})
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query["seq"])
                if epoch < part.epoch:
                    return as_json(409, {"reason": "fenced"})
                if epoch == part.epoch and sequence in part.answers:
                    offset, end = part.answers[sequence]
                    return as_json(200, {"offset": offset, "end_offset": end})
                if epoch == part.epoch and sequence != part.sequence + 1:
                    return as_json(
                        409, {"reason": "seq", "expected": part.sequence + 1}
                    )
                if epoch > part.epoch:
                    part.answers.clear()
                part.epoch, part.sequence = epoch, sequence
            await asyncio.sleep(0.002)
            offset = self._apply(part, records)
            end = len(part.records)
            if "producer" in query:
                part.answers[part.sequence] = (offset, end)
                part.answers.pop(part.sequence - 5, None)
            return as_json(200, {"offset": offset, "end_offset": end})

    async def _read(self, part: _Partition, query: dict[str, str]) -> Response:
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while len(part.records) <= start and time.monotonic() < until:
            grown = part.grown
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(until - time.monotonic()):
                    await grown.wait()
        limit = int(query.get("max_kb", "1024")) * 1024
        body = struct.pack(">QQ", len(part.records), 0)
        for key, value in part.records[start:]:
            name = key.encode()
            content = bytes((len(name),)) + name + value
            body += _LENGTH.pack(len(content)) + content
            if len(body) > limit:
                break
        return Response(200, body)

    def _newest(self, part: _Partition, query: dict[str, str]) -> Response:
        after = query.get("after", "")
        keys = sorted(key for key in part.newest if key > after)
        items, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            value, offset = part.newest[key]
            size += len(value)
            if items and size > 1 << 20:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        return as_json(
            200,
            {
                "items": items,
                "has_more": len(items) < len(keys),
                "end_offset": len(part.records),
            },
        )


# Executors


@dataclass
class Run:
    """A run of a task on an executor."""

    task: str
    attempt: int
    started_at: float
    work_s: float | None
    ender: asyncio.TimerHandle | None = None
    stopping: bool = False
    ended_at: float | None = None
    how: str = ""
    end_number: int = 0
    noted_at: float | None = None
    saved: str = ""


class Executor:
    """An executor, which may have several lives under one id.

    :param machine: the machine of which it is one life; one of its own by default.
    :param work_s: returns the run time of a task, none for one that lasts, and the
        way in which it ends.
    :param saves: whether an end carries a saved state.
    :ivar history: all runs of all lives.
    :ivar lapses: times at which the lease lapsed.
    """

    def __init__(
        self,
        id: str,
        service: str,
        recorder: Recorder,
        work_s: Callable[[str, str], tuple[float | None, str]],
        capacity: dict[str, int],
        hold_max_ms: int = 10_000,
        stop_grace_s: float = 0.1,
        saves: bool = False,
        machine: str = "",
    ):
        self.id = id
        self.machine = machine or f"m-{id}"
        self.service = service
        self.capacity = capacity
        self.address = ""
        self.history: list[Run] = []
        self.lapses: list[float] = []
        self._recorder = recorder
        self._work_s = work_s
        self._hold_max_ms = hold_max_ms
        self._stop_grace_s = stop_grace_s
        self._saves = saves
        #: Service whose tickets a start has to carry, if the queue has one.
        self.advice: Advice | None = None
        self.up = False
        self._life = 0
        self.begin_life()

    # Lives

    def begin_life(self) -> None:
        """Begin a life, which knows nothing of those before."""
        self.up = True
        self._life += 1
        self.born = time.time_ns() // 1_000_000
        self._clock_zero = time.monotonic() - 1.0
        self.running: dict[tuple[str, int], Run] = {}
        self.ended: list[Run] = []
        self._numbers = itertools.count(1)
        self._until_ms = 0
        self._token = 0
        self._highest: dict[str, int] = {}
        self._ended_event = asyncio.Event()
        self._lease_timer: asyncio.TimerHandle | None = None
        self._recorder.note(f"executor {self.id}: starts, born {self.born}")

    def crash(self) -> None:
        """End the life and all that runs."""
        self.up = False
        for run in list(self.running.values()):
            if run.ender is not None:
                run.ender.cancel()
            run.ended_at, run.how = self._recorder.now(), "crash"
        self.running.clear()
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        self._recorder.note(f"executor {self.id}: crashes")

    def clock_ms(self) -> int:
        """Return the steady clock of this life, in milliseconds."""
        return int((time.monotonic() - self._clock_zero) * 1000)

    def listing(self, draining_ms: int | None = None) -> bytes:
        """Return the entry in the list of executors.

        :param draining_ms: least time that is left, if the executor drains.
        """
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "capacity": self.capacity,
            "labels": ["a", "r-1"],
            "born": self.born,
        }
        if draining_ms is not None:
            entry |= {"state": "draining", "remaining_ms": draining_ms, "seq": 2}
        return json.dumps(entry).encode()

    # Orders

    async def handle(self, request: Request) -> Response:
        """Handle an order that arrives over the network."""
        if not self.up:
            return Response(503, dropped=True)
        if request.headers.get("hickoryplank-expect-instance", self.id) != self.id:
            return as_json(421, {})
        order = json.loads(request.body)
        return await self.carry_out(request.path, order)

    async def carry_out(self, path: str, order: dict) -> Response:
        """Carry an order out."""
        if order.get("fencing_token", 0) < self._token:
            return self._answer(409, reason="fence")
        self._token = order.get("fencing_token", 0)
        match path:
            case "/api/run-start":
                return self._start(order)
            case "/api/run-stop":
                return self._stop(order)
            case "/api/hold":
                return await self._hold(order)
            case "/api/pace":
                return self._answer(200)
        return self._answer(400)

    def _answer(self, status: int, **more) -> Response:
        return as_json(status, {"clock_ms": self.clock_ms(), **more})

    def _extend(self, until_ms: int) -> None:
        clock = self.clock_ms()
        self._until_ms = max(self._until_ms, min(until_ms, clock + self._hold_max_ms))
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        delay = max(0.0, (self._until_ms - clock) / 1000) + 0.001
        self._lease_timer = asyncio.get_running_loop().call_later(delay, self._lapse)

    def _lapse(self) -> None:
        if self.clock_ms() >= self._until_ms:
            self.lapses.append(self._recorder.now())
            for run in list(self.running.values()):
                self._end(run, "lapsed")

    def _start(self, order: dict) -> Response:
        task, attempt = order["task"], order["attempt"]
        if (task, attempt) in self.running:
            self._extend(order["until_ms"])
            return self._answer(200)
        if attempt <= self._highest.get(task, 0):
            self._extend(order["until_ms"])
            return self._answer(409, reason="old")
        if self.advice is not None and not self.advice.permits(self, task, order):
            return self._answer(409, reason="ticket")
        if order["until_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(order["until_ms"])
        work_s, how = self._work_s(task, order["spec"])
        run = Run(task, attempt, self._recorder.now(), work_s)
        if work_s is not None:
            run.ender = asyncio.get_running_loop().call_later(
                work_s, self._end, run, how
            )
        self.running[(task, attempt)] = run
        self.history.append(run)
        self._recorder.note(f"executor {self.id}: {task} run {attempt} starts")
        return self._answer(200)

    def _stop(self, order: dict) -> Response:
        task, attempt = order["task"], order["attempt"]
        self._highest[task] = max(self._highest.get(task, 0), attempt)
        run = self.running.get((task, attempt))
        if run is not None and not run.stopping:
            run.stopping = True
            if run.ender is not None:
                run.ender.cancel()
            run.ender = asyncio.get_running_loop().call_later(
                self._stop_grace_s, self._end, run, "stopped"
            )
        return self._answer(200)

    def _end(self, run: Run, how: str) -> None:
        if run.ender is not None:
            run.ender.cancel()
        self.running.pop((run.task, run.attempt), None)
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.attempt)
        run.ended_at, run.how = self._recorder.now(), how
        run.end_number = next(self._numbers)
        if self._saves:
            run.saved = f"{run.end_number:016x}"
        self.ended.append(run)
        self._recorder.note(
            f"executor {self.id}: {run.task} run {run.attempt} ends {how},"
            f" end {run.end_number}"
        )
        self._ended_event.set()
        self._ended_event = asyncio.Event()

    async def _hold(self, order: dict) -> Response:
        last_seen = order.get("last_seen", 0)
        noted = [run for run in self.ended if run.end_number <= last_seen]
        for run in noted:
            run.noted_at = self._recorder.now()
        if noted:
            self._recorder.note(
                f"executor {self.id}: {len(noted)} ends up to {last_seen} are taken"
                " note of"
            )
        self.ended = [run for run in self.ended if run.end_number > last_seen]
        if order.get("until_ms") is not None:
            self._extend(order["until_ms"])
        wait_s = order.get("wait_ms", 0) / 1000
        if not self.ended and wait_s:
            event, life = self._ended_event, self._life
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await event.wait()
            if life != self._life or not self.up:
                # The life that the call had reached has ended.
                return Response(503, dropped=True)
        running = [[r.task, r.attempt, r.saved, 100, 10] for r in self.running.values()]
        ended = [
            [r.end_number, r.task, r.attempt, r.how, r.saved]
            for r in self.ended[:ENDS_PER_ANSWER]
        ]
        return self._answer(200, running=running, ended=ended, born=self.born)


class Advice:
    """The service that decides which executors may run a step.

    It handles one call at a time, as only one machine calls it here.

    :param allowed: ids of the executors that may run the steps of each job, which
        doesn't change.
    """

    def __init__(self, recorder: Recorder, allowed: dict[str, set[str]]):
        self.timing = {"decide_ms": 20, "interval_ms": 5, "valid_ms": 3000}
        self._recorder = recorder
        self._allowed = allowed
        self._executors: dict[str, Executor] = {}
        self._tickets: dict[str, tuple[str, Executor, int, float]] = {}
        self._turn = asyncio.Lock()

    def guard(self, executor: Executor) -> None:
        """Let an executor reject starts without a valid ticket."""
        self._executors[executor.id] = executor
        executor.advice = self

    async def handle(self, request: Request) -> Response:
        """Answer which of the executors named may run a step."""
        ask = json.loads(request.body)
        step, workers = ask["step"], ask["workers"]
        async with self._turn:
            spent_ms = self.timing["decide_ms"]
            spent_ms += self.timing["interval_ms"] * len(workers)
            await asyncio.sleep(spent_ms / 1000)
        rows = []
        for id in workers:
            if id in self._allowed[step.split(".")[0]]:
                one = self._executors[id]
                ticket = f"t-{len(self._tickets)}"
                until = time.monotonic() + self.timing["valid_ms"] / 1000
                self._tickets[ticket] = (step, one, one.born, until)
                rows.append([id, ticket])
        allowed = [row[0] for row in rows]
        self._recorder.note(f"advice: {step} asked for {workers}, allowed {allowed}")
        return as_json(200, {"allowed": rows, "valid_ms": self.timing["valid_ms"]})

    def permits(self, executor: "Executor", task: str, order: dict) -> bool:
        """Return whether a start carries a valid ticket."""
        known = self._tickets.get(order.get("ticket", ""))
        if known is None:
            return False
        step, one, born, until = known
        same = task.rsplit(".", 1)[0] == step and one is executor
        return same and born == executor.born and time.monotonic() < until


class Cloud:
    """The platform's machines, each with its newest executor; none is ever moved."""

    def __init__(self, executors: list[Executor]):
        self.executors = executors

    async def handle(self, request: Request) -> Response:
        """Handle a call."""
        await asyncio.sleep(0.004)
        if request.method != "GET":
            return as_json(409, {"reason": "busy"})
        machines = [
            {
                "machine": one.machine,
                "pool": one.service,
                "state": "up" if one.up else "down",
                "zone": "a",
                "labels": ["a", "r-1"],
                "capacity": one.capacity,
                "id": one.id if one.up else None,
            }
            for one in self.executors
        ]
        return as_json(200, {"machines": machines, "next_token": None})
