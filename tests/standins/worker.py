"""Fake worker."""

import json

import anyio
import msgspec
from starlette.background import BackgroundTask
from starlette.requests import Request

from hickoryplank.core.ids import TaskId
from hickoryplank.external import wire
from hickoryplank.external.errors import StartRefusal
from hickoryplank.external.worker import StartRequest
from hickoryplank.external.worker_simulator import Interrupted, Sent, WorkerSimulator
from tests.standins import service


def make_app(simulator: WorkerSimulator, vm: str = "") -> service.App:
    """Return the ASGI application that serves ``simulator``."""
    handlers = _Handlers(simulator, vm)
    gets = {f"GET /{name}": getattr(handlers, name) for name in _GETS}
    posts = {f"POST /{name}": getattr(handlers, name) for name in _POSTS}
    return service.App(simulator, {**gets, **posts})


_GETS = ("status", "task", "effects")
_POSTS = ("start", "renew", "checkpoint", "stop", "restart")


class _Handlers:
    def __init__(self, simulator: WorkerSimulator, vm: str) -> None:
        self.simulator = simulator
        self.vm = vm

    async def start(self, request: Request):
        asked = _start(request, await request.body())
        echo = {"task": wire.to_header(asked.task), "attempt": str(asked.attempt)}
        match await self.simulator.start(asked):
            case Sent(answer, length):
                echo["task"] = wire.to_header(answer.task)
                response = service.reply(answer.body, answer.status, **echo)
                response.headers["content-type"] = answer.content_type
                response.headers[wire.LENGTH_HEADER] = str(length)
                return response
            case StartRefusal() as refusal:
                return service.reply(status=409, refusal=refusal.value, **echo)
            case Interrupted.ANSWER_LOST:
                return await service.no_answer(request)
            case end:
                return service.reply(status=409, interrupted=end.value, **echo)

    async def status(self, _: Request):
        return service.msgpack_reply(await self.simulator.status())

    async def task(self, request: Request):
        return service.msgpack_reply(await self.simulator.task_report(_task(request)))

    async def renew(self, request: Request):
        asked = msgspec.msgpack.decode(await request.body(), type=wire.Renewal)
        done = await self.simulator.renew(_task(request), asked.attempt, asked.lease)
        return service.reply(status=200 if done else 409)

    async def checkpoint(self, request: Request):
        await self.simulator.checkpoint(_task(request))
        return service.reply()

    async def stop(self, request: Request):
        await self.simulator.stop(_task(request))
        return service.reply()

    async def effects(self, _: Request):
        did = {"vm": self.vm, "did": self.simulator.effects()}
        return service.reply(msgspec.json.encode(did))

    async def restart(self, request: Request):
        seconds = json.loads(await request.body() or b"{}").get("seconds", 0.0)
        self.simulator.restart()
        response = service.reply()
        response.background = BackgroundTask(self._pause, seconds)
        return response

    async def _pause(self, seconds: float) -> None:
        for paused in (True, False):
            faults = msgspec.structs.replace(self.simulator.faults, paused=paused)
            self.simulator.set_faults(faults)
            await anyio.sleep(seconds if paused else 0)


def _task(request: Request) -> TaskId:
    return TaskId(wire.from_header(request.headers[wire.TASK_HEADER]))


def _start(request: Request, body: bytes) -> StartRequest:
    headers = request.headers
    return StartRequest(
        task=_task(request),
        attempt=int(headers[wire.ATTEMPT_HEADER]),
        boot=wire.from_header(headers[wire.BOOT_HEADER]),
        start_by=float(headers[wire.START_BY_HEADER]),
        lease=float(headers[wire.LEASE_HEADER]),
        content_type=headers.get("content-type", ""),
        body=body,
        traceparent=headers.get("traceparent", ""),
    )


if __name__ == "__main__":
    options = service.parser(__doc__)
    options.add_argument("--vm", default="vm-0")
    options.add_argument("--slots", type=int, default=8)
    options.add_argument("--seconds", type=float, default=0.0)
    args = options.parse_args()
    service.run(
        make_app(WorkerSimulator(args.slots, args.seconds), args.vm), bind=args.bind
    )
