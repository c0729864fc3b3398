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
            case Ok(HttpResponse(HTTPStatus.OK) as response):
                return _decode_offset(response)
            case Ok(response) if wire.NO_EFFECT_HEADER in response.headers:
                return Err(
                    LogFailure(LogError.UNAVAILABLE, f"status {response.status}")
                )
            case Ok(response):
                return Err(LogFailure(LogError.UNKNOWN, f"status {response.status}"))
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
            case Ok(HttpResponse(HTTPStatus.OK) as response):
                return _decode(response, Page)
            case Ok(HttpResponse(HTTPStatus.GONE) as response):
                return _decode(response, Trimmed).and_then(Err)
            case Ok(response):
                return Err(
                    LogFailure(LogError.UNAVAILABLE, f"status {response.status}")
                )
            case Err(failure):
                return Err(LogFailure(LogError.UNAVAILABLE, failure.detail))

    async def aclose(self) -> None:
        """Close all connections."""
        await self._channel.aclose()


def _decode_offset(response: HttpResponse) -> Result[int, LogFailure]:
    try:
        return Ok(msgspec.msgpack.decode(response.body, type=wire.Appended).offset)
    except msgspec.DecodeError as exc:
        return Err(LogFailure(LogError.UNKNOWN, str(exc)))


def _decode(response: HttpResponse, kind: type[_T]) -> Result[_T, LogFailure]:
    try:
        return Ok(msgspec.msgpack.decode(response.body, type=kind))
    except msgspec.DecodeError as exc:
        return Err(LogFailure(LogError.BAD_ANSWER, str(exc)))
