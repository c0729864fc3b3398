"""The ``check`` command: faults, findings and differences of object files."""

from argparse import Namespace

import msgspec
from result import Err, Ok

from hickoryplank import client
from hickoryplank.cli.edit_commands import read_object_set, with_session
from hickoryplank.cli.output import (
    CommandResult,
    ExitCode,
    OutputFormat,
    Table,
    error_result,
    fault_lines,
    format_json,
    format_table,
    invalid_input_result,
)
from hickoryplank.cli.tables import change_tables, shorten_digests
from hickoryplank.client import Session
from hickoryplank.core.edits import check_edits
from hickoryplank.core.errors import FaultCode
from hickoryplank.core.ids import OperatorId, RecordId
from hickoryplank.core.lint import (
    Finding,
    Scope,
    edited_objects,
    find_all,
    findings_of_edits,
)
from hickoryplank.core.objects import ConfigObject, Ref, ref_of
from hickoryplank.core.records import Delete, EditSet, Put
from hickoryplank.core.tables import Tables
from hickoryplank.ini import ObjectSet
from hickoryplank.operator_api import Change, ChangeKind, ObjectsAnswer, PlanAnswer

__all__ = ["CheckReport", "check"]

_FLEET_STATE_FAULT_CODES = {
    FaultCode.MISSING_REFERENCE,
    FaultCode.CONFLICT,
    FaultCode.BUDGET,
}


class CheckReport(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a check that found no fault.

    :param objects: number of objects in the files.
    :param changes: what differs from the objects in force, with digests cut;
        ``None`` if no entry was asked.
    :param only_in_force: with ``--complete``, objects in force that the files
        leave out; ``apply`` keeps them.
    """

    objects: int
    findings: tuple[Finding, ...]
    changes: tuple[Change, ...] | None = None
    only_in_force: tuple[Ref, ...] = ()


def check(args: Namespace) -> CommandResult:
    """Check object files; an entry is asked only with ``--diff``."""
    match read_object_set(args.files):
        case Err(faults):
            return invalid_input_result(faults)
        case Ok(objects):
            return _check_object_set(args, objects)


def _check_object_set(args: Namespace, objects: ObjectSet) -> CommandResult:
    edit_set = EditSet(
        id=RecordId("check"),
        operator=OperatorId("check"),
        base=client.empty_fleet_base(objects.edits),
        edits=objects.edits,
    )
    faults = check_edits(Tables(), edit_set)
    uncertain_faults = [
        f for f in faults if f.code in _FLEET_STATE_FAULT_CODES and not args.complete
    ]
    certain_faults = [fault for fault in faults if fault not in uncertain_faults]
    notes = ""
    if uncertain_faults and (certain_faults or not args.diff):
        notes = "depends on the objects in force (check with plan):\n"
        notes += fault_lines(uncertain_faults, objects.files)
    errors = fault_lines(certain_faults, objects.files) + notes
    if certain_faults:
        return CommandResult(ExitCode.REFUSED, errors=errors)
    if args.diff:
        return with_session(args, lambda session: _compare(args, session, objects))
    scope = Scope.WHOLE if args.complete else Scope.PART
    findings = find_all(edited_objects((), _edited(objects)), scope)
    report = CheckReport(objects=len(objects.edits), findings=tuple(findings))
    return _report_result(args, report, errors)


def _edited(objects: ObjectSet) -> dict[Ref, ConfigObject | None]:
    edited: dict[Ref, ConfigObject | None] = {}
    for edit in objects.edits:
        match edit:
            case Put(obj):
                edited[ref_of(obj)] = obj
            case Delete(ref):
                edited[ref] = None
    return edited


def _compare(args: Namespace, session: Session, objects: ObjectSet) -> CommandResult:
    plan = client.plan_edits(session, objects.edits, objects.revisions)
    in_force = plan.and_then(lambda _: client.get_objects(session))
    match in_force:
        case Err(error):
            return error_result(error, objects.files)
        case Ok(answer):
            report = _comparison(args, objects, plan.unwrap(), answer)
            return _report_result(args, report)


def _comparison(
    args: Namespace, objects: ObjectSet, plan: PlanAnswer, answer: ObjectsAnswer
) -> CheckReport:
    edited = _edited(objects)
    in_force = [view.obj for view in answer.objects]
    only_in_force: tuple[Ref, ...] = ()
    if args.complete:
        findings = find_all(edited_objects((), edited), Scope.WHOLE)
        refs = [ref_of(obj) for obj in in_force]
        only_in_force = tuple(ref for ref in refs if ref not in edited)
    else:
        before, after = edited_objects(in_force, {}), edited_objects(in_force, edited)
        findings = findings_of_edits(before, after, edited)
    return CheckReport(
        objects=len(objects.edits),
        findings=tuple(findings),
        changes=tuple(
            shorten_digests(change)
            for change in plan.changes
            if change.kind is not ChangeKind.NONE
        ),
        only_in_force=only_in_force,
    )


def _report_result(
    args: Namespace, report: CheckReport, notes: str = ""
) -> CommandResult:
    code = ExitCode.FINDINGS if report.findings else ExitCode.OK
    if args.format is OutputFormat.JSON:
        return CommandResult(code, format_json(report), notes)
    tables = [table for table in _report_tables(report) if table.rows]
    blocks = [f"{report.objects} objects\n", *map(format_table, tables)]
    return CommandResult(code, "\n".join(blocks), notes)


def _report_tables(report: CheckReport) -> list[Table]:
    findings = tuple(
        (one.kind.value, str(one.ref or ""), one.key, one.expected, one.found)
        for one in report.findings
    )
    kept = tuple((str(ref),) for ref in report.only_in_force)
    return [
        Table(("FINDING", "OBJECT", "FIELD", "EXPECTED", "FOUND"), findings),
        *change_tables(report.changes or ()),
        Table(("IN FORCE, NOT IN THE FILES",), kept),
    ]
