"""Freshness: how recent a node's view of the log is known to be.

A node's ``as_of`` is a reading of its own clock. It states that the node has
folded every edit that was appended before that moment. The node takes and
starts work only while ``as_of`` is recent, so an edit is in force everywhere
soon after it was appended, whether or not a node could read the log.

Three kinds of evidence move ``as_of`` forward:

* the node's own read of the log reached the tail;
* a peer reports the age of its own view, and this node has folded as far;
* nobody can have appended anything: each other live member, asked after a
  moment, knows of no later offset and has no edit under way.

The last rule holds because only members append edits, because a member that is
not yet known to all others appends none (``members_unaware``), and because the fold
refuses an edit whose author is gone.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from hickoryplank.core.ids import Incarnation, TaskId

__all__ = ["MAX_STALENESS_SECONDS", "IN_FORCE_SECONDS", "Freshness", "PeerView"]

MAX_STALENESS_SECONDS = 2.0
IN_FORCE_SECONDS = 2.5


class PeerView(msgspec.Struct, frozen=True):
    """What a node answers to a peer that asks for its view of the log.

    :param folded: the offset that the node folds next.
    :param confirmed: the same, or an earlier one while a start may be under way
        that the node sent before it had folded as far.
    :param known: the same, or a later one that it knows to have been appended.
    :param age: seconds since the node's ``as_of``; ``None`` if it has none.
    :param quiet: whether no edit of the node is under way. An edit is under way
        from before its first append until its record is folded.
    """

    folded: int
    confirmed: int
    known: int
    age: float | None
    quiet: bool


@dataclass
class _OpenStarts:
    """The starts of one task that are not answered: the oldest view, the last bound."""

    offset: int
    start_by: float
    count: int = 0


@dataclass(frozen=True)
class _Heard:
    sent_at: float
    view: PeerView


@dataclass
class Freshness:
    """The evidence that one node has; all times are its own clock, in seconds.

    :param offset: the offset that the node folds next.
    :param as_of: every edit appended before this time is folded; ``None`` until
        the first read that reached the tail.
    :param joined: the offset after the node's own join record; ``None`` before
        it is folded.
    """

    offset: int = 0
    as_of: float | None = None
    joined: int | None = None
    _heard: dict[Incarnation, _Heard] = field(default_factory=dict)
    _confirmed: dict[Incarnation, int] = field(default_factory=dict)
    _starts: dict[TaskId, _OpenStarts] = field(default_factory=dict)

    def note_tail_read(self, sent_at: float, offset: int) -> None:
        """Note that a read sent at ``sent_at`` reached the tail, and is folded.

        :param offset: the offset that the node folds next.
        """
        self.note_folded(offset)
        self._renew(sent_at)

    def note_folded(self, offset: int) -> None:
        """Note how far the node has folded, and use evidence that waited for it."""
        if offset <= self.offset:
            return
        self.offset = offset
        for heard in self._heard.values():
            self._use_view(heard)

    def note_answer(self, member: Incarnation, sent_at: float, view: PeerView) -> None:
        """Note the answer of ``member`` to an inquiry sent at ``sent_at``."""
        self.note_confirmed(member, view.confirmed)
        known = self._heard.get(member)
        if known is None or known.sent_at < sent_at:
            self._heard[member] = _Heard(sent_at, view)
            self._use_view(self._heard[member])

    def note_confirmed(self, member: Incarnation, offset: int) -> None:
        """Note that every edit before ``offset`` is in force in ``member``."""
        self._confirmed[member] = max(offset, self._confirmed.get(member, 0))

    def forget(self, members: Collection[Incarnation]) -> None:
        """Drop what was heard from all but ``members``."""
        for heard in (self._heard, self._confirmed):
            for gone in [member for member in heard if member not in members]:
                del heard[gone]

    def renew_if_all_quiet(
        self, now: float, others: Collection[Incarnation], quiet: bool
    ) -> bool:
        """Renew ``as_of`` if nobody can have appended an edit; tell whether so.

        :param others: the other live members of the node's tables.
        :param quiet: whether no edit of the node itself is under way.
        """
        heard = [self._heard.get(member) for member in others]
        if self.as_of is None or not quiet or not all(map(self._is_quiet, heard)):
            return False
        self._renew(min((answer.sent_at for answer in heard if answer), default=now))
        return True

    def open_start(self, task: TaskId, start_by: float) -> None:
        """Note that a start is about to be sent, which a worker may run.

        A task may have several, since a retry does not end the start before it.

        :param start_by: the time on the node's clock after which it cannot run.
        """
        starts = self._starts.setdefault(task, _OpenStarts(self.offset, start_by))
        starts.start_by = max(starts.start_by, start_by)
        starts.count += 1

    def close_start(self, task: TaskId) -> None:
        """Note that a start was answered, so that it is not under way.

        A start whose answer is lost stays open until its bound has passed.
        """
        starts = self._starts.get(task)
        if starts is not None:
            starts.count -= 1
            if starts.count == 0:
                del self._starts[task]

    def confirmed(self, now: float) -> int:
        """Return the offset before which no edit concerns a start under way."""
        late = [task for task, s in self._starts.items() if s.start_by < now]
        for task in late:
            del self._starts[task]
        return min((s.offset for s in self._starts.values()), default=self.offset)

    def view(self, now: float, quiet: bool, appended: int = 0) -> PeerView:
        """Return what the node answers to a peer.

        :param quiet: whether no edit of the node is under way.
        :param appended: the offset after the node's own latest append.
        """
        age = None if self.as_of is None else now - self.as_of
        known = max(self.offset, appended)
        return PeerView(
            folded=self.offset,
            confirmed=self.confirmed(now),
            known=known,
            age=age,
            quiet=quiet,
        )

    def fresh_until(self) -> float:
        """Return the time after which the node must take and start no work."""
        return (
            float("-inf") if self.as_of is None else self.as_of + MAX_STALENESS_SECONDS
        )

    def is_fresh(self, now: float) -> bool:
        """Return whether the node may take and start work now."""
        return now <= self.fresh_until()

    def members_unaware(self, others: Collection[Incarnation]) -> list[Incarnation]:
        """Return the members that may not know of this node yet.

        The node appends no edit while there are any: such a member does not ask
        this node before it concludes that nobody has appended an edit.
        """
        if self.joined is None:
            return list(others)
        return self._behind(others, self.joined)

    def lagging_nodes(
        self,
        others: Collection[Incarnation],
        offset: int,
        read_back_at: float,
        now: float,
    ) -> list[Incarnation]:
        """Return the members in which an edit may not be in force yet.

        :param others: the other live members of the node's tables.
        :param offset: the offset after the edit.
        :param read_back_at: when the node read the edit back from the log.
        """
        if now - read_back_at > IN_FORCE_SECONDS:
            return []
        return self._behind(others, offset)

    def _behind(
        self, others: Collection[Incarnation], offset: int
    ) -> list[Incarnation]:
        return [m for m in others if self._confirmed.get(m, 0) < offset]

    def _is_quiet(self, heard: _Heard | None) -> bool:
        return (
            heard is not None and heard.view.quiet and heard.view.known <= self.offset
        )

    def _use_view(self, heard: _Heard) -> None:
        if heard.view.age is not None and heard.view.folded <= self.offset:
            self._renew(heard.sent_at - heard.view.age)

    def _renew(self, as_of: float) -> None:
        if self.as_of is None or as_of > self.as_of:
            self.as_of = as_of
