"""Tests of the HTTP client with what can't be sent."""

import anyio
import pytest
from result import Err

from hickoryplank.http_client import HttpClient


# Guards against errors of the HTTP library that end the task of a caller (review case
# 1).
@pytest.mark.parametrize(
    ("host", "header"),
    [
        ("a..b", "i-1"),
        ("x" * 70, "i-1"),
        ("127.0.0.1", "\x00\x7f"),
        ("127.0.0.1", "a\r\nb"),
        ("127.0.0.1", "\ufffd"),
    ],
)
def test_a_request_that_cannot_be_sent_gives_a_result(host, header):
    async def call(port):
        client = HttpClient()
        try:
            return await client.call(
                "POST", f"{host}:{port}", "/x", timeout_s=1.0, headers={"X-Id": header}
            )
        finally:
            await client.close()

    async def serve_and_call():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, lambda stream: stream.aclose())
            result = await call(port)
            tasks.cancel_scope.cancel()
            return result

    assert isinstance(anyio.run(serve_and_call), Err)
