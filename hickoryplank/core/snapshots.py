"""Snapshots of the tables: when one is due, its chunks, and which to load.

A snapshot is a run of chunks in a stream of their own. Each chunk names the
snapshot that it belongs to and its place in it, so chunks of several writers
may lie mixed, and a snapshot that is cut short or damaged is passed over.
"""

import hashlib
from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

from hickoryplank.core.ids import Incarnation
from hickoryplank.core.tables import Tables, decode_tables, encode_tables

__all__ = [
    "CHUNK_BYTES",
    "SNAPSHOT_ENTRIES",
    "SNAPSHOT_SECONDS",
    "Chunk",
    "SnapshotRejection",
    "SnapshotId",
    "decode_chunk",
    "encode_chunk",
    "find_divergence",
    "is_due",
    "load",
    "load_newest",
    "split_into_chunks",
]

CHUNK_BYTES = 64 * 1024
SNAPSHOT_ENTRIES = 4096
SNAPSHOT_SECONDS = 300.0


class SnapshotId(msgspec.Struct, frozen=True):
    """What identifies a snapshot.

    :param next_offset: the log offset that follows what the snapshot holds.
    :param digest: SHA-256 of the whole, in hexadecimal.
    :param writer: the incarnation that wrote it.
    """

    next_offset: int
    digest: str
    writer: Incarnation


class Chunk(msgspec.Struct, frozen=True):
    """One part of a snapshot.

    :param index: the place of the part, from 0.
    :param count: how many parts there are.
    """

    snapshot: SnapshotId
    index: int
    count: int
    data: bytes


class SnapshotRejection(msgspec.Struct, frozen=True):
    """Why a snapshot is not loaded."""

    detail: str


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Chunk)


def is_due(
    tables: Tables, last_offset: int, last_at: float, now: float, turn: int
) -> bool:
    """Return whether a node is to write a snapshot now.

    The members take turns: the first writes when a snapshot is due, each next
    one an interval later, and so only if those before it have not.

    :param last_offset: the offset of the newest snapshot that the node has seen.
    :param last_at: when the node saw it, by its own clock in seconds.
    :param turn: the node's place among the live members, from 0.
    """
    entries = tables.next_offset - last_offset
    if entries <= 0:
        return False
    if entries >= SNAPSHOT_ENTRIES * (turn + 1):
        return True
    return now - last_at >= SNAPSHOT_SECONDS * (turn + 1)


def split_into_chunks(tables: Tables, writer: Incarnation) -> list[Chunk]:
    """Return the chunks of a snapshot of ``tables``."""
    data = encode_tables(tables)
    digest = hashlib.sha256(data).hexdigest()
    snapshot = SnapshotId(tables.next_offset, digest, writer)
    parts = [data[at : at + CHUNK_BYTES] for at in range(0, len(data), CHUNK_BYTES)]
    return [
        Chunk(snapshot, index, len(parts), part) for index, part in enumerate(parts)
    ]


def encode_chunk(chunk: Chunk) -> bytes:
    """Return the payload of the append that carries ``chunk``."""
    return _ENCODER.encode(chunk)


def decode_chunk(data: bytes) -> Result[Chunk, SnapshotRejection]:
    """Return the chunk of one append, if it is one."""
    try:
        return Ok(_DECODER.decode(data))
    except msgspec.MsgspecError as exc:
        return Err(SnapshotRejection(f"damaged chunk: {exc}"))


def load_newest(
    chunks: Iterable[Chunk], floor: int = 0
) -> Result[Tables, SnapshotRejection]:
    """Return the newest snapshot that is whole and undamaged.

    :param floor: the offset that the node has reached already; a snapshot from
        before it is never loaded.
    """
    groups: dict[SnapshotId, dict[int, Chunk]] = {}
    for chunk in chunks:
        groups.setdefault(chunk.snapshot, {})[chunk.index] = chunk
    ids = sorted(groups, key=lambda snapshot: -snapshot.next_offset)
    details = []
    for snapshot in ids:
        loaded = load(snapshot, groups[snapshot], floor)
        if loaded.is_ok():
            return loaded
        details.append(loaded.unwrap_err().detail)
    return Err(SnapshotRejection("; ".join(details) or "there is no snapshot"))


def load(
    snapshot: SnapshotId, parts: dict[int, Chunk], floor: int
) -> Result[Tables, SnapshotRejection]:
    """Return the tables of one snapshot from its chunks by index."""
    name = f"snapshot at {snapshot.next_offset} by {snapshot.writer}"
    if snapshot.next_offset < floor:
        return Err(SnapshotRejection(f"{name} is older than offset {floor}"))
    count = next(iter(parts.values())).count if parts else 0
    if not count or sorted(parts) != list(range(count)):
        return Err(SnapshotRejection(f"{name} is not whole"))
    data = b"".join(parts[index].data for index in range(count))
    if hashlib.sha256(data).hexdigest() != snapshot.digest:
        return Err(SnapshotRejection(f"{name} is damaged"))
    try:
        tables = decode_tables(data)
    except msgspec.MsgspecError as exc:
        return Err(SnapshotRejection(f"{name} cannot be decoded: {exc}"))
    if tables.next_offset != snapshot.next_offset:
        return Err(SnapshotRejection(f"{name} holds offset {tables.next_offset}"))
    return Ok(tables)


def find_divergence(tables: Tables, snapshot: SnapshotId) -> SnapshotRejection | None:
    """Return what is wrong if a node's own fold differs from a snapshot.

    A node compares only at the offset at which the snapshot was taken.
    """
    if tables.next_offset != snapshot.next_offset:
        return None
    own = tables.digest()
    if own == snapshot.digest:
        return None
    return SnapshotRejection(
        f"snapshot at {snapshot.next_offset} by {snapshot.writer} has digest"
        f" {snapshot.digest}, and this node folded {own}"
    )
