"""Commands on objects: check, plan, apply, get, history and key."""

from argparse import Namespace
from collections.abc import Callable
from pathlib import Path

from result import Err, Ok, Result

from hickoryplank import client
from hickoryplank.cli.connection import open_session
from hickoryplank.cli.output import (
    ExitCode,
    Output,
    Reply,
    error_reply,
    fault_lines,
    ini_reply,
    reply_of,
    show,
)
from hickoryplank.cli.tables import (
    history_tables,
    key_tables,
    object_tables,
    plan_tables,
    published_tables,
)
from hickoryplank.client import ClientError, Session
from hickoryplank.core.edits import check_edits
from hickoryplank.core.errors import FaultCode
from hickoryplank.core.ids import KeyId, OperatorId, RecordId, TeamId
from hickoryplank.core.objects import Kind, ref_of
from hickoryplank.core.records import EditSet, Put
from hickoryplank.core.tables import Tables
from hickoryplank.ini import (
    IniFault,
    ObjectFile,
    ObjectSet,
    format_objects,
    parse_files,
)
from hickoryplank.operator_api import ObjectsAnswer, Published, PublishState

__all__ = [
    "apply",
    "check",
    "get",
    "history",
    "key_create",
    "key_list",
    "key_withdraw",
    "plan",
    "publish",
    "with_session",
]

_NEEDS_FLEET = {FaultCode.MISSING_REFERENCE, FaultCode.CONFLICT, FaultCode.BUDGET}


def with_session(args: Namespace, command: Callable[[Session], Reply]) -> Reply:
    """Run ``command`` with a session, or report invalid connection options."""
    match open_session(args):
        case Err(faults):
            return ini_reply(faults)
        case Ok(session):
            return command(session)


def publish(
    args: Namespace,
    session: Session,
    result: Result[Published, ClientError],
    files: dict | None = None,
) -> Reply:
    """Return the command result for a published record.

    With ``--wait``, poll until the record is in force or ``--timeout`` has passed.

    :param files: name of the file that contains the edit of each object.
    """
    match result:
        case Err(error):
            return error_reply(error, files)
        case Ok(published):
            if args.wait:
                published = client.wait_in_force(session, published, args.timeout)
            text = show(args.format, published, published_tables(published))
            return Reply(publish_code(published), text)


def publish_code(published: Published) -> ExitCode:
    """Return the exit code for a published record."""
    in_force = published.state is PublishState.IN_FORCE
    return ExitCode.OK if in_force else ExitCode.PUBLISHED


def _read_set(paths: list[str]) -> Result[ObjectSet, tuple[IniFault, ...]]:
    files, faults = [], []
    for path in paths:
        try:
            files.append(ObjectFile(path, Path(path).read_text("utf-8")))
        except (OSError, UnicodeDecodeError):
            faults.append(IniFault(path, "", "", "cannot be read as UTF-8 text"))
    parsed = parse_files(tuple(files))
    return Err((*faults, *(parsed.err() or ()))) if faults else parsed


def check(args: Namespace) -> Reply:
    """Validate object files without contacting an entry."""
    match _read_set(args.files):
        case Err(faults):
            return ini_reply(faults)
        case Ok(objects):
            return _check_set(args, objects)


def _check_set(args: Namespace, objects: ObjectSet) -> Reply:
    edit_set = EditSet(
        id=RecordId("check"),
        operator=OperatorId("check"),
        base=client.new_base(objects.edits),
        edits=objects.edits,
    )
    faults = check_edits(Tables(), edit_set)
    open_faults = [f for f in faults if f.code in _NEEDS_FLEET and not args.complete]
    certain = [fault for fault in faults if fault not in open_faults]
    notes = ""
    if open_faults:
        notes = "depends on the objects in force (check with plan):\n"
        notes += fault_lines(open_faults, objects.files)
    errors = fault_lines(certain, objects.files) + notes
    if certain:
        return Reply(ExitCode.REFUSED, errors=errors)
    return Reply(ExitCode.OK, f"{len(objects.edits)} objects\n", errors)


def plan(args: Namespace) -> Reply:
    """Show the changes that object files would make."""
    return _with_set(args, lambda session, objects: _plan(args, session, objects))


def _plan(args: Namespace, session: Session, objects: ObjectSet) -> Reply:
    match client.plan_edits(session, objects.edits, objects.revisions):
        case Err(error):
            return error_reply(error, objects.files)
        case Ok(answer):
            return Reply(ExitCode.OK, show(args.format, answer, plan_tables(answer)))


def apply(args: Namespace) -> Reply:
    """Publish object files as one set."""
    return _with_set(args, lambda session, objects: _apply(args, session, objects))


def _apply(args: Namespace, session: Session, objects: ObjectSet) -> Reply:
    if args.dry_run:
        return _plan(args, session, objects)
    result = client.apply_edits(session, objects.edits, objects.revisions)
    return publish(args, session, result, objects.files)


def _with_set(args: Namespace, command: Callable[[Session, ObjectSet], Reply]) -> Reply:
    match _read_set(args.files):
        case Err(faults):
            return ini_reply(faults)
        case Ok(objects):
            return with_session(args, lambda session: command(session, objects))


def get(args: Namespace) -> Reply:
    """Show the objects in force."""
    kind = Kind(args.kind) if args.kind else None

    def command(session: Session) -> Reply:
        match client.get_objects(session, kind, args.name):
            case Err(error):
                return error_reply(error)
            case Ok(answer):
                return _objects_reply(args, answer)

    return with_session(args, command)


def _objects_reply(args: Namespace, answer: ObjectsAnswer) -> Reply:
    if args.name and not answer.objects:
        errors = f"{args.kind} {args.name} does not exist\n"
        return Reply(ExitCode.REFUSED, errors=errors)
    if args.format is Output.INI:
        edits = tuple(Put(view.obj) for view in answer.objects)
        revisions = {ref_of(view.obj): view.revision for view in answer.objects}
        return Reply(ExitCode.OK, format_objects(edits, revisions))
    return Reply(ExitCode.OK, show(args.format, answer, object_tables(answer)))


def history(args: Namespace) -> Reply:
    """Show operator records, accepted and refused."""
    return with_session(
        args,
        lambda session: reply_of(
            client.get_history(session), args.format, history_tables
        ),
    )


def key_create(args: Namespace) -> Reply:
    """Create a key and print its secret, which cannot be shown again."""

    def command(session: Session) -> Reply:
        match client.create_key(session, KeyId(args.name), TeamId(args.team)):
            case Err(error):
                return error_reply(error)
            case Ok(new):
                reply = publish(args, session, Ok(new.published))
                if args.format is Output.JSON:
                    return Reply(reply.code, show(args.format, new, ()))
                return Reply(reply.code, f"secret: {new.secret}\n{reply.text}")

    return with_session(args, command)


def key_withdraw(args: Namespace) -> Reply:
    """Withdraw a key."""
    return with_session(
        args,
        lambda session: publish(
            args, session, client.withdraw_key(session, KeyId(args.name))
        ),
    )


def key_list(args: Namespace) -> Reply:
    """List the keys in force, without their digests."""
    return with_session(
        args,
        lambda session: reply_of(
            client.get_objects(session, Kind.KEY), args.format, key_tables
        ),
    )
