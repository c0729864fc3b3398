"""Stand-in for the log service."""

import math

import msgspec
from result import Err, Ok
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.routing import Route

from hickoryplank.platform import wire
from hickoryplank.platform.errors import LogError, LogFailure, Trimmed
from hickoryplank.platform.log_memory import MemoryLog
from tests.standins import service

MAX_WAIT_SECONDS = 60.0


def make_app(log: MemoryLog) -> service.Connections:
    """Return the HTTP interface of ``log``."""

    async def append(request: Request):
        stream = request.query_params["stream"]
        match await log.append(stream, await request.body()):
            case Ok(offset):
                return service.packed(wire.Appended(offset))
            case Err(LogFailure(LogError.UNAVAILABLE)):
                return service.reply(status=503, hickoryplank_no_effect="1")
        return await service.no_answer(request)

    async def read(request: Request):
        query = request.query_params
        start, limit = int(query["start"]), int(query["limit"])
        wait = min(float(query["wait"]), MAX_WAIT_SECONDS)
        match await log.read(query["stream"], start, limit, wait):
            case Ok(page):
                return service.packed(page)
            case Err(Trimmed() as trimmed):
                return service.packed(trimmed, 410)
        return service.reply(status=503)

    async def fault(request: Request):
        log.set_faults(await service.changed_faults(request, log.faults))
        return service.reply(msgspec.json.encode(log.faults))

    async def silence(request: Request):
        app.silence(request)
        return service.reply()

    routes = [
        Route("/records", append, methods=["POST"]),
        Route("/records", read),
        Route("/fault", fault, methods=["POST"]),
        Route("/silence", silence, methods=["POST"]),
    ]
    app = service.Connections(Starlette(routes=routes))
    return app


if __name__ == "__main__":
    bind = service.parser(__doc__).parse_args().bind
    service.run(make_app(MemoryLog(math.inf)), bind)
