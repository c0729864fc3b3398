"""Tests that an entry that is stopped answers its calls and exits in time."""

import asyncio
import json
import signal
import socket
import time

import aiohttp
import pytest

from tests.soak.deployment import (
    GRACE_SECONDS,
    HOST,
    KEPT_KEY,
    Deployment,
    Entry,
)

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


#: Timeout of callers that wait for longer than an entry takes to stop, in milliseconds.
PATIENT_CALLER_MS = 9000
JOB = json.dumps({"job_stages": [{"count": 1, "cpu": 100}]}).encode()


async def _submit(session: aiohttp.ClientSession, entry: Entry) -> tuple[int, str]:
    """Submit a job and return the status and Retry-After of the response."""
    url = f"http://{entry.callers}/norte/00000000000000aa"
    async with session.post(url, data=JOB) as resp:
        await resp.read()
        return resp.status, resp.headers.get("Retry-After", "")


async def _stop_all_entries(root, sent_after_s: float) -> list:
    """Stop all entries at once, and return the outcome of a submission to each.

    :param sent_after_s: when the submission is sent after SIGTERM, in seconds. It uses
        a connection that was open before.
    """
    deployment = Deployment(root, seed=1, code=".")
    headers = {
        "Host": HOST,
        "Authorization": f"Bearer {KEPT_KEY}",
        "Hickoryplank-Deadline-Ms": str(PATIENT_CALLER_MS),
    }
    try:
        await deployment.start()
        await deployment.wait_until_coordinated()
        async with aiohttp.ClientSession(headers=headers) as session:
            for entry in deployment.entries:
                async with session.get(f"http://{entry.callers}/norte/") as resp:
                    await resp.read()
            for entry in deployment.entries:
                entry.signal(signal.SIGTERM)
            await asyncio.sleep(sent_after_s)
            outcomes = await asyncio.gather(
                *(_submit(session, entry) for entry in deployment.entries),
                return_exceptions=True,
            )
        stopped = [await entry.stop() for entry in deployment.entries]
        assert stopped == [True] * len(stopped)
        return outcomes
    finally:
        await deployment.close()


@pytest.mark.parametrize("sent_after_s", [0.5, 2.0])
def test_submissions_are_answered_when_all_entries_are_stopped_at_once(
    tmp_path, sent_after_s
):
    """Guards against calls that are cut as no coordinator is left to take them."""
    outcomes = asyncio.run(_stop_all_entries(tmp_path, sent_after_s))
    assert outcomes == [(504, "1")] * len(outcomes)
