"""Interface to the tables that are replicated through the log."""

from abc import ABC, abstractmethod

from result import Result

from hickoryplank.core.errors import Refusal
from hickoryplank.core.ids import NodeId, Revision
from hickoryplank.core.records import Record
from hickoryplank.core.tables import Tables
from hickoryplank.external.errors import LogFailure

__all__ = ["ReplicatedState"]


class ReplicatedState(ABC):
    """The tables as folded by this node, and a way to submit records."""

    @property
    @abstractmethod
    def tables(self) -> Tables:
        """The tables as folded so far. Callers must not modify them."""

    @property
    @abstractmethod
    def offset(self) -> int:
        """The next log offset to fold."""

    @abstractmethod
    async def submit(self, record: Record) -> Result[Revision, Refusal | LogFailure]:
        """Append ``record``, fold the log up to it and return the result.

        If the answer of the log is lost, the result is found by reading the log.
        An error therefore means that the result is not known yet, or that nothing
        was appended.
        """

    @abstractmethod
    def lagging_nodes(self, offset: int) -> tuple[NodeId, ...]:
        """Return the live nodes that may not have folded up to ``offset`` yet.

        A node that must have stopped serving by now is left out.

        :param offset: the offset following the record in question.
        """
