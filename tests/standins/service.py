"""What the stand-in programs share: serving, fault requests and lost connections."""

import json
import socket
import sys
from argparse import ArgumentParser

import anyio
import msgspec
from hypercorn.asyncio import serve as hypercorn_serve
from hypercorn.config import Config
from starlette.requests import Request
from starlette.responses import Response

from hickoryplank.platform import wire

BACKLOG = 512


class Connections:
    """ASGI wrapper that repeats request ids, states lengths and loses connections.

    A silenced connection stays open, and nothing passes in either direction.
    """

    def __init__(self, app) -> None:
        self._app = app
        self._open: set = set()
        self._silent: set = set()

    def silence(self, request: Request) -> None:
        """Silence the connections that are open now, except that of ``request``."""
        self._silent |= self._open - {tuple(request.client)}

    async def __call__(self, scope, receive, send) -> None:
        if scope["type"] != "http":
            return await self._app(scope, receive, send)
        conn = tuple(scope["client"])
        self._open.add(conn)
        if conn in self._silent:
            return await self._hang(conn, receive)
        lost = False
        request_id = dict(scope["headers"]).get(wire.REQUEST.encode())

        async def send_on(message) -> None:
            nonlocal lost
            if lost or conn in self._silent:
                lost = True
                return await self._hang(conn, receive)
            if message["type"] == "http.response.start" and request_id:
                headers = [*message["headers"], (wire.REQUEST.encode(), request_id)]
                message = {**message, "headers": headers}
            return await send(message)

        return await self._app(scope, receive, send_on)

    async def _hang(self, conn, receive) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self._open.discard(conn)
        self._silent.discard(conn)


def reply(body: bytes = b"", status: int = 200, **headers: str) -> Response:
    """Return a response that states its length; header names use underscores."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return Response(body, status, {wire.LENGTH: str(len(body)), **named})


def packed(message: object, status: int = 200) -> Response:
    """Return a msgpack response."""
    return reply(msgspec.msgpack.encode(message), status)


async def no_answer(request: Request) -> Response:
    """Hold the request until its sender gives up."""
    while not await request.is_disconnected():
        await anyio.sleep(0.05)
    return reply(status=500)


async def changed_faults(request: Request, faults):
    """Return ``faults`` with the fields that the JSON body sets."""
    changes = json.loads(await request.body())
    return msgspec.convert({**msgspec.to_builtins(faults), **changes}, type(faults))


def parser(description: str) -> ArgumentParser:
    """Return the options of every stand-in."""
    options = ArgumentParser(description=description)
    options.add_argument("--bind", default="127.0.0.1:0")
    return options


def listen(bind: str) -> socket.socket:
    """Return a listening socket; port 0 takes a free port."""
    host, port = bind.rsplit(":", 1)
    sock = socket.create_server((host, int(port)), backlog=BACKLOG)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


async def serve(app, sock: socket.socket, stop=None, **settings) -> None:
    """Serve ``app`` until ``stop`` returns, with further settings of hypercorn."""
    cfg = Config.from_mapping(settings)
    cfg.bind = [f"fd://{sock.fileno()}"]
    cfg.graceful_timeout = 0.1
    cfg.keep_alive_timeout = 60.0
    cfg.loglevel = "WARNING"
    cfg.backlog = BACKLOG
    await hypercorn_serve(app, cfg, shutdown_trigger=stop)


def address_of(sock: socket.socket) -> str:
    """Return the ``host:port`` of a listening socket."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


def run(app, bind: str) -> None:
    """Serve as a process of its own, which prints its address as one JSON line."""
    sock = listen(bind)
    sys.stdout.write(json.dumps({"address": address_of(sock)}) + "\n")
    sys.stdout.flush()
    anyio.run(serve, app, sock)
