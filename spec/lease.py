"""Specification of the coordinator's lease: at most one entry holds a valid lease."""

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from spec.base import Mechanism

__all__ = ["LEASE", "Defect", "State", "build"]

ENTRIES = (0, 1)
MAX_TIME = 5
MAX_LEASE_NUMBER = 2
MAX_RECORDS = 4
VALID_STEPS = 2
TAKEOVER_STEPS = 2


class Defect(Enum):
    """Faults injected into the broken variants."""

    NO_CONDITION = "a write takes effect although the record has changed"
    COUNT_FROM_ANSWER = "a holder counts the lease from the answer to its renewal"
    EARLY_TAKEOVER = "the lease is taken while its holder may still rely on it"
    TAKE_WITHOUT_RELEASE = "an entry that asks for the lease takes it without a release"
    RELY_UNTIL_ANSWER = "a holder relies on the lease until its release is answered"


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

    :param record_count: number of records when the writer last read.
    :param record_count_after: number of records after the write took effect; ``None``
        before.
    """

    record: Record
    record_count: int
    sent_at: int
    record_count_after: int | None = None
    refused: bool = False


class Entry(NamedTuple):
    """An entry and its knowledge of the lease.

    :param known: the last lease record that it has seen.
    :param record_count: number of records when it last read.
    :param stopped: whether it has stopped relying on the lease, to release it.
    """

    known: Record = Record()
    record_count: int = 0
    seen_at: int = 0
    renewed_at: int = -VALID_STEPS
    stopped: bool = False
    write: Write | None = None


class State(NamedTuple):
    """State of the model; ``record_count`` is the number of records in the store."""

    time: int = 0
    record: Record = Record()
    record_count: int = 0
    entries: tuple[Entry, Entry] = (Entry(), Entry())


class _Model:
    """Steps and invariants of one variant.

    Two entries share the lease record in the store. A write is conditional: it
    fails if anything was written since the writer last read the record. A write may
    take effect late and its answer may be lost; the writer then reads the record. A
    holder relies on the lease for ``VALID_STEPS`` after it sent its last
    renewal. Another entry takes the lease ``TAKEOVER_STEPS`` after it last saw a
    new record, or once the lease is released. An entry may ask the holder to
    release the lease; the holder stops relying on it before it sends the release.
    """

    def __init__(self, broken: Defect | None):
        self.broken = broken

    def with_entry(self, s: State, index: int, **changes) -> State:
        entries = list(s.entries)
        entries[index] = entries[index]._replace(**changes)
        return s._replace(entries=tuple(entries))

    def is_holder(self, entry: Entry, index: int) -> bool:
        return entry.known.holder == index and not entry.known.released

    def is_valid(self, s: State, index: int) -> bool:
        entry = s.entries[index]
        fresh = s.time - entry.renewed_at < VALID_STEPS
        return self.is_holder(entry, index) and not entry.stopped and fresh

    def is_available(self, s: State, index: int) -> bool:
        entry = s.entries[index]
        if entry.known.released:
            return True
        if self.broken is Defect.TAKE_WITHOUT_RELEASE and entry.known.asked:
            return True
        silence = s.time - entry.seen_at
        return silence > (0 if self.broken is Defect.EARLY_TAKEOVER else TAKEOVER_STEPS)

    def time_steps(self, s: State):
        if s.time < MAX_TIME:
            yield "time passes", s._replace(time=s.time + 1)

    def read_steps(self, s: State, index: int):
        entry = s.entries[index]
        if entry.write is None and entry.record_count < s.record_count:
            yield f"{index} reads", self.after_read(s, index)

    def after_read(self, s: State, index: int, **changes) -> State:
        return self.with_entry(
            s,
            index,
            known=s.record,
            record_count=s.record_count,
            seen_at=s.time,
            **changes,
        )

    def write_steps(self, s: State, index: int):
        entry = s.entries[index]
        if entry.write is not None or s.record_count >= MAX_RECORDS:
            return
        known = entry.known
        if self.is_holder(entry, index):
            if not entry.stopped:
                yield f"{index} renews", self.after_send(s, index, known)
            if known.asked:
                stopped = self.broken is not Defect.RELY_UNTIL_ANSWER
                released = known._replace(released=True)
                yield (
                    f"{index} releases",
                    self.after_send(s, index, released, stopped=stopped),
                )
            return
        if self.is_available(s, index) and known.number < MAX_LEASE_NUMBER:
            taken = Record(known.number + 1, index, released=False)
            yield f"{index} takes {taken.number}", self.after_send(s, index, taken)
        if not known.released and not known.asked:
            yield f"{index} asks", self.after_send(s, index, known._replace(asked=True))

    def after_send(self, s: State, index: int, record: Record, **changes) -> State:
        write = Write(record, s.entries[index].record_count, s.time)
        return self.with_entry(s, index, write=write, **changes)

    def effect_steps(self, s: State, index: int):
        write = s.entries[index].write
        if write is None or write.record_count_after is not None or write.refused:
            return
        if (
            write.record_count != s.record_count
            and self.broken is not Defect.NO_CONDITION
        ):
            refused = write._replace(refused=True)
            yield (
                f"write of {index} is refused",
                self.with_entry(s, index, write=refused),
            )
            return
        done = write._replace(record_count_after=s.record_count + 1)
        after = s._replace(record=write.record, record_count=s.record_count + 1)
        yield (
            f"write of {index} takes effect",
            self.with_entry(after, index, write=done),
        )

    def answer_steps(self, s: State, index: int):
        entry = s.entries[index]
        write = entry.write
        if write is None or (write.record_count_after is None and not write.refused):
            return
        reread = self.after_read(s, index, write=None)
        if write.refused:
            yield f"{index} is refused and reads", reread
            return
        is_own_lease = write.record.holder == index and not write.record.released
        since = s.time if self.broken is Defect.COUNT_FROM_ANSWER else write.sent_at
        renewed = {"renewed_at": since, "stopped": False} if is_own_lease else {}
        if s.record == write.record:
            yield (
                f"{index} misses the answer and reads",
                self.after_read(s, index, write=None, **renewed),
            )
        else:
            yield f"{index} misses the answer and reads", reread
        if write.record.holder == index:
            yield (
                f"{index} is answered",
                self.with_entry(
                    s,
                    index,
                    known=write.record,
                    record_count=write.record_count_after,
                    seen_at=s.time,
                    write=None,
                    **renewed,
                ),
            )

    def steps(self, s: State):
        yield from self.time_steps(s)
        for index in ENTRIES:
            yield from self.read_steps(s, index)
            yield from self.write_steps(s, index)
            yield from self.effect_steps(s, index)
            yield from self.answer_steps(s, index)


def build(broken: Defect | None = None) -> Protocol:
    """Return the protocol of the design, or of a broken variant."""
    model = _Model(broken)

    def one_valid(s: dict) -> bool:
        state = State(**s)
        return sum(model.is_valid(state, index) for index in ENTRIES) <= 1

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
        Defect.NO_CONDITION: "one_valid",
        Defect.COUNT_FROM_ANSWER: "one_valid",
        Defect.EARLY_TAKEOVER: "one_valid",
        Defect.TAKE_WITHOUT_RELEASE: "one_valid",
        Defect.RELY_UNTIL_ANSWER: "one_valid",
    },
)
