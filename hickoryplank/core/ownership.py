"""Rendezvous hashing: which node owns a pool, without any agreement."""

import hashlib
from collections.abc import Iterable

from hickoryplank.core.ids import NodeId, PoolId

__all__ = ["owner", "owners"]

_DIGEST_BYTES = 8


def owner(pool: PoolId, members: Iterable[NodeId]) -> NodeId | None:
    """Return the owner of ``pool`` among the nodes believed alive.

    When a node leaves, only its own pools change owner.
    """
    return max(members, key=lambda node: _weight(pool, node), default=None)


def owners(
    pools: Iterable[PoolId], members: Iterable[NodeId]
) -> dict[PoolId, NodeId | None]:
    """Return the owner of each pool; needed only when the members change."""
    known = tuple(members)
    return {pool: owner(pool, known) for pool in pools}


def _weight(pool: PoolId, node: NodeId) -> tuple[bytes, NodeId]:
    key = f"{len(pool)}:{pool}{node}".encode()
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest(), node
