"""Renews freshness from the views of peers while the log cannot be read."""

from itertools import count

import anyio

from hickoryplank.core.ids import Incarnation
from hickoryplank.core.messages import Inquiry, InquiryAnswer, LogEntry
from hickoryplank.external.log import StreamRecord
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.peer_transport import PeerTransport
from hickoryplank.shell.replica import Replica

__all__ = ["FreshnessExchange"]

CHECK_INTERVAL_SECONDS = 0.3
INQUIRE_AFTER_SECONDS = 0.8
MAX_ANSWER_ENTRIES = 64
MAX_PENDING_INQUIRIES = 64


class FreshnessExchange:
    """Asks peers for their views of the log, and answers their inquiries."""

    def __init__(self, replica: Replica, transport: PeerTransport, clock: Clock):
        self._replica = replica
        self._transport = transport
        self._clock = clock
        self._ids = count(1)
        self._sent_at: dict[int, float] = {}

    async def serve(self) -> None:
        """Send inquiries while this node's view of the log is old, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            freshness = self._replica.freshness
            others = self._replica.other_incarnations()
            freshness.forget(others)
            if freshness.as_of is None:
                continue
            if self._clock.now() - freshness.as_of > INQUIRE_AFTER_SECONDS:
                self._inquire()
                self._renew_freshness(others)

    def _inquire(self) -> None:
        inquiry = Inquiry(next(self._ids), self._replica.offset)
        self._sent_at[inquiry.id] = self._clock.now()
        if len(self._sent_at) > MAX_PENDING_INQUIRIES:
            del self._sent_at[next(iter(self._sent_at))]
        self._transport.broadcast(inquiry)

    def answer(self, sender: Incarnation, inquiry: Inquiry) -> None:
        """Answer a peer with this node's view of the log and recent entries."""
        entries = (
            LogEntry(entry.offset, entry.data)
            for entry in self._replica.recent_entries_from(
                inquiry.offset, MAX_ANSWER_ENTRIES
            )
        )
        view = self._replica.view()
        self._transport.send(sender, InquiryAnswer(inquiry.id, view, tuple(entries)))

    def note_answer(self, sender: Incarnation, answer: InquiryAnswer) -> None:
        """Fold the entries that a peer sent, then use the age of its view."""
        sent_at = self._sent_at.get(answer.id)
        if sent_at is None:
            return
        entries = tuple(
            StreamRecord(entry.offset, entry.data) for entry in answer.entries
        )
        self._replica.fold_entries(entries)
        self._replica.freshness.note_answer(sender, sent_at, answer.view)
        self._renew_freshness(self._replica.other_incarnations())

    def _renew_freshness(self, others: list[Incarnation]) -> None:
        quiet = not self._replica.has_pending_edit()
        self._replica.freshness.renew_if_all_quiet(self._clock.now(), others, quiet)
