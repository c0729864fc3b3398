"""Tests that no answer of the platform makes a port raise, or claim too much."""

import json

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from hickoryplank.coordinator.ports import (
    CallFaultKind,
    Fence,
    OrderOutcome,
    StartAnswer,
    Topic,
)
from hickoryplank.core.ids import EndpointId, JobId, PoolId, VmId
from hickoryplank.http_client import HttpResponse
from hickoryplank.jobs.advice import AdviceRequest, StepKey
from hickoryplank.jobs.endpoints import Endpoint, Run
from hickoryplank.jobs.messages import PollRequest, StartOutcome
from hickoryplank.jobs.model import Step, TaskKey
from hickoryplank.jobs.records import Record
from hickoryplank.platform.advice import PlatformAdvice
from hickoryplank.platform.endpoints import PlatformEndpoints
from hickoryplank.platform.records import (
    PlatformListingDecoder,
    PlatformOperatorRecordCodec,
)
from hickoryplank.platform.store import PlatformStore
from hickoryplank.platform.vms import PlatformVms
from tests.jobs.driver import TASK, listing

E0 = EndpointId("e0")
RUN = Run(
    TaskKey(JobId("j"), 0, 0, 0), 1, Step(1, TASK), "", Endpoint(listing(E0, 1), 0.0)
)
POLL = PollRequest(E0, "a:1", 0, None, 0)
ADVICE = AdviceRequest(StepKey(JobId("j"), 0, 0), (E0,))
MAX_PAGES = 3

STATUSES = st.sampled_from([200, 400, 404, 409, 410, 412, 421, 429, 500, 502, 503, 507])
#: Names of the fields of all answers, with values of any type.
FIELDS = st.sampled_from(
    ["offset", "end_offset", "reason", "items", "has_more", "key", "value"]
    + ["machines", "machine", "pool", "state", "next_token", "clock_ms", "running"]
    + ["ended", "born", "allowed", "valid_ms", "service", "address"]
)
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from(["", "j.0.0.0", "x", "done", "fenced", "up", "1e999"]),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(FIELDS, inner, max_size=4)
    ),
    max_leaves=12,
)
JSON = st.dictionaries(FIELDS, VALUES, max_size=6).map(
    lambda one: json.dumps(one).encode()
)
#: Bodies on which parsers fail in ways of their own.
ODD_BODIES = [
    template.replace("ODD", odd).encode()
    for odd in ("[" * 50_000, '{"a":' * 50_000, "9" * 30, "9" * 400, "9" * 5000)
    for template in (
        "ODD",
        '{"x":ODD}',
        '{"offset":ODD}',
        '{"clock_ms":ODD,"running":[],"ended":[]}',
        '{"clock_ms":5,"running":[["j.0.0.0",1,"",5,ODD]],"ended":[]}',
        '{"clock_ms":5,"running":[],"ended":[[ODD,"j.0.0.0",1,"done"]]}',
        '{"allowed":[],"valid_ms":ODD}',
        '{"items":[],"has_more":false,"end_offset":ODD}',
        '{"machines":[{"machine":"m","pool":"p","state":"up","capacity":{"cpu":ODD}}]}',
    )
]
BODIES = st.binary(max_size=60) | JSON | st.sampled_from(ODD_BODIES)


class FakeClient:
    """Gives the same response to every call; after some calls, no response.

    The bound ends a port that follows pages for ever.
    """

    def __init__(self, status: int, body: bytes):
        self._response = HttpResponse(status, body)
        self._calls = 0

    async def call(self, method, address, path, **kwargs):
        self._calls += 1
        assert self._calls <= MAX_PAGES, "pages are followed although nothing is new"
        return Ok(self._response)


def _append(client):
    return PlatformStore(client, "a:1").append(Topic.JOBS, [], Fence(1, 0))


def _order(client):
    return PlatformVms(client, "a:1", "entry").move(
        VmId("m"), PoolId("p"), 1, lambda: True
    )


CALLS = {
    "append": _append,
    "read": lambda client: PlatformStore(client, "a:1").read(Topic.JOBS, 0, 0),
    "newest": lambda client: PlatformStore(client, "a:1").newest(Topic.JOBS),
    "vm list": lambda client: PlatformVms(client, "a:1", "entry").list(),
    "vm order": _order,
    "start": lambda client: PlatformEndpoints(client).start(RUN, "", 1),
    "stop": lambda client: PlatformEndpoints(client).stop(RUN, 1),
    "poll": lambda client: PlatformEndpoints(client).poll(POLL, 1),
    "advice": lambda client: PlatformAdvice(client, "a:1").ask(ADVICE, 1.0),
}
#: Statuses by which the platform says that a call had no effect, by kind of call.
WITHOUT_EFFECT = {
    "append": {429, 503},
    "vm order": {400, 409, 429, 503},
    "start": {400, 409, 421, 429, 503},
    "stop": {400, 429, 503},
}


@pytest.mark.parametrize("call", CALLS)
@settings(max_examples=150, deadline=None)
@given(status=STATUSES, body=BODIES)
def test_any_answer_gives_a_result(call, status, body):
    result = anyio.run(CALLS[call], FakeClient(status, body))
    if call in WITHOUT_EFFECT and _claims_no_effect(result):
        assert status in WITHOUT_EFFECT[call]


def _claims_no_effect(result) -> bool:
    match result:
        case OrderOutcome():
            return (
                result is not OrderOutcome.DONE and result is not OrderOutcome.UNKNOWN
            )
        case StartAnswer(outcome):
            settled = StartOutcome.STARTED, StartOutcome.UNKNOWN
            return outcome not in (*settled, StartOutcome.ALREADY_ENDED)
        case Err(fault):
            return fault.kind is CallFaultKind.NOT_DONE
    return False


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("status", [200, 409])
def test_odd_bodies_give_a_result(call, status):
    for body in ODD_BODIES:
        anyio.run(CALLS[call], FakeClient(status, body))


@pytest.mark.parametrize(
    ("call", "body"),
    [
        ("poll", '{"clock_ms":ODD,"running":[],"ended":[]}'),
        ("poll", '{"clock_ms":5,"running":[],"ended":[[ODD,"j.0.0.0",1,"done"]]}'),
        ("advice", '{"allowed":[],"valid_ms":ODD}'),
        ("newest", '{"items":[],"has_more":false,"end_offset":ODD}'),
        ("append", '{"offset":ODD}'),
    ],
)
@pytest.mark.parametrize("number", ["9" * 30, "9" * 400, "-" + "9" * 30])
def test_numbers_that_records_and_floats_cannot_hold_are_refused(call, body, number):
    client = FakeClient(200, body.replace("ODD", number).encode())
    assert isinstance(anyio.run(CALLS[call], client), Err)


@settings(max_examples=300, deadline=None)
@given(
    key=st.sampled_from(["config", "wave/1", "e0"]),
    value=BODIES,
)
def test_any_record_is_decoded_or_ignored(key, value):
    record = Record(key, value)
    PlatformListingDecoder().decode(record)
    PlatformOperatorRecordCodec().decode(record)


@pytest.mark.parametrize(
    ("body", "kind"),
    [
        (b"", CallFaultKind.UNKNOWN),
        (b"[]", CallFaultKind.UNKNOWN),
        (b'{"offset":"x"}', CallFaultKind.UNKNOWN),
    ],
)
def test_append_with_a_malformed_answer_may_have_taken_effect(body, kind):
    result = anyio.run(_append, FakeClient(200, body))
    assert result.unwrap_err().kind is kind


@pytest.mark.parametrize(
    "body",
    [
        b"\0" * 16 + b"\0\0\0\x09\x01a",
        b"\0" * 16 + b"\0\0\0\x02\x05a",
        b"\0" * 16 + b"\0\0\0\0",
        b"\0" * 16 + b"\0\0",
        b"\0" * 7,
    ],
    ids=["short record", "short key", "no key", "short length", "short header"],
)
def test_a_truncated_page_is_refused_whole(body):
    result = anyio.run(CALLS["read"], FakeClient(200, body))
    assert result.unwrap_err().kind is CallFaultKind.INVALID_ANSWER


@pytest.mark.parametrize(
    "body",
    [
        b'{"items":[],"has_more":true,"end_offset":1}',
        b'{"items":[{"key":"a","value":"?","offset":1}],"has_more":false,"end_offset":1}',
        b'{"items":[{"key":"a","value":"","offset":1}],"has_more":true,"end_offset":1}',
    ],
    ids=["no items", "not base64", "repeated page"],
)
def test_newest_records_that_are_not_whole_are_refused(body):
    result = anyio.run(CALLS["newest"], FakeClient(200, body))
    assert result.unwrap_err().kind is CallFaultKind.INVALID_ANSWER


@pytest.mark.parametrize("foreign", ["x", "a.b", "j.0.0.x", "j.0.0.0.0", ""])
def test_a_task_of_another_kind_hides_no_other_task(foreign):
    running = [["j.0.0.0", 1, ""], [foreign, 1, ""]]
    ended = [[1, foreign, 1, "done"], [2, "j.0.0.1", 1, "done"]]
    body = json.dumps({"clock_ms": 5, "running": running, "ended": ended}).encode()
    report = anyio.run(CALLS["poll"], FakeClient(200, body)).unwrap()
    assert [one.key for one in report.running] == [TaskKey(JobId("j"), 0, 0, 0)]
    assert [one.number for one in report.ends] == [2]
