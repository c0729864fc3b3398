"""Tests of channels: complete responses, connection limits and TLS."""

import math
import ssl
import subprocess

import anyio
import pytest

from hickoryplank.external import wire
from hickoryplank.external.channel import (
    CallError,
    Channel,
    ChannelOptions,
    TlsOptions,
)
from hickoryplank.external.errors import StartNotRun, StartOutcomeUnknown
from hickoryplank.external.worker import StartRequest
from hickoryplank.external.worker_http import HttpWorker
from tests.external.conftest import OPTIONS, serve_app
from tests.standins import service

pytestmark = pytest.mark.anyio

REQUEST_ID_LINE = b"hickoryplank-request: %(request)s\r\n"
LENGTH_LINES = b"hickoryplank-length: 4\r\ncontent-length: 4\r\n"
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


async def get(channel):
    return await channel.call("GET", "/")


async def start(channel):
    start_request = StartRequest(
        task="t", attempt=2, boot="", start_by=math.inf, lease=9.0
    )
    return await HttpWorker(channel, channel).start(start_request)


async def call_with_response(raw: bytes, options=OPTIONS, call=get):
    """Return the result of a call to a TCP server that responds with ``raw``."""

    async def handle(stream):
        async with stream:
            head = await stream.receive()
            request_headers = dict(
                line.split(b": ") for line in head.split(b"\r\n")[1:] if line
            )
            await stream.send(
                raw.replace(
                    b"%(request)s", request_headers[wire.REQUEST_HEADER.encode()]
                )
            )

    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, handle)
            channel = Channel(f"127.0.0.1:{port}", options)
            called = await call(channel)
            await channel.aclose()
            group.cancel_scope.cancel()
    return called


async def test_complete_response_is_returned():
    called = await call_with_response(
        STATUS_LINE + REQUEST_ID_LINE + LENGTH_LINES + b"\r\nbody"
    )
    assert called.unwrap().body == b"body"


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"garbage\r\n\r\n",
        STATUS_LINE + LENGTH_LINES + b"\r\nbody",
        STATUS_LINE + REQUEST_ID_LINE.replace(b"%", b"0") + LENGTH_LINES + b"\r\nbody",
        STATUS_LINE + REQUEST_ID_LINE + LENGTH_LINES + b"\r\nbod",
        STATUS_LINE + REQUEST_ID_LINE + b"content-length: 4\r\n\r\nbody",
        STATUS_LINE
        + REQUEST_ID_LINE
        + LENGTH_LINES.replace(b"length: 4\r\nc", b"length: 5\r\nc")
        + b"\r\nbody",
        STATUS_LINE + REQUEST_ID_LINE + b"hickoryplank-length: 4\r\n\r\nbod",
        STATUS_LINE
        + REQUEST_ID_LINE
        + LENGTH_LINES
        + b"content-encoding: gzip\r\n\r\nbody",
        STATUS_LINE
        + REQUEST_ID_LINE
        + b"hickoryplank-length: 4\r\ntransfer-encoding: chunked\r\n\r\n"
        b"4\r\nbody\r\n",
    ],
)
async def test_incomplete_response_is_lost(raw):
    assert (await call_with_response(raw)).err().error is CallError.LOST


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ({"task": "t", "attempt": "2"}, None),
        ({"task": "u", "attempt": "2"}, StartOutcomeUnknown),
        ({"task": "t", "attempt": "1"}, StartOutcomeUnknown),
        ({"attempt": "2"}, StartOutcomeUnknown),
        ({"task": "t"}, StartOutcomeUnknown),
        ({"task": "t", "attempt": "2", "refusal": "busy"}, StartNotRun),
        ({"task": "u", "attempt": "2", "refusal": "busy"}, StartOutcomeUnknown),
        ({"task": "t", "attempt": "2", "refusal": "unheard of"}, StartOutcomeUnknown),
    ],
)
async def test_answer_to_a_start_names_its_task_and_attempt(headers, expected):
    lines = [f"hickoryplank-{name}: {text}\r\n" for name, text in headers.items()]
    raw = (
        STATUS_LINE
        + REQUEST_ID_LINE
        + LENGTH_LINES
        + "".join(lines).encode()
        + b"\r\nbody"
    )
    outcome = await call_with_response(raw, call=start)
    assert outcome.is_ok() if expected is None else type(outcome.err()) is expected


async def test_oversized_response_is_lost():
    options = ChannelOptions(max_response_bytes=3)
    called = await call_with_response(
        STATUS_LINE + REQUEST_ID_LINE + LENGTH_LINES + b"\r\nbody", options
    )
    assert called.err().error is CallError.LOST


async def test_connections_are_limited_and_a_call_without_one_is_not_sent():
    arrived = []

    async def never_answer(request):
        arrived.append(request)
        return await service.no_answer(request)

    app = service.App(None, {"GET /": never_answer})
    options = ChannelOptions(connect_seconds=0.2, read_seconds=0.6, max_connections=2)
    errors = []

    async def call(channel):
        errors.append((await channel.call("GET", "/")).err().error)

    async with serve_app(app) as address:
        channel = Channel(address, options)
        async with anyio.create_task_group() as group:
            for _ in range(5):
                group.start_soon(call, channel)
        await channel.aclose()
    assert errors == [CallError.NOT_SENT] * 3 + [CallError.LOST] * 2
    assert len(arrived) == 2


@pytest.fixture
def certificates(tmp_path):
    """Create a CA with a server and a client certificate; map file names to paths."""
    new = "req -newkey rsa:2048 -nodes -keyout {0}.key -subj /CN={0}"
    sign = "x509 -req -in {0}.csr -out {0}.pem -CA ca.pem -CAkey ca.key -extfile san"
    commands = [f"{new} -x509 -out {{0}}.pem".format("ca")]
    for name in ("server", "client"):
        commands.append(f"{new} -out {{0}}.csr".format(name))
        commands.append(f"{sign} -CAcreateserial".format(name))
    (tmp_path / "san").write_text("subjectAltName=IP:127.0.0.1")
    for command in commands:
        openssl = ["openssl", *command.split()]
        subprocess.run(openssl, cwd=tmp_path, check=True, capture_output=True)
    return lambda name: str(tmp_path / name)


async def test_tls_verifies_client_and_server(certificates):
    async def hello(_):
        return service.reply(b"hello")

    client = {
        "cert_file": certificates("client.pem"),
        "key_file": certificates("client.key"),
    }
    cases = [
        (TlsOptions(ca_file=certificates("ca.pem"), **client), None),
        (TlsOptions(**client), CallError.NOT_SENT),
        (TlsOptions(ca_file=certificates("ca.pem")), CallError.LOST),
        (None, CallError.LOST),
    ]
    app = service.App(None, {"GET /": hello})
    tls = {
        "certfile": certificates("server.pem"),
        "keyfile": certificates("server.key"),
        "ca_certs": certificates("ca.pem"),
        "verify_mode": ssl.CERT_REQUIRED,
    }
    seen = []
    async with serve_app(app, **tls) as address:
        for options, _ in cases:
            channel = Channel(address, ChannelOptions(tls=options))
            called = await channel.call("GET", "/")
            seen.append(called.err() and called.err().error)
            await channel.aclose()
    assert seen == [expected for _, expected in cases]
