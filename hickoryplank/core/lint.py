"""Findings in a configuration that is valid but can't work as it is written.

Only what follows from the objects alone is a finding. Keys may be created at any
time by a command of their own, so their absence is one only for objects in force.
"""

from collections import Counter
from collections.abc import Collection, Iterator
from enum import Enum
from ipaddress import ip_address

import msgspec

from hickoryplank.core.checks import Objects
from hickoryplank.core.ids import PoolId, TeamId
from hickoryplank.core.objects import (
    ConfigObject,
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

__all__ = [
    "Finding",
    "FindingKind",
    "Scope",
    "edited_objects",
    "find_all",
    "findings_of_edits",
]

_FULL_SHARE_PERCENT = 100.0
_MIN_RUN_UNITS = 1
_MAX_PORT = 65_535
_TOLERANCE = 1e-9


class Scope(Enum):
    """What a set of objects is known to contain.

    ``PART``: some objects of a fleet; the others are unknown.
    ``WHOLE``: all objects of a fleet, but perhaps not its keys.
    ``IN_FORCE``: all objects of a fleet, with its keys.
    """

    PART = "part"
    WHOLE = "whole"
    IN_FORCE = "in_force"


class FindingKind(Enum):
    """Machine-readable cause of a finding."""

    SHADOWED_KEY = "shadowed_key"
    SHADOWED_SPARE = "shadowed_spare"
    SHARED_ADDRESS = "shared_address"
    INVALID_ADDRESS = "invalid_address"
    REPEATED_TEAM = "repeated_team"
    POOL_WITHOUT_QUEUE = "pool_without_queue"
    QUEUE_WITHOUT_ENDPOINT = "queue_without_endpoint"
    QUEUE_WITHOUT_KEY = "queue_without_key"
    TEAM_WITHOUT_QUEUE = "team_without_queue"
    KEY_WITHOUT_QUEUE = "key_without_queue"
    LIMIT_BELOW_ONE_RUN = "limit_below_one_run"
    SHARE_ABOVE_LIMIT = "share_above_limit"
    BUDGET_WITHOUT_VMS = "budget_without_vms"
    BUDGETS_ABOVE_FLEET = "budgets_above_fleet"


class Finding(msgspec.Struct, frozen=True):
    """One entry that can never match, or one limit that contradicts another.

    :param ref: the object concerned; ``None`` for a sum over the fleet.
    :param key: the field concerned; empty for the whole object.
    :param expected: what would work.
    :param found: what the configuration has instead.
    """

    kind: FindingKind
    ref: Ref | None
    key: str
    expected: str
    found: str


class _Fleet:
    """The objects of a set by type, sorted by name."""

    def __init__(self, objects: Objects) -> None:
        self.pools = _sorted(objects, Kind.POOL, Pool)
        self.teams = _sorted(objects, Kind.TEAM, Team)
        self.keys = _sorted(objects, Kind.KEY, Key)
        self.queues = _sorted(objects, Kind.QUEUE, Queue)
        self.shares = _sorted(objects, Kind.SHARE, Share)
        self.limits = _sorted(objects, Kind.LIMIT, Limit)
        self.endpoints = _sorted(objects, Kind.ENDPOINT, Endpoint)
        self.vms = Counter(endpoint.pool for endpoint in self.endpoints)
        self.slots = sum(endpoint.slots for endpoint in self.endpoints)

    def gets_no_vm(self, pool: PoolId) -> bool:
        """Return whether ``pool`` has no VM and no planned move can give it one."""
        can_move = bool(self.endpoints) and any(one.spare for one in self.pools)
        return not self.vms[pool] and not can_move

    def admits(self, team: TeamId) -> bool:
        """Return whether a key of ``team`` may submit to any queue."""
        return any(not queue.teams or team in queue.teams for queue in self.queues)


def _sorted(objects: Objects, kind: Kind, cls: type) -> list:
    found = [obj for obj in objects[kind].values() if isinstance(obj, cls)]
    return sorted(found, key=lambda obj: obj.name)


def find_all(objects: Objects, scope: Scope) -> list[Finding]:
    """Return every finding in a configuration without faults, in a stable order."""
    fleet = _Fleet(objects)
    findings = [
        *_shadowed_keys(fleet),
        *_shadowed_spares(fleet),
        *_addresses(fleet),
        *_repeated_teams(fleet),
        *_limits_below_one_run(fleet),
    ]
    if scope is Scope.PART:
        return findings
    findings.extend(_unused_pools(fleet))
    findings.extend(_queues_without_endpoint(fleet))
    findings.extend(_callers_without_queue(fleet))
    findings.extend(_shares_above_limit(fleet))
    findings.extend(_unmet_budgets(fleet))
    if scope is Scope.IN_FORCE:
        findings.extend(_queues_without_key(fleet))
    return findings


def findings_of_edits(
    before: Objects, after: Objects, edited: Collection[Ref]
) -> list[Finding]:
    """Return the findings that edits bring, and those on the objects they edit.

    :param before: all objects in force.
    :param after: the same with the edits made.
    """
    old = find_all(before, Scope.IN_FORCE)
    return [
        finding
        for finding in find_all(after, Scope.IN_FORCE)
        if finding.ref in edited or finding not in old
    ]


def edited_objects(
    objects: Collection[ConfigObject], edited: dict[Ref, ConfigObject | None]
) -> dict[Kind, dict[str, ConfigObject]]:
    """Return ``objects`` with edits made, by kind and name.

    :param edited: the new object of each edit; ``None`` if it is deleted.
    """
    after = {ref_of(obj): obj for obj in objects} | edited
    by_kind: dict[Kind, dict[str, ConfigObject]] = {kind: {} for kind in Kind}
    for ref, obj in after.items():
        if obj is not None:
            by_kind[ref.kind][ref.name] = obj
    return by_kind


def _shadowed_keys(fleet: _Fleet) -> Iterator[Finding]:
    first: dict[str, Key] = {}
    for key in fleet.keys:
        other = first.setdefault(key.digest, key)
        if other is not key:
            yield Finding(
                FindingKind.SHADOWED_KEY,
                ref_of(key),
                "digest",
                "a digest of its own, as one secret stands for one key",
                f"the digest of key {other.name}",
            )


def _shadowed_spares(fleet: _Fleet) -> Iterator[Finding]:
    spares = [pool for pool in fleet.pools if pool.spare]
    for pool in spares[1:]:
        yield Finding(
            FindingKind.SHADOWED_SPARE,
            ref_of(pool),
            "spare",
            "one spare pool; the first by name is used",
            f"pool {spares[0].name} is spare too",
        )


def _addresses(fleet: _Fleet) -> Iterator[Finding]:
    first: dict[str, Endpoint] = {}
    for endpoint in fleet.endpoints:
        ref = ref_of(endpoint)
        other = first.setdefault(endpoint.address, endpoint)
        if not _is_reachable(endpoint.address):
            expected = f"an IP address and a port from 1 to {_MAX_PORT}"
            found = endpoint.address
            yield Finding(FindingKind.INVALID_ADDRESS, ref, "address", expected, found)
        elif other is not endpoint:
            expected = "an address of its own, as each VM counts with its slots"
            found = f"{endpoint.address}, as endpoint {other.name}"
            yield Finding(FindingKind.SHARED_ADDRESS, ref, "address", expected, found)


def _is_reachable(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ip_address(host.strip("[]"))
        return 1 <= int(port) <= _MAX_PORT
    except ValueError:
        # The text isn't an address at all, which is what the caller asks about.
        return False


def _repeated_teams(fleet: _Fleet) -> Iterator[Finding]:
    for queue in fleet.queues:
        repeated = [team for team, times in Counter(queue.teams).items() if times > 1]
        if repeated:
            yield Finding(
                FindingKind.REPEATED_TEAM,
                ref_of(queue),
                "teams",
                "each team once",
                f"{', '.join(repeated)} more than once",
            )


def _limits_below_one_run(fleet: _Fleet) -> Iterator[Finding]:
    for limit in fleet.limits:
        if limit.units < _MIN_RUN_UNITS:
            yield Finding(
                FindingKind.LIMIT_BELOW_ONE_RUN,
                ref_of(limit),
                "units",
                f"at least {_MIN_RUN_UNITS}, the least that a run takes",
                str(limit.units),
            )


def _unused_pools(fleet: _Fleet) -> Iterator[Finding]:
    used = {queue.pool for queue in fleet.queues}
    for pool in fleet.pools:
        if pool.name not in used and not pool.spare:
            yield Finding(
                FindingKind.POOL_WITHOUT_QUEUE,
                ref_of(pool),
                "",
                "a queue that it serves, or spare = true",
                f"no queue, and {fleet.vms[pool.name]} endpoints",
            )


def _queues_without_endpoint(fleet: _Fleet) -> Iterator[Finding]:
    for queue in fleet.queues:
        if fleet.gets_no_vm(queue.pool):
            yield Finding(
                FindingKind.QUEUE_WITHOUT_ENDPOINT,
                ref_of(queue),
                "pool",
                "a pool with endpoints, or a spare pool that gives it VMs",
                f"pool {queue.pool} with no endpoint",
            )


def _callers_without_queue(fleet: _Fleet) -> Iterator[Finding]:
    open_teams = {queue.open_team for queue in fleet.queues}
    for team in fleet.teams:
        if team.name not in open_teams and not fleet.admits(team.name):
            yield Finding(
                FindingKind.TEAM_WITHOUT_QUEUE,
                ref_of(team),
                "",
                "a queue to which the team may submit",
                "no queue names it, and none takes every team",
            )
    for key in fleet.keys:
        if not fleet.admits(key.team):
            yield Finding(
                FindingKind.KEY_WITHOUT_QUEUE,
                ref_of(key),
                "team",
                "a team that may submit to a queue",
                f"team {key.team}, whose keys no queue takes",
            )


def _queues_without_key(fleet: _Fleet) -> Iterator[Finding]:
    teams = {key.team for key in fleet.keys}
    for queue in fleet.queues:
        admitted = teams.intersection(queue.teams) if queue.teams else teams
        if queue.open_team is None and not admitted:
            yield Finding(
                FindingKind.QUEUE_WITHOUT_KEY,
                ref_of(queue),
                "teams",
                "a team that has a key, or open_team",
                f"no key of {', '.join(queue.teams) or 'any team'}",
            )


def _shares_above_limit(fleet: _Fleet) -> Iterator[Finding]:
    limits = {limit.name: limit.units for limit in fleet.limits}
    for share in fleet.shares:
        units = share.percent * fleet.slots / _FULL_SHARE_PERCENT
        limit = limits.get(share.name, 0)
        if _MIN_RUN_UNITS <= limit < units - _TOLERANCE:
            yield Finding(
                FindingKind.SHARE_ABOVE_LIMIT,
                ref_of(share),
                "percent",
                f"at most {limit} of {fleet.slots} slots, the team's limit",
                f"{share.percent:g}%, which is {units:g} slots",
            )


def _unmet_budgets(fleet: _Fleet) -> Iterator[Finding]:
    unmet = [
        pool
        for pool in fleet.pools
        if pool.min_available and fleet.gets_no_vm(pool.name)
    ]
    for pool in unmet:
        yield Finding(
            FindingKind.BUDGET_WITHOUT_VMS,
            ref_of(pool),
            "min_available",
            "0, as the pool has no VM and no spare pool gives it one",
            str(pool.min_available),
        )
    total = sum(pool.min_available for pool in fleet.pools)
    if total > len(fleet.endpoints) and not unmet:
        yield Finding(
            FindingKind.BUDGETS_ABOVE_FLEET,
            None,
            "min_available",
            f"at most {len(fleet.endpoints)} over all pools, the VMs of the fleet",
            str(total),
        )
