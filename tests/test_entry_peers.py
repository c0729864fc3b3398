"""Tests of the handler of calls that other entries forward."""

import time

import anyio
import pytest
from aiohttp import web

from hickoryplank.coordinator.calls import (
    Accepted,
    CallContext,
    Submission,
    Submit,
    decode_answer,
    encode,
)
from hickoryplank.core.ids import JobId
from hickoryplank.entry_peers import PeerCallHandler
from hickoryplank.http_client import HttpClient

pytestmark = pytest.mark.anyio

SUBMIT = Submit(CallContext("h", "/p/j", "key", 1), JobId("j"), Submission("", ()))


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Server:
    """The handler behind a listener on loopback; it accepts every call."""

    def __init__(self):
        self.handled = []
        self.address = ""
        self._runner = web.ServerRunner(
            web.Server(PeerCallHandler(self._accept).handle, access_log=None)
        )

    async def __aenter__(self):
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = self._runner.addresses[0][1]
        return self

    async def __aexit__(self, *exc):
        await self._runner.cleanup()

    async def _accept(self, call):
        self.handled.append(call)
        return Accepted()


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [
        ("/call", encode(SUBMIT), 200),
        ("/call", b"\xc1 not a call", 400),
        ("/call", b"", 400),
        ("/other", encode(SUBMIT), 404),
    ],
)
async def test_status_of_a_forwarded_call(path, body, status):
    client = HttpClient()
    async with Server() as server:
        answer = await client.call(
            "POST", f"127.0.0.1:{server.port}", path, body=body, timeout_s=2.0
        )
        await client.close()
    response = answer.unwrap()
    assert response.status == status
    assert server.handled == ([SUBMIT] if status == 200 else [])
    if status == 200:
        assert decode_answer(response.body) == Accepted()


@pytest.mark.parametrize("given_up", [True, False])
async def test_call_that_was_given_up_while_the_process_stood_still_is_dropped(
    given_up,
):
    body = encode(SUBMIT)
    head = f"POST /call HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    async with Server() as server:
        conn = await anyio.connect_tcp("127.0.0.1", server.port)
        await anyio.sleep(0.05)
        await conn.send(head.encode() + body)
        if given_up:
            await conn.aclose()
            time.sleep(0.1)
            await anyio.sleep(0.3)
        else:
            time.sleep(0.1)
            with anyio.fail_after(5.0):
                assert b"200 OK" in await conn.receive()
            await conn.aclose()
    assert len(server.handled) == (0 if given_up else 1)
