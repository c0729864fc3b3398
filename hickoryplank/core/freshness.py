"""Bounded staleness: how recent a node's view of the log is known to be."""

from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from hickoryplank.core.ids import Incarnation, TaskId

__all__ = ["MAX_STALENESS_SECONDS", "IN_FORCE_SECONDS", "Freshness", "PeerView"]

#: Age of its view, in seconds, up to which a node accepts and starts work.
MAX_STALENESS_SECONDS = 2.0
#: Time after which an edit that was read back from the log is in force on every node,
#: in seconds; longer than a node may start work on a view from before the edit.
IN_FORCE_SECONDS = 2.5


class PeerView(msgspec.Struct, frozen=True):
    """A node's view of the log, as it reports it to a peer.

    :param folded: the offset that the node folds next.
    :param confirmed: the offset before which every edit is in force on the node.
        It is lower than ``folded`` while a start may be in flight that the node
        sent before it had folded as far.
    :param known: the highest offset up to which the node knows the log to extend.
    :param age: seconds since the node's ``as_of``; ``None`` if it has none.
    :param quiet: whether the node has no pending edit. An edit is pending from
        before its first append until its record is folded.
    """

    folded: int
    confirmed: int
    known: int
    age: float | None
    quiet: bool


@dataclass
class _OpenStarts:
    """The unanswered starts of one task.

    :param offset: the offset that the node was to fold next at the first start.
    :param start_by: when the last of the starts can no longer run, in seconds.
    :param count: number of unanswered starts.
    """

    offset: int
    start_by: float
    count: int = 0


@dataclass(frozen=True)
class _ReceivedView:
    sent_at: float
    view: PeerView


@dataclass
class Freshness:
    """How recent one node's view is, and the evidence for it.

    The node has folded every edit that was appended before ``as_of``. It accepts
    and starts work only while ``as_of`` is recent, so an edit is in force on all
    nodes soon after it was appended, even on nodes that cannot read the log.

    Three kinds of evidence move ``as_of`` forward:

    * a read of the node itself reached the tail of the log;
    * a peer reports the age of its view, and this node has folded as far;
    * no edit can have been appended: each other live member, asked at or after
      that time, knows of no later offset and has no pending edit.

    The last rule is sound because only members append edits, because a member
    that is not yet known to all others appends none (see ``members_unaware``),
    and because the fold refuses an edit whose author is gone.

    All times are readings of the node's own clock, in seconds.

    :param offset: the offset that the node folds next.
    :param as_of: the time before which all appended edits are folded; ``None``
        until a read has reached the tail.
    :param joined: the offset after the node's own join record; ``None`` until
        that record is folded.
    """

    offset: int = 0
    as_of: float | None = None
    joined: int | None = None
    _views: dict[Incarnation, _ReceivedView] = field(default_factory=dict)
    _confirmed: dict[Incarnation, int] = field(default_factory=dict)
    _starts: dict[TaskId, _OpenStarts] = field(default_factory=dict)

    def note_tail_read(self, sent_at: float, offset: int) -> None:
        """Record that a read sent at ``sent_at`` reached the tail and is folded.

        :param offset: the offset that the node folds next.
        """
        self.note_folded(offset)
        self._renew(sent_at)

    def note_folded(self, offset: int) -> None:
        """Record how far the node has folded.

        Views of peers that were ahead of the node may now serve as evidence.
        """
        if offset <= self.offset:
            return
        self.offset = offset
        for received in self._views.values():
            self._use_view(received)

    def note_answer(self, member: Incarnation, sent_at: float, view: PeerView) -> None:
        """Record the answer of ``member`` to an inquiry sent at ``sent_at``."""
        self.note_confirmed(member, view.confirmed)
        known = self._views.get(member)
        if known is None or known.sent_at < sent_at:
            self._views[member] = _ReceivedView(sent_at, view)
            self._use_view(self._views[member])

    def note_confirmed(self, member: Incarnation, offset: int) -> None:
        """Record that every edit before ``offset`` is in force on ``member``."""
        self._confirmed[member] = max(offset, self._confirmed.get(member, 0))

    def forget(self, members: Collection[Incarnation]) -> None:
        """Discard the views of all nodes except ``members``."""
        for received in (self._views, self._confirmed):
            for gone in [member for member in received if member not in members]:
                del received[gone]

    def renew_if_all_quiet(
        self, now: float, others: Collection[Incarnation], quiet: bool
    ) -> bool:
        """Renew ``as_of`` if no member can have appended an edit.

        This keeps the node fresh while the log cannot be read.

        :param others: the other live members according to the node's tables.
        :param quiet: whether the node itself has no pending edit.
        :return: whether the evidence was sufficient.
        """
        received = [self._views.get(member) for member in others]
        if self.as_of is None or not quiet or not all(map(self._is_quiet, received)):
            return False
        self._renew(min((answer.sent_at for answer in received if answer), default=now))
        return True

    def open_start(self, task: TaskId, start_by: float) -> None:
        """Record that a start is about to be sent to a worker.

        A task can have several open starts, since a retry does not cancel the
        previous start.

        :param start_by: the time after which no worker can run the start.
        """
        starts = self._starts.setdefault(task, _OpenStarts(self.offset, start_by))
        starts.start_by = max(starts.start_by, start_by)
        starts.count += 1

    def close_start(self, task: TaskId) -> None:
        """Record that a start was answered and is no longer in flight.

        A start whose answer is lost stays open until its ``start_by``.
        """
        starts = self._starts.get(task)
        if starts is not None:
            starts.count -= 1
            if starts.count == 0:
                del self._starts[task]

    def confirmed(self, now: float) -> int:
        """Return the offset before which no edit affects a start in flight."""
        expired = [task for task, s in self._starts.items() if s.start_by < now]
        for task in expired:
            del self._starts[task]
        return min((s.offset for s in self._starts.values()), default=self.offset)

    def view(self, now: float, quiet: bool, appended: int = 0) -> PeerView:
        """Return the view that the node reports to a peer.

        :param quiet: whether the node has no pending edit.
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
        """Return the time after which the node must neither accept nor start work."""
        return (
            float("-inf") if self.as_of is None else self.as_of + MAX_STALENESS_SECONDS
        )

    def is_fresh(self, now: float) -> bool:
        """Return whether the node may accept and start work now."""
        return now <= self.fresh_until()

    def members_unaware(self, others: Collection[Incarnation]) -> list[Incarnation]:
        """Return the members that may not know yet that this node has joined.

        The node must not append edits while there are any: such a member does
        not ask this node before it concludes that no edit was appended.
        """
        if self.joined is None:
            return list(others)
        return self._unconfirmed(others, self.joined)

    def lagging_nodes(
        self,
        others: Collection[Incarnation],
        offset: int,
        read_back_at: float,
        now: float,
    ) -> list[Incarnation]:
        """Return the members on which an edit may not be in force yet.

        :param others: the other live members according to the node's tables.
        :param offset: the offset after the edit.
        :param read_back_at: when the node read the edit back from the log.
        """
        if now - read_back_at > IN_FORCE_SECONDS:
            return []
        return self._unconfirmed(others, offset)

    def _unconfirmed(
        self, others: Collection[Incarnation], offset: int
    ) -> list[Incarnation]:
        return [m for m in others if self._confirmed.get(m, 0) < offset]

    def _is_quiet(self, received: _ReceivedView | None) -> bool:
        return (
            received is not None
            and received.view.quiet
            and received.view.known <= self.offset
        )

    def _use_view(self, received: _ReceivedView) -> None:
        if received.view.age is not None and received.view.folded <= self.offset:
            self._renew(received.sent_at - received.view.age)

    def _renew(self, as_of: float) -> None:
        if self.as_of is None or as_of > self.as_of:
            self.as_of = as_of
