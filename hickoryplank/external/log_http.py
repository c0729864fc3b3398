"""HTTP client of the log service."""

from http import HTTPStatus
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from hickoryplank.external import wire
from hickoryplank.external.channel import (
    CallError,
    CallFailure,
    Channel,
    ChannelOptions,
    HttpResponse,
)
from hickoryplank.external.errors import LogError, LogFailure, Trimmed
from hickoryplank.external.log import Log, Page

__all__ = ["HttpLog"]

_T = TypeVar("_T")


class HttpLog(Log):
    """HTTP client of the log service.

    :param address: address of the service, as ``host:port``.
    :param options: time-outs and limits.
    """

    def __init__(self, address: str, options: ChannelOptions | None = None) -> None:
        self._options = options or ChannelOptions()
        self._channel = Channel(address, self._options)

    async def append(self, stream: str, data: bytes) -> Result[int, LogFailure]:
        """Append one record and return its offset."""
        called = await self._channel.call(
            "POST", "/records", params={"stream": stream}, body=data
        )
        match called:
            case Ok(HttpResponse(HTTPStatus.OK) as reply):
                return _decode_offset(reply)
            case Ok(reply) if wire.NO_EFFECT_HEADER in reply.headers:
                return Err(LogFailure(LogError.UNAVAILABLE, f"status {reply.status}"))
            case Ok(reply):
                return Err(LogFailure(LogError.UNKNOWN, f"status {reply.status}"))
            case Err(CallFailure(CallError.NOT_SENT, detail)):
                return Err(LogFailure(LogError.UNAVAILABLE, detail))
            case Err(failure):
                return Err(LogFailure(LogError.UNKNOWN, failure.detail))

    async def read(
        self, stream: str, start: int, limit: int, wait: float
    ) -> Result[Page, LogFailure | Trimmed]:
        """Return up to ``limit`` records from offset ``start`` on.

        :param wait: at the tail, how long to wait for new records, in seconds.
        """
        called = await self._channel.call(
            "GET",
            "/records",
            params={"stream": stream, "start": start, "limit": limit, "wait": wait},
            read_seconds=wait + self._options.read_seconds,
        )
        match called:
            case Ok(HttpResponse(HTTPStatus.OK) as reply):
                return _decode(reply, Page)
            case Ok(HttpResponse(HTTPStatus.GONE) as reply):
                return _decode(reply, Trimmed).and_then(Err)
            case Ok(reply):
                return Err(LogFailure(LogError.UNAVAILABLE, f"status {reply.status}"))
            case Err(failure):
                return Err(LogFailure(LogError.UNAVAILABLE, failure.detail))

    async def aclose(self) -> None:
        """Close all connections."""
        await self._channel.aclose()


def _decode_offset(reply: HttpResponse) -> Result[int, LogFailure]:
    try:
        return Ok(msgspec.msgpack.decode(reply.body, type=wire.Appended).offset)
    except msgspec.DecodeError as exc:
        return Err(LogFailure(LogError.UNKNOWN, str(exc)))


def _decode(reply: HttpResponse, kind: type[_T]) -> Result[_T, LogFailure]:
    try:
        return Ok(msgspec.msgpack.decode(reply.body, type=kind))
    except msgspec.DecodeError as exc:
        return Err(LogFailure(LogError.BAD_ANSWER, str(exc)))
