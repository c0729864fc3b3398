"""Tests of the conversion of requests to calls and of answers to responses."""

import json

import httpx
import pytest

from hickoryplank.coordinator.calls import (
    Accepted,
    Ask,
    Cancel,
    Cancelled,
    Count,
    NoKey,
    NoSuchJob,
    NoSuchQueue,
    NotRun,
    NotRunReason,
    PendingIs,
    StateIs,
    Submit,
    Unsettled,
)
from hickoryplank.coordinator.metrics import EntryMetrics
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.sizes import Size
from hickoryplank.jobs.table import JobState
from hickoryplank.platform.ingress import Ingress
from tests.coordinator.memory_platform import MemoryStore
from tests.standins.fake_platform import FakePlatform

pytestmark = pytest.mark.anyio
ID = "5c0e7a21d94b36f8"
JOB = {
    "spec": "text",
    "job_stages": [
        {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900},
        {"count": 2, "cpu": 2000, "after": [0], "perpetual": True, "may_miss": 1},
    ],
}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def entry_metrics() -> EntryMetrics:
    return EntryMetrics()


async def exchange(answer, method: str, path: str, **kwargs):
    """Send a request; return the decoded call, its timeout, and the response."""
    received = []

    async def handle_call(call, within_s):
        received.append((call, within_s))
        return answer

    ingress = Ingress(handle_call, lambda: 7, entry_metrics())
    platform = FakePlatform(MemoryStore())
    address = await platform.serve(ingress.handle)
    async with httpx.AsyncClient() as client:
        resp = await client.request(method, f"http://{address}{path}", **kwargs)
    await platform.close()
    call, within_s = received[0] if received else (None, None)
    return call, within_s, resp


async def test_all_parts_of_a_job_are_decoded():
    call, within_s, resp = await exchange(
        Accepted(),
        "POST",
        f"/puxa400/{ID}",
        content=json.dumps(JOB),
        headers={
            "Host": "pule25.example",
            "Authorization": "Bearer k1",
            "Hickoryplank-Deadline-Ms": "2500",
        },
    )
    assert isinstance(call, Submit)
    assert (call.where.host, call.where.key, call.where.version) == (
        "pule25.example",
        "k1",
        7,
    )
    assert (call.id, call.where.path) == (ID, f"/puxa400/{ID}")
    assert call.submission.steps == (
        Step(4, Size(500, 256, 0), 900),
        Step(2, Size(2000, 0, 0), after=(0,), lasting=True, may_miss=1),
    )
    assert within_s == 2.5
    assert resp.status_code == 200


@pytest.mark.parametrize(
    ("method", "path", "kind"),
    [
        ("GET", f"/p/{ID}", Ask),
        ("DELETE", f"/p/{ID}", Cancel),
        ("GET", "/p/", Count),
        ("GET", f"/p/{ID}0", Ask),
    ],
)
async def test_requests_become_calls(method, path, kind):
    call, _, _ = await exchange(NoSuchJob(), method, path)
    assert isinstance(call, kind)


@pytest.mark.parametrize(
    ("answer", "status", "body"),
    [
        (Accepted(), 200, {}),
        (Cancelled(), 200, {}),
        (StateIs(JobState.RUNNING), 200, {"state": "running"}),
        (PendingIs(12), 200, {"pending": 12}),
        (NoSuchJob(), 410, {}),
        (NoSuchQueue(), 404, {}),
        (NoKey(), 401, {}),
        (Unsettled(), 504, {}),
    ],
)
async def test_answers_become_responses(answer, status, body):
    _, _, resp = await exchange(answer, "GET", f"/p/{ID}")
    assert (resp.status_code, resp.json()) == (status, body)
    assert "Retry-After" not in resp.headers


async def test_rejection_tells_when_to_retry():
    _, _, resp = await exchange(
        NotRun(NotRunReason.NO_COORDINATOR, 2), "GET", f"/p/{ID}"
    )
    assert resp.status_code == 503
    assert resp.headers["Retry-After"] == "2"


@pytest.mark.parametrize("body", ["", "[]", "{}", '{"job_stages":[{"cpu":1}]}'])
async def test_malformed_jobs_are_rejected(body):
    call, _, resp = await exchange(Accepted(), "POST", f"/p/{ID}", content=body)
    assert call is None
    assert resp.status_code == 400
    assert resp.json()["error"]


async def test_closing_entry_closes_its_connections():
    ingress = Ingress(lambda call, within_s: _answer(), lambda: 0, entry_metrics())
    ingress.closing = True
    platform = FakePlatform(MemoryStore())
    address = await platform.serve(ingress.handle)
    async with httpx.AsyncClient() as client:
        resp = await client.get(f"http://{address}/p/")
    assert resp.headers["Connection"] == "close"
    assert ingress.open_requests == 0
    await platform.close()


async def _answer() -> PendingIs:
    return PendingIs(0)


def job_text(odd: str, field: str) -> str:
    """Return the text of a job in which a field has an odd value."""
    if field in ("repeats", "first_ms", "period_ms", "unknown"):
        return json.dumps({**JOB, field: "ODD"}).replace('"ODD"', odd)
    step = {**JOB["job_stages"][0], field: "ODD"}
    return json.dumps({"job_stages": [step]}).replace('"ODD"', odd)


# Guards against jobs that end the term of the coordinator, as their record can't be
# encoded, or the entry's handling of the request.
@pytest.mark.parametrize(
    ("field", "odd"),
    [
        ("cpu", "9" * 30),
        ("cpu", "-1"),
        ("count", "9" * 400),
        ("estimate_ms", "9" * 5000),
        ("target_ms", "1e999"),
        ("after", "[" + "9" * 30 + "]"),
        ("repeats", "9" * 30),
        ("repeats", "-1"),
        ("first_ms", "9" * 30),
        ("first_ms", "-" + "9" * 30),
        ("period_ms", "-1"),
        ("unknown", "[" * 50_000 + "]" * 50_000),
    ],
)
async def test_jobs_with_odd_values_are_refused_with_a_reason(field, odd):
    text = job_text(odd, field)
    call, _, resp = await exchange(Accepted(), "POST", f"/p/{ID}", content=text)
    assert call is None
    assert resp.status_code == 400
    assert resp.json()["error"]
