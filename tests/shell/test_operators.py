"""Tests of the operator HTTP API on a ``ReplicatedState`` in memory."""

import anyio
import httpx
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryplank.core.fold import fold
from hickoryplank.core.objects import Kind, Limit, Pool, Queue, Ref
from hickoryplank.core.records import (
    BaseRevision,
    Claim,
    Delete,
    Outcome,
    OutcomeKind,
    Put,
    VmState,
    VmStep,
)
from hickoryplank.core.tables import encode_tables
from hickoryplank.external.errors import LogError
from hickoryplank.operator_api import PREFIX, EditRequest
from hickoryplank.shell.operator_history import OperatorHistory, operator_record_id
from hickoryplank.shell.operator_views import zone_views
from tests.core.builders import join_node, new_id, small_fleet, tables_with
from tests.operator_fakes import (
    ENTRY,
    MAX_BODY_BYTES,
    TOKEN,
    FakeReplicatedState,
    operator_app,
)

pytestmark = pytest.mark.anyio
LIMIT_REF = Ref(Kind.LIMIT, "rutas")


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def replicated_state():
    return FakeReplicatedState(
        tables_with([*small_fleet(), Pool(name="spare", spare=True)])
    )


async def ask(replicated_state, method, path, content=b"", token=TOKEN, key=""):
    transport = httpx.ASGITransport(operator_app(replicated_state))
    headers = {"Authorization": f"Bearer {token}".encode(), "Idempotency-Key": key}
    async with httpx.AsyncClient(transport=transport, base_url=ENTRY) as http:
        url = f"{PREFIX}/{path}"
        return await http.request(method, url, content=content, headers=headers)


def limit_edit(units=3, revision=1):
    base = (BaseRevision(LIMIT_REF, revision),)
    return msgspec.json.encode(
        EditRequest(base, (Put(Limit(name="rutas", units=units)),))
    )


@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("GET", "status"),
        ("POST", "edits"),
        ("POST", "waves/w"),
        ("GET", "zones"),
        ("POST", "zones/talcahuano/evacuate"),
    ],
)
@pytest.mark.parametrize("token", ["", "other", TOKEN + "x", "ø"])
async def test_only_operators_are_served(replicated_state, method, path, token):
    res = await ask(replicated_state, method, path, token=token)
    assert res.status_code == 401
    assert res.headers["content-type"] == "application/problem+json"


@pytest.mark.parametrize(
    ("folds_next", "state", "waiting"),
    [(2, "in_force", []), (1, "published", ["entry-2"])],
)
async def test_edit_reports_whether_it_is_in_force(
    replicated_state, folds_next, state, waiting
):
    assert replicated_state.offset == 1
    replicated_state.confirmed = {"entry-2": folds_next}
    res = await ask(replicated_state, "POST", "edits", limit_edit())
    published = {"revision": 2, "offset": 2, "waiting_for": waiting, "state": state}
    assert res.json() == published
    assert replicated_state.tables.limit_of("rutas") == 3
    status = (await ask(replicated_state, "GET", "status")).json()
    assert status["published"] == ([published] if waiting else [])
    later = await ask(replicated_state, "GET", "published?offset=2")
    assert later.json() == published
    ahead = (await ask(replicated_state, "GET", "published?offset=9")).json()
    assert ahead["state"] == "published"


async def test_plan_shows_old_and_new_and_appends_nothing(replicated_state):
    edits = (
        Put(Limit(name="rutas", units=3)),
        Put(Pool(name="new")),
        Delete(Ref(Kind.KEY, "rutas-1")),
    )
    before = encode_tables(replicated_state.tables)
    body = msgspec.json.encode({"edits": edits})
    plan = (await ask(replicated_state, "POST", "plan", body)).json()
    limit, pool, key = plan["changes"]
    assert limit["fields"] == [{"key": "units", "old": "8", "new": "3"}]
    assert [limit["kind"], pool["kind"], key["kind"]] == ["replace", "create", "delete"]
    assert encode_tables(replicated_state.tables) == before


@pytest.mark.parametrize("path", ["edits", "plan"])
async def test_refused_set_lists_every_fault_and_changes_nothing(
    replicated_state, path
):
    edits = (Put(Queue(name="q", pool="no")), Put(Limit(name="nobody", units=-1)))
    base = tuple(BaseRevision(ref, 0) for ref in (Ref(Kind.QUEUE, "q"),))
    before = encode_tables(replicated_state.tables)
    body = msgspec.json.encode(EditRequest(base, edits))
    res = await ask(replicated_state, "POST", path, body)
    codes = [fault["code"] for fault in res.json()["faults"]]
    assert res.status_code == 409
    assert codes == ["conflict", "missing_reference", "missing_reference", "bad_value"]
    assert encode_tables(replicated_state.tables) == before


async def test_of_two_racing_operators_one_is_refused(replicated_state):
    first = await ask(replicated_state, "POST", "edits", limit_edit(units=3))
    second = await ask(replicated_state, "POST", "edits", limit_edit(units=4))
    assert (first.status_code, second.status_code) == (200, 409)
    assert "was read at revision 1 and is at 2 now" in second.json()["detail"]
    assert replicated_state.tables.limit_of("rutas") == 3


async def test_repeated_request_has_one_effect_and_one_answer(replicated_state):
    replicated_state.failure, replicated_state.lose_answer = LogError.UNKNOWN, True
    first = await ask(replicated_state, "POST", "edits", limit_edit(), key="k")
    again = await ask(replicated_state, "POST", "edits", limit_edit(), key="k")
    assert first.json() == again.json()
    assert replicated_state.tables.next_offset == 2
    replicated_state.history = OperatorHistory()
    forgotten = await ask(replicated_state, "POST", "edits", limit_edit(), key="k")
    assert (forgotten.status_code, forgotten.json()["outcome"]) == (503, "unknown")


@pytest.mark.parametrize(
    ("failure", "outcome"),
    [(LogError.UNAVAILABLE, "not_run"), (LogError.UNKNOWN, "unknown")],
)
async def test_log_failure_is_answered_with_its_outcome(
    replicated_state, failure, outcome
):
    replicated_state.failure = failure
    res = await ask(replicated_state, "POST", "edits", limit_edit())
    assert (res.status_code, res.json()["outcome"]) == (503, outcome)
    assert replicated_state.tables.limit_of("rutas") == 8


async def test_vm_is_drained_moved_and_returned_to_service(replicated_state):
    async def post(path, body=b""):
        return (await ask(replicated_state, "POST", f"vms/{path}", body)).status_code

    row = replicated_state.tables.vms["vm-0"]
    assert await post("vm-0/move", b'{"pool":"nowhere"}') == 422
    assert await post("vm-0/move", b'{"pool":"spare"}') == 200
    assert (row.state, row.target) == (VmState.LEAVING, "spare")
    assert await post("vm-0/move", b'{"pool":"spare"}') == 409
    assert await post("vm-0/undrain", b'{"revision":1}') == 409
    assert await post("vm-0/undrain") == 200
    assert (row.state, row.target) == (VmState.ACTIVE, None)
    assert [await post(f"vm-{i}/drain") for i in (0, 1, 2, 9)] == [200, 200, 422, 404]
    step = VmStep(id="s", vm="vm-0", revision=row.revision, state=VmState.DRAINED)
    fold(replicated_state.tables, step).unwrap()
    assert await post("vm-0/move", b'{"pool":"spare"}') == 200
    assert row.pool == "spare"


@pytest.mark.parametrize(
    ("path", "body", "status", "detail", "evacuated"),
    [
        ("talcahuano/evacuate", b"", 200, "", [True, True, False]),
        ("talcahuano/restore", b"{}", 200, "", [True, False, False]),
        (
            "penco/evacuate",
            b"",
            404,
            "availability zone 'penco' has no VM",
            [False] * 3,
        ),
        ("penco/restore", b"", 404, "expected one of: talcahuano", [True] * 3),
        ("talcahuano/evacuate", b'{"vm":"x"}', 400, "unknown field `vm`", [False] * 3),
    ],
)
async def test_zone_is_evacuated_and_restored_repeatedly(
    replicated_state, path, body, status, detail, evacuated
):
    """A request is sent twice, before or after one that does the opposite."""
    paths = [path, path, "talcahuano/restore"]
    if path.endswith("restore"):
        paths.insert(0, "talcahuano/evacuate")
    found = []
    for each in paths[:3]:
        res = await ask(replicated_state, "POST", f"zones/{each}", body)
        if each == path:
            assert (res.status_code, detail in res.text) == (status, True), res.text
        (view,) = (await ask(replicated_state, "GET", "zones")).json()["zones"]
        assert (view["zone"], view["vms"]) == ("talcahuano", 6)
        found.append(view["evacuated"])
    assert found == evacuated


async def test_repeated_zone_request_takes_effect_once(replicated_state):
    async def post(action, key):
        path = f"zones/talcahuano/{action}"
        return (await ask(replicated_state, "POST", path, key=key)).json()["revision"]

    first = await post("evacuate", "k")
    await post("restore", "other")
    assert await post("evacuate", "k") == first
    assert not replicated_state.tables.is_evacuated("vm-0")
    history = (await ask(replicated_state, "GET", "history")).json()["entries"]
    assert [(entry["action"], *entry["summary"]) for entry in history] == [
        ("zone", "zone talcahuano evacuated"),
        ("zone", "zone talcahuano restored"),
    ]


async def test_zones_show_the_tasks_that_the_node_runs(replicated_state):
    tasks_by_vm = {"vm-0": 2, "vm-5": 1, "gone": 4}
    answer = zone_views(replicated_state.tables, tasks_by_vm)
    (view,) = answer.zones
    assert (view.zone, view.vms, view.running) == ("talcahuano", 6, 3)


async def test_wave_allows_only_valid_transitions(replicated_state):
    async def post(action, wave="june", **more):
        body = msgspec.json.encode({"action": action, **more})
        return (await ask(replicated_state, "POST", f"waves/{wave}", body)).status_code

    assert await post("pause") == 404
    assert await post("start") == 409
    assert await post("start", pools=["rondas-norte"]) == 200
    assert await post("start", pools=["rondas-norte"]) == 409
    assert [await post(a) for a in ("pause", "pause", "resume")] == [200, 409, 200]
    assert [await post(a) for a in ("cancel", "resume")] == [200, 409]
    assert await post("start", wave="a%20b", pools=["spare"]) == 400


async def test_only_unknown_claims_are_settled(replicated_state):
    holder = join_node(replicated_state.tables, "entry-1")
    for claim in ("a/1", "b"):
        record = Claim(
            id=new_id(),
            claim=claim,
            team="rutas",
            queue="rondas",
            holder=holder,
            request="r",
            expires=9.0,
        )
        fold(replicated_state.tables, record).unwrap()
    unknown = Outcome(id="o", claim="a/1", holder=holder, kind=OutcomeKind.UNKNOWN)
    fold(replicated_state.tables, unknown).unwrap()
    listed = (await ask(replicated_state, "GET", "claims?state=unknown")).json()[
        "claims"
    ]
    assert [claim["claim"] for claim in listed] == ["a/1"]
    body = msgspec.json.encode({"kind": "done", "detail": "seen", "body": "ok"})
    paths = ("claims/a%2F1/settle", "claims/a%2F1/settle", "claims/b/settle")
    codes = [(await ask(replicated_state, "POST", p, body)).status_code for p in paths]
    assert codes == [200, 409, 409]
    assert replicated_state.tables.claims["a/1"].outcome.body == b"ok"


@pytest.mark.parametrize(
    ("path", "body", "status", "detail"),
    [
        ("edits", b"{", 400, "truncated"),
        ("edits", b"\xff", 400, "malformed"),
        ("edits", b'{"base":[]}', 400, "missing required field `edits`"),
        ("edits", b'{"base":[],"edits":[],"x":1}', 400, "unknown field `x`"),
        ("plan", b'{"edits":[{"type":"mv"}]}', 400, "Invalid value 'mv'"),
        (
            "plan",
            b'{"edits":[{"type":"put","obj":{"type":"pool","name":"p","min":3}}]}',
            400,
            "unknown field $.edits[0].obj.min",
        ),
        (
            "plan",
            b'{"edits":[{"type":"put","obj":{"type":"pool","name":"p",'
            b'"min_available":99999999999999999999}}]}',
            422,
            "min_available must be between",
        ),
        ("plan", b"[" * 60_000, 400, ""),
        ("edits", b" " * (MAX_BODY_BYTES + 1), 413, f"{MAX_BODY_BYTES} bytes"),
    ],
)
async def test_malformed_body_gives_a_clear_problem(
    replicated_state, path, body, status, detail
):
    res = await ask(replicated_state, "POST", path, body)
    assert res.status_code == status, res.text
    assert detail in res.json()["detail"]


@pytest.mark.parametrize(
    "path", ["objects?kind=pol", "claims?state=x", "published?offset=-1", "published"]
)
async def test_bad_parameter_is_refused(replicated_state, path):
    assert (await ask(replicated_state, "GET", path)).status_code == 400


def mutate(data):
    body, cuts = data
    for at, byte in cuts:
        body = body[: at % len(body)] + byte + body[at % len(body) + 1 :]
    return body


EDITS = st.tuples(
    st.sampled_from([limit_edit(), limit_edit(0, 0), b'{"action":"start","pools":[]}']),
    st.lists(st.tuples(st.integers(0, 200), st.binary(max_size=3)), max_size=3),
).map(mutate)


@given(EDITS | st.binary(max_size=40), st.sampled_from(["edits", "plan", "waves/w"]))
def test_any_body_is_answered_and_takes_effect_whole_or_not(body, path):
    replicated_state = FakeReplicatedState(tables_with(small_fleet()))
    before = encode_tables(replicated_state.tables)
    res = anyio.run(ask, replicated_state, "POST", path, body)
    assert res.status_code in (200, 400, 404, 409, 422)
    if res.status_code in (400, 404) or path == "plan":
        assert encode_tables(replicated_state.tables) == before
    if res.status_code != 200:
        assert res.json()["detail"]


def test_history_keeps_the_newest():
    replicated_state = FakeReplicatedState(tables_with(small_fleet()))
    history = OperatorHistory(max_entries=2)
    for units in range(4):
        record = VmStep(
            id=operator_record_id("olga", str(units)),
            vm="vm-0",
            revision=0,
            state=VmState.LEAVING,
        )
        history.note(record, fold(replicated_state.tables, record), units, at=0.0)
    assert [entry.offset for entry in history.entries()] == [2, 3]
