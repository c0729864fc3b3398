"""What the rest of the shell sees of the replicated tables."""

from abc import ABC, abstractmethod

from result import Result

from hickoryplank.core.errors import Refusal
from hickoryplank.core.ids import NodeId, Revision
from hickoryplank.core.records import Record
from hickoryplank.core.tables import Tables
from hickoryplank.external.errors import LogFailure

__all__ = ["ReplicatedState"]


class ReplicatedState(ABC):
    """The tables of one node, and the way to propose records."""

    @property
    @abstractmethod
    def tables(self) -> Tables:
        """The tables as folded so far; read them, never change them."""

    @property
    @abstractmethod
    def offset(self) -> int:
        """The log offset that is folded next."""

    @abstractmethod
    async def submit(self, record: Record) -> Result[Revision, Refusal | LogFailure]:
        """Append ``record``, fold up to it and return its verdict.

        A lost answer is settled by reading on, so an error of the log means that
        the verdict is not known yet or that nothing was appended.
        """

    @abstractmethod
    def lagging_nodes(self, offset: int) -> tuple[NodeId, ...]:
        """Return the live nodes that may not have folded up to ``offset`` yet.

        :param offset: the offset after the record in question.

        A node that must have stopped serving by now is not waited for.
        """
