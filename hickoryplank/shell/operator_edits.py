"""Handlers of the operator API for configuration objects."""

from collections.abc import Callable

from result import Err, Ok

from hickoryplank.core.edits import base_for, check_edits
from hickoryplank.core.objects import Kind
from hickoryplank.core.records import BaseRevision, Delete, EditSet, Put
from hickoryplank.operator_api import (
    EditRequest,
    HistoryAnswer,
    ObjectsAnswer,
    PlanAnswer,
    PlanRequest,
)
from hickoryplank.shell.operator_http import OperatorRequest, Reply, decode_body
from hickoryplank.shell.operator_problems import bad_parameter, refusal_problem
from hickoryplank.shell.operator_views import object_views, plan_changes
from hickoryplank.shell.publisher import Publisher

__all__ = ["EditHandlers"]

_MAX_OFFSET_DIGITS = 15


class EditHandlers:
    """Handles requests that check, publish and list configuration objects.

    :param now: returns the time in seconds since the epoch.
    """

    def __init__(self, publisher: Publisher, now: Callable[[], float]) -> None:
        self._publisher = publisher
        self._now = now

    async def edit(self, req: OperatorRequest) -> Reply:
        """Publish a set of edits, or refuse it with all its faults."""
        match decode_body(req.body, EditRequest):
            case Err(problem):
                return Err(problem)
            case Ok(body):
                edit_set = self._edit_set(req, body.base, body.edits)
                if not self._publisher.was_folded(edit_set.id):
                    faults = check_edits(self._publisher.tables, edit_set)
                    if faults:
                        return Err(refusal_problem(tuple(faults)))
                return await self._publisher.publish(edit_set)

    async def plan(self, req: OperatorRequest) -> Reply:
        """Check a set of edits and return the changes it would make."""
        match decode_body(req.body, PlanRequest):
            case Err(problem):
                return Err(problem)
            case Ok(body):
                return self._plan(req, body)

    def _plan(self, req: OperatorRequest, body: PlanRequest) -> Reply:
        tables = self._publisher.tables
        base = base_for(tables, body.edits) if body.base is None else body.base
        edit_set = self._edit_set(req, base, body.edits)
        faults = check_edits(tables, edit_set)
        if faults:
            return Err(refusal_problem(tuple(faults)))
        changes = plan_changes(tables, body.edits)
        return Ok(PlanAnswer(base, self._publisher.offset, changes))

    def _edit_set(
        self,
        req: OperatorRequest,
        base: tuple[BaseRevision, ...],
        edits: tuple[Put | Delete, ...],
    ) -> EditSet:
        return EditSet(
            id=req.record_id,
            operator=req.operator,
            base=base,
            edits=edits,
            at=self._now(),
        )

    async def objects(self, req: OperatorRequest) -> Reply:
        """List the objects in force."""
        tables = self._publisher.tables
        kind = req.query.get("kind")
        kinds = [each.value for each in Kind]
        if kind is not None and kind not in kinds:
            return Err(bad_parameter("kind", kinds))
        views = object_views(
            tables, Kind(kind) if kind else None, req.query.get("name")
        )
        return Ok(ObjectsAnswer(tables.revision, self._publisher.offset, views))

    async def published(self, req: OperatorRequest) -> Reply:
        """Return whether every live node has folded the log up to an offset."""
        text = req.query.get("offset", "")
        if not (text.isascii() and text.isdigit() and len(text) <= _MAX_OFFSET_DIGITS):
            return Err(bad_parameter("offset", ["a log offset"]))
        return Ok(self._publisher.published(self._publisher.tables.revision, int(text)))

    async def history(self, req: OperatorRequest) -> Reply:
        """List the most recent records of operators that this node has folded."""
        return Ok(HistoryAnswer(self._publisher.entries()))
