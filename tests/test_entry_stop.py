"""Tests that an entry exits within its grace period after SIGTERM."""

import asyncio
import signal
import socket
import time

from tests.soak.deployment import GRACE_SECONDS, Deployment

#: Request whose body is never sent.
INCOMPLETE_REQUEST = (
    b"POST /norte/00000000000000aa HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"
)


async def _stop_with_a_silent_store(root) -> float:
    deployment = Deployment(root, seed=1, code=".")
    try:
        await deployment.start()
        await deployment.wait_until_coordinated()
        entry = deployment.lease_holder()
        host, port = entry.callers.split(":")
        with socket.create_connection((host, int(port))) as conn:
            conn.sendall(INCOMPLETE_REQUEST)
            await asyncio.sleep(0.3)
            entry.store_proxy.freeze()
            started_at = time.monotonic()
            entry.signal(signal.SIGTERM)
            while entry.process.poll() is None:
                assert time.monotonic() - started_at < 2 * GRACE_SECONDS
                await asyncio.sleep(0.02)
            assert entry.process.returncode == 0
            return time.monotonic() - started_at
    finally:
        await deployment.close()


def test_open_calls_and_a_silent_store_do_not_exceed_the_grace_period(tmp_path):
    assert asyncio.run(_stop_with_a_silent_store(tmp_path)) < GRACE_SECONDS
