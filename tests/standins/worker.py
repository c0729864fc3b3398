"""Stand-in for a worker."""

import json

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.background import BackgroundTask
from starlette.requests import Request
from starlette.routing import Route

from hickoryplank.core.ids import TaskId
from hickoryplank.platform import wire
from hickoryplank.platform.errors import RefusedStart
from hickoryplank.platform.worker import Start
from hickoryplank.platform.worker_engine import Interrupted, Sent, WorkerEngine
from tests.standins import service


def make_app(engine: WorkerEngine, vm: str = "") -> service.Connections:
    """Return the HTTP interface of ``engine``."""
    return _Handlers(engine, vm).app


class _Handlers:
    def __init__(self, engine: WorkerEngine, vm: str) -> None:
        self.engine = engine
        self.vm = vm
        routes = [
            Route("/start", self.start, methods=["POST"]),
            Route("/status", self.status),
            Route("/task", self.find),
            Route("/renew", self.renew, methods=["POST"]),
            Route("/checkpoint", self.checkpoint, methods=["POST"]),
            Route("/stop", self.stop, methods=["POST"]),
            Route("/effects", self.effects),
            Route("/fault", self.fault, methods=["POST"]),
            Route("/restart", self.restart, methods=["POST"]),
            Route("/silence", self.silence, methods=["POST"]),
        ]
        self.app = service.Connections(Starlette(routes=routes))

    async def start(self, request: Request):
        asked = _start(request, await request.body())
        match await self.engine.start(asked):
            case Sent(answer, length):
                response = service.reply(answer.body, answer.status)
                response.headers["content-type"] = answer.content_type
                response.headers[wire.LENGTH] = str(length)
                task = answer.task
            case RefusedStart() as refusal:
                task = asked.task
                response = service.reply(status=409, hickoryplank_refusal=refusal.value)
            case Interrupted.ANSWER_LOST:
                return await service.no_answer(request)
            case interrupted:
                task, value = asked.task, interrupted.value
                response = service.reply(status=409, hickoryplank_interrupted=value)
        response.headers[wire.TASK] = wire.to_header(task)
        response.headers[wire.ATTEMPT] = str(asked.attempt)
        return response

    async def status(self, _: Request):
        return service.packed(await self.engine.status())

    async def find(self, request: Request):
        return service.packed(await self.engine.find(_task(request)))

    async def renew(self, request: Request):
        asked = msgspec.msgpack.decode(await request.body(), type=wire.Renewal)
        done = await self.engine.renew(_task(request), asked.attempt, asked.lease)
        return service.reply(status=200 if done else 409)

    async def checkpoint(self, request: Request):
        await self.engine.checkpoint(_task(request))
        return service.reply()

    async def stop(self, request: Request):
        await self.engine.stop(_task(request))
        return service.reply()

    async def effects(self, _: Request):
        return service.reply(
            msgspec.json.encode({"vm": self.vm, "did": self.engine.effects()})
        )

    async def fault(self, request: Request):
        self.engine.set_faults(
            await service.changed_faults(request, self.engine.faults)
        )
        return service.reply(msgspec.json.encode(self.engine.faults))

    async def restart(self, request: Request):
        seconds = json.loads(await request.body() or b"{}").get("seconds", 0.0)
        self.engine.restart()
        response = service.reply()
        response.background = BackgroundTask(_pause, self.engine, seconds)
        return response

    async def silence(self, request: Request):
        self.app.silence(request)
        return service.reply()


async def _pause(engine: WorkerEngine, seconds: float) -> None:
    if seconds <= 0:
        return
    engine.set_faults(msgspec.structs.replace(engine.faults, paused=True))
    await anyio.sleep(seconds)
    engine.set_faults(msgspec.structs.replace(engine.faults, paused=False))


def _task(request: Request) -> TaskId:
    return TaskId(wire.from_header(request.headers[wire.TASK]))


def _start(request: Request, body: bytes) -> Start:
    headers = request.headers
    return Start(
        task=_task(request),
        attempt=int(headers[wire.ATTEMPT]),
        boot=wire.from_header(headers[wire.BOOT]),
        start_by=float(headers[wire.START_BY]),
        lease=float(headers[wire.LEASE]),
        content_type=headers.get("content-type", ""),
        body=body,
        traceparent=headers.get("traceparent", ""),
    )


def main() -> None:
    """Serve one worker."""
    options = service.parser(__doc__)
    options.add_argument("--vm", default="vm-0")
    options.add_argument("--slots", type=int, default=8)
    options.add_argument("--seconds", type=float, default=0.0)
    args = options.parse_args()
    engine = WorkerEngine(args.slots, args.seconds)
    service.run(make_app(engine, args.vm), args.bind)


if __name__ == "__main__":
    main()
