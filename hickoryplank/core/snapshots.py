"""Snapshots of the tables, written in chunks to a log stream of their own."""

import hashlib
from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

from hickoryplank.core.ids import Incarnation
from hickoryplank.core.tables import Tables, decode_tables, encode_tables

__all__ = [
    "CHUNK_BYTES",
    "SNAPSHOT_INTERVAL_ENTRIES",
    "SNAPSHOT_INTERVAL_SECONDS",
    "Chunk",
    "SnapshotRejection",
    "SnapshotId",
    "decode_chunk",
    "encode_chunk",
    "find_divergence",
    "is_due",
    "load_snapshot",
    "load_newest",
    "split_into_chunks",
]

CHUNK_BYTES = 64 * 1024
#: Log entries, and time in seconds, after which a snapshot is due.
SNAPSHOT_INTERVAL_ENTRIES = 4096
SNAPSHOT_INTERVAL_SECONDS = 300.0


class SnapshotId(msgspec.Struct, frozen=True):
    """Identity of a snapshot.

    :param next_offset: the log offset after the last entry in the snapshot.
    :param digest: SHA-256 of the encoded tables, in hexadecimal.
    :param writer: the incarnation that wrote the snapshot.
    """

    next_offset: int
    digest: str
    writer: Incarnation


class Chunk(msgspec.Struct, frozen=True):
    """One chunk of a snapshot.

    Each chunk identifies its snapshot and its position in it. Chunks of several
    writers may therefore be interleaved, and an incomplete or damaged snapshot
    can be skipped.

    :param index: position of the chunk, from 0.
    :param count: number of chunks of the snapshot.
    """

    snapshot: SnapshotId
    index: int
    count: int
    data: bytes


class SnapshotRejection(msgspec.Struct, frozen=True):
    """Reason for which a snapshot or a chunk is not used."""

    detail: str


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Chunk)


def is_due(
    tables: Tables, last_offset: int, last_at: float, now: float, turn: int
) -> bool:
    """Return whether a node should write a snapshot now.

    The live members take turns: the first writes when a snapshot is due, and
    each further member one interval later, if no earlier one has written any.

    :param last_offset: the offset of the newest snapshot that the node has seen.
    :param last_at: when the node saw that snapshot, in seconds of its own clock.
    :param now: the current time of the same clock, in seconds.
    :param turn: position of the node among the live members, from 0.
    """
    entries = tables.next_offset - last_offset
    if entries <= 0:
        return False
    if entries >= SNAPSHOT_INTERVAL_ENTRIES * (turn + 1):
        return True
    return now - last_at >= SNAPSHOT_INTERVAL_SECONDS * (turn + 1)


def split_into_chunks(tables: Tables, writer: Incarnation) -> list[Chunk]:
    """Return a snapshot of ``tables`` as chunks of at most ``CHUNK_BYTES``."""
    data = encode_tables(tables)
    digest = hashlib.sha256(data).hexdigest()
    snapshot = SnapshotId(tables.next_offset, digest, writer)
    parts = [data[at : at + CHUNK_BYTES] for at in range(0, len(data), CHUNK_BYTES)]
    return [
        Chunk(snapshot, index, len(parts), part) for index, part in enumerate(parts)
    ]


def encode_chunk(chunk: Chunk) -> bytes:
    """Return the payload of the log entry that carries ``chunk``."""
    return _ENCODER.encode(chunk)


def decode_chunk(data: bytes) -> Result[Chunk, SnapshotRejection]:
    """Return the chunk in the payload of a log entry."""
    try:
        return Ok(_DECODER.decode(data))
    except msgspec.MsgspecError as exc:
        return Err(SnapshotRejection(f"snapshot chunk cannot be decoded: {exc}"))


def load_newest(
    chunks: Iterable[Chunk], min_offset: int = 0
) -> Result[Tables, SnapshotRejection]:
    """Return the tables of the newest complete and undamaged snapshot.

    :param min_offset: the offset that the node has already reached; older snapshots
        are never loaded.
    """
    groups: dict[SnapshotId, dict[int, Chunk]] = {}
    for chunk in chunks:
        groups.setdefault(chunk.snapshot, {})[chunk.index] = chunk
    ids = sorted(groups, key=lambda snapshot: -snapshot.next_offset)
    details = []
    for snapshot in ids:
        loaded = load_snapshot(snapshot, groups[snapshot], min_offset)
        if loaded.is_ok():
            return loaded
        details.append(loaded.unwrap_err().detail)
    return Err(SnapshotRejection("; ".join(details) or "there is no snapshot"))


def load_snapshot(
    snapshot: SnapshotId, parts: dict[int, Chunk], min_offset: int
) -> Result[Tables, SnapshotRejection]:
    """Return the tables of one snapshot, given its chunks by index."""
    name = f"snapshot at {snapshot.next_offset} by {snapshot.writer}"
    if snapshot.next_offset < min_offset:
        return Err(SnapshotRejection(f"{name} is older than offset {min_offset}"))
    count = next(iter(parts.values())).count if parts else 0
    if not count or sorted(parts) != list(range(count)):
        return Err(SnapshotRejection(f"{name} is incomplete"))
    data = b"".join(parts[index].data for index in range(count))
    if hashlib.sha256(data).hexdigest() != snapshot.digest:
        return Err(SnapshotRejection(f"{name} does not match its digest"))
    try:
        tables = decode_tables(data)
    except msgspec.MsgspecError as exc:
        return Err(SnapshotRejection(f"{name} cannot be decoded: {exc}"))
    if tables.next_offset != snapshot.next_offset:
        return Err(
            SnapshotRejection(f"{name} contains tables at offset {tables.next_offset}")
        )
    return Ok(tables)


def find_divergence(tables: Tables, snapshot: SnapshotId) -> SnapshotRejection | None:
    """Return a rejection if the tables have diverged from a snapshot.

    Tables can be compared only at the offset at which the snapshot was taken; at
    any other offset the result is ``None``.
    """
    if tables.next_offset != snapshot.next_offset:
        return None
    own = tables.digest()
    if own == snapshot.digest:
        return None
    return SnapshotRejection(
        f"snapshot at {snapshot.next_offset} by {snapshot.writer} has digest"
        f" {snapshot.digest}, but this node's tables have digest {own}"
    )
