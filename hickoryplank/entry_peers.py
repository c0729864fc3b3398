"""HTTP handler of calls that other entries forward to this one."""

import logging
from collections.abc import Awaitable, Callable

import anyio.lowlevel
import msgspec
from aiohttp import web

from hickoryplank.coordinator.calls import Answer, Call, decode_call, encode
from hickoryplank.coordinator.forwarder import CALL_PATH

__all__ = ["PeerCallHandler"]

logger = logging.getLogger(__name__)

#: Number of turns of the event loop after which the end of a connection has been read,
#: if the peer closed it right after the request.
CLOSE_NOTICE_TURNS = 3


class PeerCallHandler:
    """Handles forwarded calls, unless the forwarding entry has given them up.

    :param answer: handles a call on the coordinator in this process.
    """

    def __init__(self, answer: Callable[[Call], Awaitable[Answer]]):
        self._answer = answer

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one forwarded call."""
        if request.path != CALL_PATH:
            return web.Response(status=404)
        try:
            call = decode_call(await request.read())
        except msgspec.MsgspecError as exc:
            logger.warning("malformed call of a peer", extra={"detail": str(exc)})
            return web.Response(status=400)
        if await _is_given_up(request):
            logger.info(
                "call given up by the forwarding entry",
                extra={"request": call.where.request, "call": type(call).__name__},
            )
            return web.Response(status=503)
        return web.Response(body=encode(await self._answer(call)))


async def _is_given_up(request: web.BaseRequest) -> bool:
    """Return whether the peer has closed the connection.

    A process that was suspended finds calls whose callers may have been answered
    otherwise since. Those must not take effect any more.
    """
    for _ in range(CLOSE_NOTICE_TURNS):
        await anyio.lowlevel.checkpoint()
    return request.transport is None or request.transport.is_closing()
