"""Ownership of pools by rendezvous hashing."""

import hashlib
from collections.abc import Iterable

from hickoryplank.core.ids import Incarnation, PoolId

__all__ = ["owner"]

_DIGEST_BYTES = 8


def owner(pool: PoolId, members: Iterable[Incarnation]) -> Incarnation | None:
    """Return the member that owns ``pool``, or ``None`` if there are no members.

    When a member joins or leaves, only the pools that it gains or loses change
    their owner.
    """
    return max(members, key=lambda member: _weight(pool, member), default=None)


def _weight(pool: PoolId, member: Incarnation) -> bytes:
    text = f"{pool}/{member}".encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
