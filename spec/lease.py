"""Specification of the coordinator's lease: at most one entry holds a valid lease."""

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from spec.base import Mechanism

__all__ = ["LEASE", "Broken", "State", "build"]

ENTRIES = (0, 1)
MAX_TIME = 5
MAX_NUMBER = 2
MAX_RECORDS = 4
VALID = 2
TAKEOVER = 2


class Broken(Enum):
    """Faults injected into the broken variants."""

    NO_CONDITION = "a write takes effect although the record has changed"
    FROM_ANSWER = "a holder counts the lease from the answer to its renewal"
    EARLY = "the lease is taken while its holder may still rely on it"
    ASK_TAKES = "an entry that asks for the lease takes it without a release"
    ANSWERS_ON = "a holder relies on the lease until its release is answered"


class Record(NamedTuple):
    """The lease record in the store.

    :param number: number of the lease, incremented whenever the lease is taken.
    :param asked: whether an entry has asked the holder to release the lease.
    """

    number: int = 0
    holder: int | None = None
    released: bool = True
    asked: bool = False


class Write(NamedTuple):
    """A write in flight.

    :param end: number of records when the writer last read.
    :param effect: number of records after the write took effect; ``None`` before.
    """

    record: Record
    end: int
    sent_at: int
    effect: int | None = None
    refused: bool = False


class Entry(NamedTuple):
    """An entry and its knowledge of the lease.

    :param known: the last lease record that it has seen.
    :param end: number of records when it last read.
    :param quiet: whether it has stopped relying on the lease, to release it.
    """

    known: Record = Record()
    end: int = 0
    seen_at: int = 0
    renewed_at: int = -VALID
    quiet: bool = False
    write: Write | None = None


class State(NamedTuple):
    """State of the model; ``end`` is the number of records in the store."""

    time: int = 0
    record: Record = Record()
    end: int = 0
    entries: tuple[Entry, Entry] = (Entry(), Entry())


class _Model:
    """Steps and invariants of one variant.

    Two entries share the lease record in the store. A write is conditional: it
    fails if anything was written since the writer last read the record. A write may
    take effect late and its answer may be lost; the writer then reads the record. A
    holder relies on the lease for ``VALID`` steps of time after it sent its last
    renewal. Another entry takes the lease ``TAKEOVER`` steps after it last saw a
    new record, or once the lease is released. An entry may ask the holder to
    release the lease; the holder stops relying on it before it sends the release.
    """

    def __init__(self, broken: Broken | None):
        self.broken = broken

    def with_entry(self, s: State, at: int, **changes) -> State:
        entries = list(s.entries)
        entries[at] = entries[at]._replace(**changes)
        return s._replace(entries=tuple(entries))

    def holds(self, entry: Entry, at: int) -> bool:
        return entry.known.holder == at and not entry.known.released

    def valid(self, s: State, at: int) -> bool:
        entry = s.entries[at]
        fresh = s.time - entry.renewed_at < VALID
        return self.holds(entry, at) and not entry.quiet and fresh

    def free(self, s: State, at: int) -> bool:
        entry = s.entries[at]
        if entry.known.released:
            return True
        if self.broken is Broken.ASK_TAKES and entry.known.asked:
            return True
        silence = s.time - entry.seen_at
        return silence > (0 if self.broken is Broken.EARLY else TAKEOVER)

    def passes(self, s: State):
        if s.time < MAX_TIME:
            yield "time passes", s._replace(time=s.time + 1)

    def reads(self, s: State, at: int):
        entry = s.entries[at]
        if entry.write is None and entry.end < s.end:
            yield f"{at} reads", self.seen(s, at)

    def seen(self, s: State, at: int, **changes) -> State:
        return self.with_entry(
            s, at, known=s.record, end=s.end, seen_at=s.time, **changes
        )

    def sends(self, s: State, at: int):
        entry = s.entries[at]
        if entry.write is not None or s.end >= MAX_RECORDS:
            return
        known = entry.known
        if self.holds(entry, at):
            if not entry.quiet:
                yield f"{at} renews", self.sent(s, at, known)
            if known.asked:
                quiet = self.broken is not Broken.ANSWERS_ON
                released = known._replace(released=True)
                yield f"{at} releases", self.sent(s, at, released, quiet=quiet)
            return
        if self.free(s, at) and known.number < MAX_NUMBER:
            taken = Record(known.number + 1, at, released=False)
            yield f"{at} takes {taken.number}", self.sent(s, at, taken)
        if not known.released and not known.asked:
            yield f"{at} asks", self.sent(s, at, known._replace(asked=True))

    def sent(self, s: State, at: int, record: Record, **changes) -> State:
        write = Write(record, s.entries[at].end, s.time)
        return self.with_entry(s, at, write=write, **changes)

    def takes_effect(self, s: State, at: int):
        write = s.entries[at].write
        if write is None or write.effect is not None or write.refused:
            return
        if write.end != s.end and self.broken is not Broken.NO_CONDITION:
            refused = write._replace(refused=True)
            yield f"write of {at} is refused", self.with_entry(s, at, write=refused)
            return
        done = write._replace(effect=s.end + 1)
        after = s._replace(record=write.record, end=s.end + 1)
        yield f"write of {at} takes effect", self.with_entry(after, at, write=done)

    def answers(self, s: State, at: int):
        entry = s.entries[at]
        write = entry.write
        if write is None or (write.effect is None and not write.refused):
            return
        looked = self.seen(s, at, write=None)
        if write.refused:
            yield f"{at} is refused and reads", looked
            return
        mine = write.record.holder == at and not write.record.released
        since = s.time if self.broken is Broken.FROM_ANSWER else write.sent_at
        renewed = {"renewed_at": since, "quiet": False} if mine else {}
        if s.record == write.record:
            yield (
                f"{at} misses the answer and reads",
                self.seen(s, at, write=None, **renewed),
            )
        else:
            yield f"{at} misses the answer and reads", looked
        if write.record.holder == at:
            yield (
                f"{at} is answered",
                self.with_entry(
                    s,
                    at,
                    known=write.record,
                    end=write.effect,
                    seen_at=s.time,
                    write=None,
                    **renewed,
                ),
            )

    def steps(self, s: State):
        yield from self.passes(s)
        for at in ENTRIES:
            yield from self.reads(s, at)
            yield from self.sends(s, at)
            yield from self.takes_effect(s, at)
            yield from self.answers(s, at)


def build(broken: Broken | None = None) -> Protocol:
    """Return the protocol of the design, or of a broken variant."""
    model = _Model(broken)

    def one_valid(s: dict) -> bool:
        state = State(**s)
        return sum(model.valid(state, at) for at in ENTRIES) <= 1

    return Protocol(
        name="lease",
        candidate=broken is None,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(model.steps(State(*state))),
        invariants={"one_valid": one_valid},
    )


LEASE = Mechanism(
    name="lease",
    bounds="2 entries, 2 terms, 4 records, 5 steps of time, 1 write each in flight",
    build=build,
    broken={
        Broken.NO_CONDITION: "one_valid",
        Broken.FROM_ANSWER: "one_valid",
        Broken.EARLY: "one_valid",
        Broken.ASK_TAKES: "one_valid",
        Broken.ANSWERS_ON: "one_valid",
    },
)
