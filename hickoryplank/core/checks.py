"""Validation of a configuration, reporting every fault at once."""

import re
from collections.abc import Collection, Iterator, Mapping

from hickoryplank.core.errors import Fault, FaultCode
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
    references_of,
)

__all__ = ["Objects", "check_objects", "is_name"]

Objects = Mapping[Kind, Mapping[str, ConfigObject]]

_NAME = re.compile(r"[a-z0-9æøå][a-z0-9æøå._-]{0,62}")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_ADDRESS = re.compile(r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}")
_FULL_SHARE_PERCENT = 100.0
_MAX_UNITS = 1_000_000
_MAX_SLOTS = 10_000
_MAX_POOL_VMS = 100_000
_NAME_RULE = "lower-case letters, digits, '.', '_' and '-', 63 characters at most"


def is_name(text: str) -> bool:
    """Return whether ``text`` is a valid name of an object, zone, rack or wave."""
    return _NAME.fullmatch(text) is not None


def check_objects(
    objects: Objects, changed: Collection[Ref] | None = None
) -> list[Fault]:
    """Return every fault of a configuration, in a stable order.

    :param changed: the objects that were edited or deleted in a configuration
        that was valid before; ``None`` to check all objects.
    """
    faults = []
    for kind, name in _objects_to_check(objects, changed):
        faults.extend(_check_object(objects[kind][name], objects))
    faults.extend(_check_share_total(objects))
    return faults


def _objects_to_check(
    objects: Objects, changed: Collection[Ref] | None
) -> list[tuple[Kind, str]]:
    if changed is None:
        return [(kind, name) for kind in Kind for name in sorted(objects[kind])]
    to_check = {ref for ref in changed if ref.name in objects[ref.kind]}
    removed = {ref for ref in changed if ref.name not in objects[ref.kind]}
    if removed:
        to_check.update(_referrers(objects, removed))
    by_kind = {
        kind: sorted(r.name for r in to_check if r.kind is kind) for kind in Kind
    }
    return [(kind, name) for kind, names in by_kind.items() for name in names]


def _referrers(objects: Objects, removed: Collection[Ref]) -> Iterator[Ref]:
    """Yield the objects that require one of ``removed`` to exist."""
    for kind in Kind:
        for obj in objects[kind].values():
            if any(ref in removed for ref in _required_refs(obj)):
                yield ref_of(obj)


def _required_refs(obj: ConfigObject) -> Iterator[Ref]:
    yield from references_of(obj)
    match obj:
        case Team(name=name):
            yield Ref(Kind.SHARE, name)
            yield Ref(Kind.LIMIT, name)
        case Share(name=name) | Limit(name=name):
            yield Ref(Kind.TEAM, name)


def _check_object(obj: ConfigObject, objects: Objects) -> Iterator[Fault]:
    ref = ref_of(obj)
    if not is_name(obj.name):
        yield Fault(FaultCode.BAD_NAME, f"{ref}: a name consists of {_NAME_RULE}", ref)
    match obj:
        case Pool():
            yield from _check_pool(obj, ref)
        case Team():
            yield from _check_team(obj, ref, objects)
        case Key():
            yield from _check_key(obj, ref, objects)
        case Queue():
            yield from _check_queue(obj, ref, objects)
        case Share() | Limit():
            yield from _check_quota(obj, ref, objects)
        case Endpoint():
            yield from _check_endpoint(obj, ref, objects)


def _missing_reference(ref: Ref, key: str, kind: Kind, name: str) -> Fault:
    message = f"{ref}: {key} names {kind.value} {name!r}, which does not exist"
    return Fault(FaultCode.MISSING_REFERENCE, message, ref, key)


def _bad_value(ref: Ref, key: str, expected: str) -> Fault:
    return Fault(FaultCode.BAD_VALUE, f"{ref}: {key} must be {expected}", ref, key)


def _check_pool(pool: Pool, ref: Ref) -> Iterator[Fault]:
    if not 0 <= pool.min_available <= _MAX_POOL_VMS:
        yield _bad_value(ref, "min_available", f"between 0 and {_MAX_POOL_VMS}")


def _check_team(team: Team, ref: Ref, objects: Objects) -> Iterator[Fault]:
    for kind in (Kind.SHARE, Kind.LIMIT):
        if team.name not in objects[kind]:
            message = f"{ref}: a team needs a {kind.value} of the same name"
            yield Fault(FaultCode.MISSING_REFERENCE, message, ref, kind.value)


def _check_key(key: Key, ref: Ref, objects: Objects) -> Iterator[Fault]:
    if key.team not in objects[Kind.TEAM]:
        yield _missing_reference(ref, "team", Kind.TEAM, key.team)
    if not _DIGEST.fullmatch(key.digest):
        yield _bad_value(ref, "digest", "a SHA-256 digest in 64 hexadecimal digits")


def _check_queue(queue: Queue, ref: Ref, objects: Objects) -> Iterator[Fault]:
    if queue.pool not in objects[Kind.POOL]:
        yield _missing_reference(ref, "pool", Kind.POOL, queue.pool)
    if queue.open_team is not None and queue.open_team not in objects[Kind.TEAM]:
        yield _missing_reference(ref, "open_team", Kind.TEAM, queue.open_team)
    for team in queue.teams:
        if team not in objects[Kind.TEAM]:
            yield _missing_reference(ref, "teams", Kind.TEAM, team)


def _check_quota(quota: Share | Limit, ref: Ref, objects: Objects) -> Iterator[Fault]:
    if quota.name not in objects[Kind.TEAM]:
        yield _missing_reference(ref, "name", Kind.TEAM, quota.name)
    match quota:
        case Share(percent=percent) if not 0 <= percent <= _FULL_SHARE_PERCENT:
            yield _bad_value(ref, "percent", "between 0 and 100")
        case Limit(units=units) if not 0 <= units <= _MAX_UNITS:
            yield _bad_value(ref, "units", f"between 0 and {_MAX_UNITS}")


def _check_endpoint(endpoint: Endpoint, ref: Ref, objects: Objects) -> Iterator[Fault]:
    if endpoint.pool not in objects[Kind.POOL]:
        yield _missing_reference(ref, "pool", Kind.POOL, endpoint.pool)
    if not _ADDRESS.fullmatch(endpoint.address):
        yield _bad_value(
            ref, "address", "an IP address and a port, such as 192.0.2.7:8080"
        )
    for key in ("zone", "rack"):
        if not is_name(getattr(endpoint, key)):
            yield _bad_value(ref, key, _NAME_RULE)
    if not 1 <= endpoint.slots <= _MAX_SLOTS:
        yield _bad_value(ref, "slots", f"between 1 and {_MAX_SLOTS}")


def _check_share_total(objects: Objects) -> Iterator[Fault]:
    shares = objects[Kind.SHARE].values()
    total = sum(share.percent for share in shares if isinstance(share, Share))
    if total > _FULL_SHARE_PERCENT + 1e-9:
        yield Fault(
            FaultCode.SHARE_OVER_TOTAL,
            f"shares add up to {total:g}%; the maximum is 100%",
        )
