"""Tests of the findings in configurations that have no faults."""

import pytest
from msgspec.structs import replace

from hickoryplank.core.checks import check_objects
from hickoryplank.core.lint import (
    Finding,
    FindingKind,
    Scope,
    edited_objects,
    find_all,
    findings_of_edits,
)
from hickoryplank.core.objects import (
    Endpoint,
    Key,
    Kind,
    Limit,
    Pool,
    Queue,
    Ref,
    Share,
    Team,
    ref_of,
)
from hickoryplank.ini import parse_objects
from tests.core.builders import small_fleet

LIMIT = 40
FLEET = small_fleet(limit=LIMIT)
SPARE = Pool(name="spare", spare=True)
NEW_POOL = Pool(name="costa")
QUEUE = Ref(Kind.QUEUE, "rondas")
PAGOS = (
    Team(name="pagos"),
    Share(name="pagos", percent=5.0),
    Limit(name="pagos", units=3),
)
RUTAS_ONLY = Queue(name="rondas", pool="rondas-norte", teams=("rutas",))


def endpoint(name="vm-9", address="127.0.0.1:9100", pool="rondas-norte"):
    return Endpoint(name=name, address=address, pool=pool, zone="z", rack="r")


def key(name, digit, team="rutas"):
    return Key(name=name, team=team, digest=digit * 64)


def fleet_with(*objects, without=()):
    """Return the small fleet with ``objects`` put, and ``without`` deleted."""
    put = {ref_of(obj): obj for obj in objects}
    return edited_objects(FLEET, put | dict.fromkeys(without))


def found(objects, scope):
    assert check_objects(objects) == []
    return [(one.kind, one.ref, one.key) for one in find_all(objects, scope)]


PART_FINDINGS = [
    pytest.param(
        [key("a", "1"), key("b", "1")],
        (FindingKind.SHADOWED_KEY, Ref(Kind.KEY, "b"), "digest"),
        id="second key of one secret",
    ),
    pytest.param(
        [SPARE, Pool(name="extra", spare=True)],
        (FindingKind.SHADOWED_SPARE, Ref(Kind.POOL, "spare"), "spare"),
        id="second spare pool",
    ),
    pytest.param(
        [endpoint(address="127.0.0.1:9000")],
        (FindingKind.SHARED_ADDRESS, Ref(Kind.ENDPOINT, "vm-9"), "address"),
        id="two endpoints with one address",
    ),
    *(
        pytest.param(
            [endpoint(address=address)],
            (FindingKind.INVALID_ADDRESS, Ref(Kind.ENDPOINT, "vm-9"), "address"),
            id=f"address {address}",
        )
        for address in (
            "127.0.0.1:0",
            "127.0.0.1:65536",
            "127.0.0.256:9000",
            "[1:2]:9000",
        )
    ),
    pytest.param(
        [Queue(name="rondas", pool="rondas-norte", teams=("rutas", "rutas"))],
        (FindingKind.REPEATED_TEAM, QUEUE, "teams"),
        id="team named twice",
    ),
    pytest.param(
        [Limit(name="rutas", units=0)],
        (FindingKind.LIMIT_BELOW_ONE_RUN, Ref(Kind.LIMIT, "rutas"), "units"),
        id="limit of no units",
    ),
]
WHOLE_FINDINGS = [
    pytest.param(
        [NEW_POOL, endpoint(pool="costa")],
        [(FindingKind.POOL_WITHOUT_QUEUE, Ref(Kind.POOL, "costa"), "")],
        id="pool without queue",
    ),
    pytest.param(
        [NEW_POOL, Queue(name="costa", pool="costa")],
        [(FindingKind.QUEUE_WITHOUT_ENDPOINT, Ref(Kind.QUEUE, "costa"), "pool")],
        id="queue without endpoint",
    ),
    pytest.param(
        [Pool(name="costa", min_available=1), Queue(name="costa", pool="costa")],
        [
            (FindingKind.QUEUE_WITHOUT_ENDPOINT, Ref(Kind.QUEUE, "costa"), "pool"),
            (FindingKind.BUDGET_WITHOUT_VMS, Ref(Kind.POOL, "costa"), "min_available"),
        ],
        id="budget of a pool without VMs",
    ),
    pytest.param(
        [
            SPARE,
            Pool(name="costa", min_available=3),
            Queue(name="costa", pool="costa"),
        ],
        [(FindingKind.BUDGETS_ABOVE_FLEET, None, "min_available")],
        id="budgets above the fleet",
    ),
    pytest.param(
        [*PAGOS, RUTAS_ONLY],
        [(FindingKind.TEAM_WITHOUT_QUEUE, Ref(Kind.TEAM, "pagos"), "")],
        id="team without queue",
    ),
    pytest.param(
        [*PAGOS, replace(RUTAS_ONLY, open_team="pagos"), key("p", "1", "pagos")],
        [(FindingKind.KEY_WITHOUT_QUEUE, Ref(Kind.KEY, "p"), "team")],
        id="key of a team that only has open work",
    ),
    pytest.param(
        [Limit(name="rutas", units=28)],
        [(FindingKind.SHARE_ABOVE_LIMIT, Ref(Kind.SHARE, "rutas"), "percent")],
        id="share of 28.8 slots above a limit of 28",
    ),
]


@pytest.mark.parametrize("scope", Scope)
@pytest.mark.parametrize(("objects", "expected"), PART_FINDINGS)
def test_finding_that_any_part_shows(objects, expected, scope):
    assert found(fleet_with(*objects), scope) == [expected]


@pytest.mark.parametrize(("objects", "expected"), WHOLE_FINDINGS)
def test_finding_that_only_the_whole_shows(objects, expected):
    objects = fleet_with(*objects)
    assert found(objects, Scope.WHOLE) == expected
    assert found(objects, Scope.IN_FORCE) == expected
    assert found(objects, Scope.PART) == []


def test_queue_without_key_is_found_only_among_objects_in_force():
    objects = fleet_with(RUTAS_ONLY, without=[Ref(Kind.KEY, "rutas-1")])
    assert found(objects, Scope.WHOLE) == []
    expected = [(FindingKind.QUEUE_WITHOUT_KEY, QUEUE, "teams")]
    assert found(objects, Scope.IN_FORCE) == expected


@pytest.mark.parametrize(
    "objects",
    [
        pytest.param([], id="small fleet"),
        pytest.param([SPARE], id="spare pool without queue or VM"),
        pytest.param(
            [SPARE, Pool(name="costa", min_available=2), Queue(name="q", pool="costa")],
            id="empty pool that a spare pool fills",
        ),
        pytest.param([Limit(name="rutas", units=29)], id="share of 28.8 slots below"),
        pytest.param(
            [*PAGOS, replace(RUTAS_ONLY, open_team="pagos")], id="team of open work"
        ),
        pytest.param([endpoint(address="[2001:db8::1]:65535")], id="IPv6 address"),
        pytest.param([Share(name="rutas", percent=0.0)], id="share of nothing"),
    ],
)
def test_nothing_is_found(objects):
    assert found(fleet_with(*objects), Scope.IN_FORCE) == []


@pytest.mark.parametrize("example", ["cascoteo-sur", "andegarden"])
@pytest.mark.parametrize("scope", [Scope.PART, Scope.WHOLE])
def test_nothing_is_found_in_examples(example, scope):
    with open(f"examples/{example}.ini") as file:
        edits = parse_objects(file.read(), example).unwrap().edits
    assert found(edited_objects([edit.obj for edit in edits], {}), scope) == []


def test_finding_names_what_was_expected_and_found():
    objects = fleet_with(Limit(name="rutas", units=28), key("rutas-2", "0"))
    assert find_all(objects, Scope.WHOLE) == [
        Finding(
            FindingKind.SHADOWED_KEY,
            Ref(Kind.KEY, "rutas-2"),
            "digest",
            "a digest of its own, as one secret stands for one key",
            "the digest of key rutas-1",
        ),
        Finding(
            FindingKind.SHARE_ABOVE_LIMIT,
            Ref(Kind.SHARE, "rutas"),
            "percent",
            "at most 28 of 48 slots, the team's limit",
            "60%, which is 28.8 slots",
        ),
    ]


@pytest.mark.parametrize(
    ("edited", "expected"),
    [
        ([NEW_POOL], [Ref(Kind.POOL, "costa")]),
        ([Limit(name="rutas", units=28)], []),
        ([Limit(name="rutas", units=27)], [Ref(Kind.SHARE, "rutas")]),
        ([Share(name="rutas", percent=60.0)], [Ref(Kind.SHARE, "rutas")]),
    ],
    ids=["brought", "there before", "changed", "on an edited object"],
)
def test_findings_of_edits(edited, expected):
    before = fleet_with(Limit(name="rutas", units=28))
    objects = [obj for rows in before.values() for obj in rows.values()]
    edits = {ref_of(obj): obj for obj in edited}
    after = edited_objects(objects, edits)
    assert [one.ref for one in findings_of_edits(before, after, edits)] == expected
