"""Fake of the users' platform: store, executors and machines over HTTP.

It serves the published protocol from in-memory models, for tests on loopback only.
"""

import base64
import json
import struct
from collections.abc import Awaitable, Callable

from aiohttp import web
from result import Err, Ok

from hickoryplank.coordinator.ports import (
    CallFault,
    CallFaultKind,
    Condition,
    Fence,
    Topic,
    VmState,
)
from hickoryplank.core.ids import EndpointId, JobId, PoolId, VmId, WaveId
from hickoryplank.jobs.messages import StartOutcome
from hickoryplank.jobs.model import TaskKey
from hickoryplank.jobs.records import Record
from tests.coordinator.memory_platform import MemoryEndpoints, MemoryStore, MemoryVms

__all__ = ["FakePlatform"]

TOPICS = {
    "keyed.coordinator": Topic.LEASE,
    "keyed.jobs": Topic.JOBS,
    "keyed.op": Topic.OPERATOR,
    "keyed.servers": Topic.LISTINGS,
    "keyed.status": Topic.STATUS,
}
PAGE_ITEMS = 500
_LENGTH = struct.Struct(">I")
#: The platform's word for each state of a VM; for any other, it is ``up``.
_VM_STATES = {VmState.MAINTENANCE: "upkeep", VmState.DOWN: "down"}
_REFUSAL_REASONS = {
    StartOutcome.FENCED: "fence",
    StartOutcome.ALREADY_ENDED: "old",
    StartOutcome.LEASE_EXPIRED: "late",
    StartOutcome.NO_ROOM: "room",
}


def _json_response(status: int, body) -> web.Response:
    return web.Response(
        status=status, text=json.dumps(body), content_type="application/json"
    )


def _records(body: bytes) -> list[Record]:
    records, position = [], 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        content = body[position + 4 : position + 4 + length]
        position += 4 + length
        key_end = 1 + content[0]
        records.append(Record(content[1:key_end].decode(), content[key_end:]))
    return records


def _frame(record: Record) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return _LENGTH.pack(len(content)) + content


class FakePlatform:
    """Serves a store, executors and machines, each at an address of its own.

    :ivar store_status: status of all answers of the store; none to serve normally.
    :ivar requests: all requests to the store.
    """

    def __init__(
        self,
        store: MemoryStore,
        endpoints: MemoryEndpoints | None = None,
        vms: MemoryVms | None = None,
    ):
        self.store = store
        self.endpoints = endpoints
        self.vms = vms
        self.store_status: int | None = None
        self.requests: list[web.BaseRequest] = []
        self._runners: list[web.ServerRunner] = []

    async def serve(self, handler) -> str:
        """Serve ``handler`` on a free port of loopback; return the address."""
        runner = web.ServerRunner(web.Server(handler))
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        return f"127.0.0.1:{runner.addresses[-1][1]}"

    async def close(self) -> None:
        """Stop serving."""
        for runner in self._runners:
            await runner.cleanup()

    # The store

    async def handle_store(self, request: web.BaseRequest) -> web.Response:
        """Handle a request to the store."""
        self.requests.append(request)
        if self.store_status is not None:
            return web.Response(status=self.store_status)
        calls: dict[str, Callable[[web.BaseRequest], Awaitable[web.Response]]] = {
            "/api/log-append": self._append,
            "/api/log-read": self._read,
            "/api/log-newest": self._newest,
        }
        return await calls[request.path](request)

    async def _append(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        guard: Condition | Fence | None = None
        if "at" in query:
            guard = Condition(int(query["at"]))
        elif "producer" in query:
            guard = Fence(int(query["epoch"]), int(query["seq"]))
        records = _records(await request.read())
        match await self.store.append(TOPICS[query["topic"]], records, guard):
            case Ok(done):
                body = {"offset": done.offset, "end_offset": done.end}
                return _json_response(200, body)
            case Err(CallFault(CallFaultKind.FENCED, _)):
                return _json_response(409, {"reason": "fenced"})
            case Err(CallFault(CallFaultKind.CONDITION_FAILED, detail)):
                return _json_response(412, {"end_offset": int(detail)})
        return _json_response(409, {"reason": "seq"})

    async def _read(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        topic = TOPICS[query["topic"]]
        wait_ms = int(query.get("wait_ms", "0"))
        first = self.store.partition(topic).first_offset
        match await self.store.read(topic, int(query["from"]), wait_ms):
            case Ok(page):
                header = struct.pack(">QQ", page.end, first)
                return web.Response(body=header + b"".join(map(_frame, page.records)))
        return _json_response(410, {"first_offset": first})

    async def _newest(self, request: web.BaseRequest) -> web.Response:
        match await self.store.newest(TOPICS[request.query["topic"]]):
            case Ok(newest):
                after = request.query.get("after", "")
                remaining = sorted(newest.records, key=lambda one: one.key)
                remaining = [one for one in remaining if one.key > after]
                items = [
                    {
                        "key": one.key,
                        "value": base64.b64encode(one.value).decode(),
                        "offset": 0,
                    }
                    for one in remaining[:PAGE_ITEMS]
                ]
                body = {
                    "items": items,
                    "has_more": len(remaining) > PAGE_ITEMS,
                    "end_offset": newest.end,
                }
                return _json_response(200, body)
        return _json_response(503, {})

    # Executors

    async def handle_endpoint(self, request: web.BaseRequest) -> web.Response:
        """Handle a request to the executor that the header names."""
        id = EndpointId(request.headers["Hickoryplank-Expect-Instance"])
        return self.carry_out(id, request.path, json.loads(await request.read()))

    def carry_out(self, id: EndpointId, path: str, order: dict) -> web.Response:
        """Carry out an order in the present incarnation of an executor."""
        assert self.endpoints is not None
        one = self.endpoints.endpoints.get(id)
        if one is None:
            return _json_response(421, {})
        token = order["fencing_token"]
        self.endpoints.advance_clocks()
        if path == "/api/hold":
            report = one.poll(token, order["last_seen"], order.get("until_ms"))
            if report is None:
                return _json_response(409, {"reason": "fence"})
            running = [
                [
                    _task_name(run.key),
                    run.attempt,
                    run.checkpoint,
                    run.percent,
                    run.load,
                ]
                for run in report.running
            ]
            ended = [
                [
                    end.number,
                    _task_name(end.key),
                    end.attempt,
                    end.kind.value,
                    end.checkpoint,
                ]
                for end in report.ends
            ]
            body = {
                "clock_ms": report.clock_ms,
                "born": report.born_ms,
                "running": running,
                "ended": ended,
            }
            return _json_response(200, body)
        key = _task_key(order["task"])
        clock = {"clock_ms": int(one.clock_ms)}
        if path == "/api/run-stop":
            done = one.stop(key, order["attempt"], token)
            return _json_response(200 if done else 409, clock)
        outcome = one.start(
            key, order["attempt"], order["spec"], order["until_ms"], token
        )
        if outcome is StartOutcome.STARTED:
            return _json_response(200, clock)
        return _json_response(409, {**clock, "reason": _REFUSAL_REASONS[outcome]})

    # Machines

    async def handle_vms(self, request: web.BaseRequest) -> web.Response:
        """Handle a request for the list of machines, or an order for one."""
        assert self.vms is not None
        if request.method == "GET":
            listed = (await self.vms.list()).unwrap()
            machines = [
                {
                    "machine": vm.id,
                    "pool": vm.pool,
                    "state": _VM_STATES.get(vm.state, "up"),
                    "zone": vm.zone,
                    "labels": list(vm.labels),
                    "capacity": {"cpu": vm.capacity.cpu, "mem_mb": vm.capacity.mem_mb},
                    "id": vm.endpoint,
                }
                for vm in listed
            ]
            return _json_response(200, {"machines": machines, "next_token": None})
        order = json.loads(await request.read())
        token = int(request.headers["Hickoryplank-Fencing-Token"])
        vm = VmId(order["machine"])
        if vm not in self.vms.vms:
            return _json_response(400, {})
        if request.path == "/api/machine-move":
            await self.vms.move(vm, PoolId(order["pool"]), token, lambda: True)
        else:
            wave = WaveId(str(order["wave"]))
            await self.vms.maintain(vm, wave, token, lambda: True)
        return _json_response(200, {})


def _task_name(key: TaskKey) -> str:
    return f"{key.job}.{key.occurrence}.{key.step}.{key.index}"


def _task_key(name: str) -> TaskKey:
    job, occurrence, step, index = name.split(".")
    return TaskKey(JobId(job), int(occurrence), int(step), int(index))
