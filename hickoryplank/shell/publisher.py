"""Publishes operators' records; a repeated record keeps its first result."""

import anyio
from result import Err, Ok

from hickoryplank.core.errors import Refusal
from hickoryplank.core.ids import RecordId, Revision
from hickoryplank.core.records import Record
from hickoryplank.core.tables import Tables
from hickoryplank.external.errors import LogError, LogFailure
from hickoryplank.operator_api import HistoryEntry, Published, PublishState
from hickoryplank.shell.operator_history import OperatorHistory
from hickoryplank.shell.operator_http import Reply
from hickoryplank.shell.operator_problems import (
    log_problem,
    refusal_problem,
    result_lost_problem,
)
from hickoryplank.shell.replicated_state import ReplicatedState

__all__ = ["Publisher"]

_RESULT_TIMEOUT_SECONDS = 5.0


class Publisher:
    """Submits operators' records and reports whether they are in force.

    :param result_timeout_seconds: how long a request waits for its record's result.
    """

    def __init__(
        self,
        replicated_state: ReplicatedState,
        history: OperatorHistory,
        result_timeout_seconds: float = _RESULT_TIMEOUT_SECONDS,
    ) -> None:
        self._replicated_state = replicated_state
        self._history = history
        self._result_timeout_seconds = result_timeout_seconds

    @property
    def tables(self) -> Tables:
        """The tables as folded so far."""
        return self._replicated_state.tables

    @property
    def offset(self) -> int:
        """The next log offset to fold."""
        return self._replicated_state.offset

    def entries(self) -> tuple[HistoryEntry, ...]:
        """Return the most recent records of operators, oldest first."""
        return self._history.entries()

    def was_folded(self, record_id: RecordId) -> bool:
        """Return whether a record with this id has been folded recently."""
        return record_id in self._replicated_state.tables.recent

    async def publish(self, record: Record) -> Reply:
        """Submit a record; one that has been folded before keeps its first result."""
        if self.was_folded(record.id):
            return self._first_result(record.id)
        result = None
        with anyio.move_on_after(self._result_timeout_seconds):
            result = await self._replicated_state.submit(record)
        match result:
            case Ok(revision):
                return Ok(self.published(revision, self._replicated_state.offset))
            case _ if self._history.find(record.id):
                return self._first_result(record.id)
            case Err(Refusal(faults)):
                return Err(refusal_problem(faults))
            case Err(LogFailure() as failure):
                return Err(log_problem(failure))
            case _:
                return Err(log_problem(LogFailure(LogError.UNKNOWN)))

    def _first_result(self, record_id: RecordId) -> Reply:
        match self._history.find(record_id):
            case None:
                return Err(result_lost_problem())
            case HistoryEntry(revision=None, faults=faults):
                return Err(refusal_problem(faults))
            case HistoryEntry(revision=revision, offset=offset):
                return Ok(self.published(revision, offset + 1))

    def published(self, revision: Revision, offset: int) -> Published:
        """Return whether an accepted record is in force on every live node.

        :param offset: the log offset following the record.
        """
        waiting = self._replicated_state.lagging_nodes(offset)
        done = not waiting and self._replicated_state.offset >= offset
        state = PublishState.IN_FORCE if done else PublishState.PUBLISHED
        return Published(state, revision, offset, waiting)

    def records_not_in_force(self) -> tuple[Published, ...]:
        """Return the accepted records that may not be in force on every node yet.

        A node that has folded one of them has folded all earlier ones as well.
        """
        found: list[Published] = []
        for entry in reversed(self._history.entries()):
            if entry.revision is None:
                continue
            one = self.published(entry.revision, entry.offset + 1)
            if one.state is PublishState.IN_FORCE:
                break
            found.append(one)
        return tuple(reversed(found))
