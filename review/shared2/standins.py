"""Stand-ins of the platform for the cases of the second review.

The store, the executors and the list of machines, served on loopback with the standard
library alone. They do what the pages PROTOCOL.md and DEPLOY.md say and nothing else.
"""

import asyncio
import base64
import json
import socket
import struct
import time
from collections import deque
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, urlsplit

RECORD_BYTES = 262144
CALL_BYTES = 2097152
PAGE_ITEMS = 500
ENDS_PER_ANSWER = 500
STOP_SECONDS = 0.1
HOLD_MAX_MS = 10000
HEARTBEAT_SECONDS = 1.5
#: Heartbeat intervals of silence after which an entry is removed.
SILENT_HEARTBEATS = 3

Answer = tuple[int, bytes]
Handler = Callable[[str, str, dict, dict, bytes], Awaitable[Answer]]


def now_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000


def encode(body) -> bytes:
    """Encode a JSON body."""
    return json.dumps(body).encode()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes] | None:
    """Read an HTTP message; return its first line, headers and body."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (header := (await reader.readline()).strip()) != b"":
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return line.decode("latin-1").strip(), headers, await reader.readexactly(length)


class _ResetRequest(Exception):
    """Raised by a handler to reset the connection of a request."""


class Server:
    """An HTTP/1.1 server on a free port of loopback.

    :param handler: returns status and body for method, path, query, headers and body.
    """

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, port: int = 0) -> None:
        """Listen; on a free port by default."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                url = urlsplit(target)
                query = dict(parse_qsl(url.query))
                status, data = await self._handler(
                    method, url.path, query, headers, body
                )
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
                head += "Content-Type: application/json\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except _ResetRequest:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The loop is closing, or the peer has ended the connection.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class _Partition:
    """Partition 0 of a topic."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.epochs: dict[str, int] = {}
        self.sequences: dict[str, int | None] = {}
        self.recent: dict[str, deque] = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    @property
    def end(self) -> int:
        return len(self.records)

    def append(self, records: list[bytes]) -> int:
        """Append records, and return the offset of the first."""
        offset = self.end
        for one in records:
            key_end = 1 + one[0]
            key = one[1:key_end].decode(errors="replace")
            value = one[key_end:]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (value, self.end)
            self.records.append(one)
        if records:
            self.changed.set()
            self.changed = asyncio.Event()
        return offset


class Store:
    """The platform's store: keyed topics with one partition each.

    :ivar too_large: number of appends refused for a record over ``RECORD_BYTES``.
    """

    def __init__(self, answer_s: float = 0.004):
        self._answer_s = answer_s
        self._topics: dict[str, _Partition] = {}
        self.server = Server(self._handle)
        self.too_large = 0

    def topic(self, name: str) -> _Partition:
        """Return a topic, created on first use."""
        return self._topics.setdefault(name, _Partition())

    def write(self, topic: str, key: str, body) -> None:
        """Write a record as the operator or an executor; no body removes the key."""
        name = key.encode()
        value = encode(body) if body is not None else b""
        self.topic(topic).append([bytes((len(name),)) + name + value])

    async def _handle(self, method, path, query, headers, body) -> Answer:
        await asyncio.sleep(self._answer_s)
        partition = self.topic(query.get("topic", ""))
        if path == "/api/log-append":
            async with partition.lock:
                return self._append(partition, query, body)
        if path == "/api/log-read":
            return await self._read(partition, query)
        if path == "/api/log-newest":
            return self._newest(partition, query)
        return 404, b"{}"

    def _append(self, partition: _Partition, query: dict, body: bytes) -> Answer:
        records = _unframe(body)
        if len(body) > CALL_BYTES or any(len(one) > RECORD_BYTES for one in records):
            self.too_large += 1
            return 400, encode({"reason": "size"})
        if "at" in query and int(query["at"]) != partition.end:
            return 412, encode({"end_offset": partition.end})
        producer = query.get("producer")
        if producer is None:
            offset = partition.append(records)
            return 200, encode({"offset": offset, "end_offset": partition.end})
        epoch, sequence = int(query["epoch"]), int(query["seq"])
        known = partition.epochs.get(producer, -1)
        if epoch < known:
            return 409, encode({"reason": "fenced"})
        if epoch > known:
            partition.epochs[producer] = epoch
            partition.sequences[producer] = None
            partition.recent[producer] = deque(maxlen=5)
        for number, answer in partition.recent[producer]:
            if number == sequence:
                return 200, answer
        last = partition.sequences[producer]
        if last is not None and sequence != last + 1:
            return 409, encode({"reason": "seq", "seq": last + 1})
        offset = partition.append(records)
        answer = encode({"offset": offset, "end_offset": partition.end})
        partition.sequences[producer] = sequence
        partition.recent[producer].append((sequence, answer))
        return 200, answer

    async def _read(self, partition: _Partition, query: dict) -> Answer:
        first = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while partition.end <= first and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(partition.changed.wait(), left)
            except TimeoutError:
                break
        head = struct.pack(">QQ", partition.end, 0)
        records = partition.records[first:]
        return 200, head + b"".join(struct.pack(">I", len(x)) + x for x in records)

    def _newest(self, partition: _Partition, query: dict) -> Answer:
        after = query.get("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][0]).decode(),
                "offset": partition.newest[key][1],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        more = len(keys) > PAGE_ITEMS
        page = {"items": items, "has_more": more, "end_offset": partition.end}
        return 200, encode(page)


def _unframe(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        position += 4
        records.append(body[position : position + length])
        position += length
    return records


class Run:
    """A run on an executor.

    The spec says how long the tasks of each step work, how many members a gang has,
    what label a task needs, and whether the tasks are uneven.

    :ivar left_ms: work that is left; none for a task that lasts.
    """

    def __init__(self, task: str, attempt: int, spec: str):
        self.task = task
        self.attempt = attempt
        self.spec = json.loads(spec)
        step, index = task.split(".")[2:]
        self.work_ms = self.spec.get("ms", {}).get(step)
        if self.work_ms is not None and self.spec.get("uneven"):
            self.work_ms *= 0.5 + int(index) * 37 % 100 / 100
        self.gang = self.spec.get("gang", {}).get(step, 0)
        #: What the task requests, for the reviewer's checks.
        self.cpu = self.spec.get("cpu", {}).get(step, 0)
        self.left_ms = self.work_ms
        self.started_at = time.monotonic()
        self.stop_at: float | None = None

    @property
    def group(self) -> tuple[str, int]:
        """Identify the run of the gang that this run is a member of."""
        return self.task.rsplit(".", 1)[0], self.attempt


class Executors:
    """All executors, and what the reviewer's checks read from them.

    :param note: writes a line to the record.
    """

    def __init__(self, store: Store, note: Callable[..., None]):
        self.store = store
        self.note = note
        self.all: list[Executor] = []
        #: Task and time of each start, by ``clock``.
        self.starts: list[tuple[str, float]] = []
        self.clock = time.monotonic
        #: Label that the spec of a task names, and that its executor does not have.
        self.wrong_kind: list[str] = []
        #: Tasks that have ended done.
        self.done: set[str] = set()
        #: Runs that ended failed, by job and task.
        self.failures: dict[str, dict[str, int]] = {}
        self._task: asyncio.Task | None = None

    def start_clock(self) -> None:
        """Advance the work of all runs from now on."""
        self._task = asyncio.create_task(self._advance())

    async def stop(self) -> None:
        """Stop all executors."""
        if self._task is not None:
            self._task.cancel()
        for one in self.all:
            await one.server.stop()

    async def _advance(self) -> None:
        before = time.monotonic()
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            passed_ms, before = (now - before) * 1000, now
            members: dict[tuple[str, int], int] = {}
            for one in self.all:
                for run in one.running.values():
                    members[run.group] = members.get(run.group, 0) + 1
            for one in self.all:
                one.advance(passed_ms, members)
                one.beat()


class Executor:
    """One executor, with one incarnation at a time.

    :param labels: its kind and its rack.
    :ivar fails: tells which runs fail, by task and attempt.
    :ivar silent: leaves requests unanswered, and does nothing for them.
    :ivar resets: resets the connection of each request, and does nothing for it.
    :ivar down: whether it has crashed, and has not started again.
    """

    def __init__(self, park: Executors, id: str, service: str, labels, cpu=16000):
        self.park = park
        self.id = id
        self.service = service
        self.labels = list(labels)
        self.capacity = {"cpu": cpu, "mem_mb": 32768, "gpu": 0}
        self.server = Server(self._handle)
        self.fails: Callable[[str, int], bool] = lambda task, attempt: False
        self.silent: Callable[[str], bool] = lambda path: False
        self.running: dict[str, Run] = {}
        self.resets = False
        self.down = False
        self._sequence = 0
        self._beat_at = 0.0
        self._listed = False
        self._begin()
        park.all.append(self)

    def _begin(self) -> None:
        self.born = now_ms()
        self._sequence = 0
        self._clock_base = time.monotonic() - 1.0
        self.until_ms = 0
        self.token = 0
        self.running = {}
        self.ended: list[list] = []
        self.number = 0
        self.highest: dict[str, int] = {}
        self.last_seen = 0

    @property
    def clock_ms(self) -> int:
        """The executor's own steady clock."""
        return int((time.monotonic() - self._clock_base) * 1000)

    async def start(self) -> None:
        """Serve and register."""
        await self.server.start()
        self.register()

    def register(self) -> None:
        """Write the entry of this executor to the store."""
        self._sequence += 1
        self._beat_at = time.monotonic()
        self._listed = True
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": "a",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self._sequence,
            "born": self.born,
            "capacity": self.capacity,
            "labels": self.labels,
        }
        self.park.store.write("keyed.servers", self.id, entry)

    async def crash(self, *, dark: bool = False) -> None:
        """End this incarnation without a word.

        :param dark: connections to it hang; they are refused otherwise.
        """
        self.park.note("executor crashed", executor=self.id, running=len(self.running))
        self.down = True
        self.running = {}
        if dark:
            self.silent = lambda path: True
        else:
            await self.server.stop()

    def beat(self) -> None:
        """Renew the entry in the store, or remove it after a silence."""
        silence = time.monotonic() - self._beat_at
        if not self.down and silence >= HEARTBEAT_SECONDS:
            self.register()
        elif self._listed and silence >= HEARTBEAT_SECONDS * SILENT_HEARTBEATS:
            self._listed = False
            self.park.store.write("keyed.servers", self.id, None)

    async def restart(self) -> None:
        """Begin a new incarnation under the same id, at the same address."""
        self._begin()
        self.down = False
        server = Server(self._handle)
        await server.start(int(self.server.address.rsplit(":", 1)[1]))
        self.server = server
        self.park.note(
            "executor started again", executor=self.id, born=self.born, kind=self.labels
        )

    def advance(self, passed_ms: float, members: dict) -> None:
        """Let all runs work, and end those that are due."""
        for run in list(self.running.values()):
            if run.stop_at is not None:
                if time.monotonic() >= run.stop_at:
                    self._end(run, "stopped")
            elif run.gang and members.get(run.group, 0) < run.gang:
                if time.monotonic() - run.started_at > 3.0:
                    self._end(run, "alone")
            elif run.left_ms is not None:
                run.left_ms -= passed_ms
                if run.left_ms <= 0:
                    failed = self.fails(run.task, run.attempt)
                    self._end(run, "failed" if failed else "done")
        if self.running and self.clock_ms > self.until_ms:
            for run in list(self.running.values()):
                self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.attempt)
        self.number += 1
        if how == "done":
            self.park.done.add(run.task)
        if how == "failed":
            tasks = self.park.failures.setdefault(run.task.split(".")[0], {})
            tasks[run.task] = tasks.get(run.task, 0) + 1
        self.ended.append([self.number, run.task, run.attempt, how, ""])
        self.park.note(
            "run ended", executor=self.id, task=run.task, run=run.attempt, how=how
        )

    async def _handle(self, method, path, query, headers, body) -> Answer:
        if self.silent(path):
            await asyncio.sleep(3600)
        if self.resets:
            raise _ResetRequest
        if headers.get("hickoryplank-expect-instance", self.id) != self.id:
            return 421, b"{}"
        order = json.loads(body)
        if order.get("fencing_token", 0) < self.token:
            return 409, self._body(reason="fence")
        self.token = order.get("fencing_token", 0)
        if path == "/api/hold":
            return await self._hold(order)
        if path == "/api/run-start":
            return self._start(order)
        if path == "/api/run-stop":
            return self._stop(order)
        return 200, self._body()

    def _body(self, **more) -> bytes:
        return encode({"clock_ms": self.clock_ms, "born": self.born, **more})

    def _extend(self, order: dict) -> None:
        until_ms = min(order.get("until_ms") or 0, self.clock_ms + HOLD_MAX_MS)
        self.until_ms = max(self.until_ms, until_ms)

    async def _hold(self, order: dict) -> Answer:
        born = self.born
        self._extend(order)
        self.last_seen = max(self.last_seen, order["last_seen"])
        self.ended = [one for one in self.ended if one[0] > order["last_seen"]]
        until = time.monotonic() + order.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            await asyncio.sleep(0.005)
            if self.born != born:
                await asyncio.sleep(3600)
        running = [
            [run.task, run.attempt, "", self._percent(run), 0]
            for run in self.running.values()
        ]
        ended = self.ended[:ENDS_PER_ANSWER]
        return 200, self._body(running=running, ended=ended)

    @staticmethod
    def _percent(run: Run) -> int:
        if run.work_ms is None:
            return 100
        return max(0, min(99, int(100 - 100 * run.left_ms / run.work_ms)))

    def _start(self, order: dict) -> Answer:
        task, attempt = order["task"], order["attempt"]
        known = self.running.get(task)
        if known is not None and known.attempt == attempt:
            self._extend(order)
            return 200, self._body()
        if known is not None or attempt <= self.highest.get(task, 0):
            self._extend(order)
            return 409, self._body(reason="old")
        if order["until_ms"] <= self.clock_ms:
            return 409, self._body(reason="late")
        self._extend(order)
        self.running[task] = Run(task, attempt, order["spec"])
        needs = self.running[task].spec.get("needs")
        if needs and needs not in self.labels:
            self.park.wrong_kind.append(f"{task} needs {needs}, is on {self.labels[0]}")
        self.park.starts.append((task, self.park.clock()))
        self.park.note(
            "run started",
            executor=self.id,
            kind=self.labels[0],
            task=task,
            run=attempt,
            token=order["fencing_token"],
        )
        return 200, self._body()

    def _stop(self, order: dict) -> Answer:
        task, attempt = order["task"], order["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.running.get(task)
        if run is not None and run.attempt <= attempt and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_SECONDS
        return 200, self._body()


class Machines:
    """The list of machines: one for each executor.

    There is no pool in standby and no wave, so that no machine is ordered away.
    """

    def __init__(self, park: Executors):
        self._park = park
        self.server = Server(self._handle)

    async def _handle(self, method, path, query, headers, body) -> Answer:
        if method != "GET":
            return 409, encode({"reason": "busy"})
        machines = [
            {
                "machine": f"m-{one.id}",
                "pool": one.service,
                "state": "down" if one.down else "up",
                "zone": "a",
                "labels": one.labels,
                "capacity": one.capacity,
                "id": one.id,
            }
            for one in self._park.all
        ]
        return 200, encode({"machines": machines})
