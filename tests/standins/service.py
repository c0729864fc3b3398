"""Common parts of the fakes: serving, fault injection and silenced connections."""

import json
import socket
from argparse import ArgumentParser

import anyio
import msgspec
from hypercorn.asyncio import serve as hypercorn_serve
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hickoryplank.external import wire

BACKLOG = 512


class App:
    """ASGI application of a fake, which echoes the request id of each request.

    ``POST /silence`` silences all other open connections: they stay open, but no
    data passes in either direction any more.

    :param model: in-memory model whose faults ``POST /fault`` sets.
    :param handlers: request handlers by method and path, such as ``GET /status``.
    """

    def __init__(self, model, handlers) -> None:
        self._model = model
        self._open: set = set()
        self._silent: set = set()
        own = {"POST /fault": self._fault, "POST /silence": self._silence}
        pairs = [(name.split(), call) for name, call in {**own, **handlers}.items()]
        self._app = Starlette(routes=[Route(p, c, methods=[m]) for (m, p), c in pairs])

    async def _fault(self, request: Request) -> Response:
        old, changes = self._model.faults, json.loads(await request.body())
        new = msgspec.convert({**msgspec.to_builtins(old), **changes}, type(old))
        self._model.set_faults(new)
        return reply(msgspec.json.encode(new))

    async def _silence(self, request: Request) -> Response:
        self._silent |= self._open - {tuple(request.client)}
        return reply()

    async def __call__(self, scope, receive, send) -> None:
        if scope["type"] != "http":
            return await self._app(scope, receive, send)
        conn, lost = tuple(scope["client"]), False
        self._open.add(conn)
        if conn in self._silent:
            return await self._wait_for_disconnect(conn, receive)
        request_id = dict(scope["headers"]).get(wire.REQUEST_HEADER.encode(), b"")

        async def send_on(message) -> None:
            nonlocal lost
            if lost or conn in self._silent:
                lost = True
                return await self._wait_for_disconnect(conn, receive)
            if message["type"] == "http.response.start":
                message["headers"].append((wire.REQUEST_HEADER.encode(), request_id))
            return await send(message)

        return await self._app(scope, receive, send_on)

    async def _wait_for_disconnect(self, conn, receive) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self._open.discard(conn)
        self._silent.discard(conn)


def reply(body: bytes = b"", status: int = 200, **headers: str) -> Response:
    """Return a response with its length in a header.

    :param headers: further headers, named without the prefix ``hickoryplank-``.
    """
    named = {f"hickoryplank-{name}": value for name, value in headers.items()}
    return Response(body, status, {wire.LENGTH_HEADER: str(len(body)), **named})


def msgpack_reply(message: object, status: int = 200) -> Response:
    """Return a response with ``message`` encoded as msgpack."""
    return reply(msgspec.msgpack.encode(message), status)


async def no_answer(request: Request) -> Response:
    """Leave a request unanswered until the client disconnects."""
    while not await request.is_disconnected():
        await anyio.sleep(0.05)
    return reply(status=500)


def listen(bind: str) -> socket.socket:
    """Return a listening socket; port 0 stands for a free port."""
    host, port = bind.rsplit(":", 1)
    sock = socket.create_server((host, int(port)), backlog=BACKLOG)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def address_of(sock: socket.socket) -> str:
    """Return the ``host:port`` of a listening socket."""
    return "{}:{}".format(*sock.getsockname())


async def serve(app: App, sock: socket.socket, stop=None, **settings) -> None:
    """Serve ``app`` until ``stop`` returns.

    :param settings: further settings of hypercorn.
    """
    own = {"graceful_timeout": 0.1, "keep_alive_timeout": 60.0, "loglevel": "WARNING"}
    cfg = Config.from_mapping({**own, "backlog": BACKLOG, **settings})
    cfg.bind = [f"fd://{sock.fileno()}"]
    await hypercorn_serve(app, cfg, shutdown_trigger=stop)


def parser(description: str) -> ArgumentParser:
    """Return a parser with the options that all fakes have."""
    options = ArgumentParser(description=description)
    options.add_argument("--bind", default="127.0.0.1:0")
    return options


def run(app: App, bind: str) -> None:
    """Serve ``app``, and print the address to standard output as a line of JSON."""
    sock = listen(bind)
    print(json.dumps({"address": address_of(sock)}), flush=True)
    anyio.run(serve, app, sock)
