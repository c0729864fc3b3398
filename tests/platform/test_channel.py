"""Channels: only whole answers are handed on, over verified and bounded connections."""

import math
import ssl
import subprocess

import anyio
import pytest
from starlette.applications import Starlette
from starlette.routing import Route

from hickoryplank.platform import wire
from hickoryplank.platform.channel import (
    CallError,
    Channel,
    ChannelOptions,
    TlsOptions,
)
from hickoryplank.platform.errors import StartFailure, StartLost
from hickoryplank.platform.worker import Start
from hickoryplank.platform.worker_http import HttpWorker
from tests.platform.conftest import OPTIONS, served
from tests.standins import service

pytestmark = pytest.mark.anyio

ECHO = b"hickoryplank-request: %(request)s\r\n"
WHOLE = b"hickoryplank-length: 4\r\ncontent-length: 4\r\n"
OK = b"HTTP/1.1 200 OK\r\n"


async def get(channel):
    return await channel.call("GET", "/")


async def start(channel):
    asked = Start(task="t", attempt=2, boot="", start_by=math.inf, lease=9.0)
    return await HttpWorker(channel).start(asked)


async def answered(raw: bytes, options=OPTIONS, call=get):
    """Return what a call gives to which a TCP server answers ``raw``."""

    async def handle(stream):
        async with stream:
            head = await stream.receive()
            names = dict(line.split(b": ") for line in head.split(b"\r\n")[1:] if line)
            await stream.send(raw.replace(b"%(request)s", names[wire.REQUEST.encode()]))

    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, handle)
            channel = Channel(f"127.0.0.1:{port}", options)
            called = await call(channel)
            await channel.aclose()
            group.cancel_scope.cancel()
    return called


async def test_whole_answer_is_handed_on():
    called = await answered(OK + ECHO + WHOLE + b"\r\nbody")
    assert called.unwrap().body == b"body"


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"garbage\r\n\r\n",
        OK + WHOLE + b"\r\nbody",
        OK + ECHO.replace(b"%", b"0") + WHOLE + b"\r\nbody",
        OK + ECHO + WHOLE + b"\r\nbod",
        OK + ECHO + b"content-length: 4\r\n\r\nbody",
        OK + ECHO + WHOLE.replace(b"length: 4\r\nc", b"length: 5\r\nc") + b"\r\nbody",
        OK + ECHO + b"hickoryplank-length: 4\r\n\r\nbod",
        OK + ECHO + WHOLE + b"content-encoding: gzip\r\n\r\nbody",
        OK + ECHO + b"hickoryplank-length: 4\r\ntransfer-encoding: chunked\r\n\r\n"
        b"4\r\nbody\r\n",
    ],
)
async def test_answer_that_is_not_whole_is_lost(raw):
    assert (await answered(raw)).err().error is CallError.LOST


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ({"task": "t", "attempt": "2"}, None),
        ({"task": "u", "attempt": "2"}, StartLost),
        ({"task": "t", "attempt": "1"}, StartLost),
        ({"attempt": "2"}, StartLost),
        ({"task": "t"}, StartLost),
        ({"task": "t", "attempt": "2", "refusal": "busy"}, StartFailure),
        ({"task": "u", "attempt": "2", "refusal": "busy"}, StartLost),
        ({"task": "t", "attempt": "2", "refusal": "unheard of"}, StartLost),
    ],
)
async def test_answer_to_a_start_names_its_task_and_attempt(headers, expected):
    lines = [f"hickoryplank-{name}: {text}\r\n" for name, text in headers.items()]
    raw = OK + ECHO + WHOLE + "".join(lines).encode() + b"\r\nbody"
    outcome = await answered(raw, call=start)
    assert outcome.is_ok() if expected is None else type(outcome.err()) is expected


async def test_answer_over_the_bound_is_lost():
    options = ChannelOptions(max_answer_bytes=3)
    called = await answered(OK + ECHO + WHOLE + b"\r\nbody", options)
    assert called.err().error is CallError.LOST


async def test_pool_is_bounded_and_a_call_without_connection_is_not_sent():
    arrived = []

    async def hold(request):
        arrived.append(request)
        return await service.no_answer(request)

    app = service.Connections(Starlette(routes=[Route("/", hold)]))
    options = ChannelOptions(connect_seconds=0.2, read_seconds=0.6, max_connections=2)
    errors = []

    async def call(channel):
        errors.append((await channel.call("GET", "/")).err().error)

    async with served(app) as address:
        channel = Channel(address, options)
        async with anyio.create_task_group() as group:
            for _ in range(5):
                group.start_soon(call, channel)
        await channel.aclose()
    assert errors == [CallError.NOT_SENT] * 3 + [CallError.LOST] * 2
    assert len(arrived) == 2


def openssl(tmp_path, *args: str) -> None:
    subprocess.run(["openssl", *args], cwd=tmp_path, check=True, capture_output=True)


@pytest.fixture
def certificates(tmp_path):
    """Give a directory with an authority, a server's and a client's certificate."""
    new = ["req", "-newkey", "rsa:2048", "-nodes", "-subj"]
    openssl(tmp_path, *new, "/CN=ca", "-x509", "-keyout", "ca.key", "-out", "ca.pem")
    (tmp_path / "san").write_text("subjectAltName=IP:127.0.0.1")
    for name in ("server", "client"):
        request = ["-keyout", f"{name}.key", "-out", f"{name}.csr"]
        openssl(tmp_path, *new, f"/CN={name}", *request)
        sign = ["-CA", "ca.pem", "-CAkey", "ca.key", "-CAcreateserial"]
        openssl(
            tmp_path,
            *["x509", "-req", "-in", f"{name}.csr", "-out", f"{name}.pem"],
            *[*sign, "-extfile", "san"],
        )
    return tmp_path


async def test_tls_verifies_both_ends(certificates):
    def path(name):
        return str(certificates / name)

    async def hello(_):
        return service.reply(b"hello")

    client = {"cert_file": path("client.pem"), "key_file": path("client.key")}
    table = [
        (TlsOptions(ca_file=path("ca.pem"), **client), None),
        (TlsOptions(**client), CallError.NOT_SENT),
        (TlsOptions(ca_file=path("ca.pem")), CallError.LOST),
        (None, CallError.LOST),
    ]
    app = service.Connections(Starlette(routes=[Route("/", hello)]))
    tls = {
        "certfile": path("server.pem"),
        "keyfile": path("server.key"),
        "ca_certs": path("ca.pem"),
        "verify_mode": ssl.CERT_REQUIRED,
    }
    seen = []
    async with served(app, **tls) as address:
        for options, _ in table:
            channel = Channel(address, ChannelOptions(tls=options))
            called = await channel.call("GET", "/")
            seen.append(called.err() and called.err().error)
            await channel.aclose()
    assert seen == [expected for _, expected in table]
