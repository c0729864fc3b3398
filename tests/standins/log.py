"""Fake log service."""

import math

from result import Err, Ok
from starlette.requests import Request

from hickoryplank.external import wire
from hickoryplank.external.errors import LogError, LogFailure, Trimmed
from hickoryplank.external.log_memory import MemoryLog
from tests.standins import service

MAX_WAIT_SECONDS = 60.0


def make_app(log: MemoryLog) -> service.App:
    """Return the ASGI application that serves ``log``."""

    async def append(request: Request):
        stream = request.query_params["stream"]
        match await log.append(stream, await request.body()):
            case Ok(offset):
                return service.msgpack_reply(wire.Appended(offset))
            case Err(LogFailure(LogError.UNAVAILABLE)):
                return service.reply(status=503, **{"no-effect": "1"})
        return await service.no_answer(request)

    async def read(request: Request):
        query = request.query_params
        start, limit = int(query["start"]), int(query["limit"])
        wait = min(float(query["wait"]), MAX_WAIT_SECONDS)
        match await log.read(query["stream"], start, limit, wait):
            case Ok(page):
                return service.msgpack_reply(page)
            case Err(Trimmed() as trimmed):
                return service.msgpack_reply(trimmed, 410)
        return service.reply(status=503)

    async def appending(request: Request):
        text = request.query_params["text"].encode()
        count = sum(text in data for data in log.appending)
        return service.reply(str(count).encode())

    handlers = {
        "POST /records": append,
        "GET /records": read,
        "GET /appending": appending,
    }
    return service.App(log, handlers)


if __name__ == "__main__":
    bind = service.parser(__doc__).parse_args().bind
    service.run(make_app(MemoryLog(math.inf)), bind)
