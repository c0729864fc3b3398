"""Commands on objects: plan, apply, get, history and key."""

from argparse import Namespace
from collections.abc import Callable
from pathlib import Path

from result import Err, Ok, Result

from hickoryplank import client
from hickoryplank.cli.connection import open_session
from hickoryplank.cli.output import (
    CommandResult,
    ExitCode,
    OutputFormat,
    error_result,
    invalid_input_result,
    query_result,
    render,
)
from hickoryplank.cli.tables import (
    history_tables,
    key_tables,
    object_tables,
    plan_tables,
    published_tables,
)
from hickoryplank.client import ClientError, Session
from hickoryplank.core.ids import KeyId, TeamId
from hickoryplank.core.objects import Kind, ref_of
from hickoryplank.core.records import Put
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
    "get",
    "history",
    "key_create",
    "key_list",
    "key_withdraw",
    "plan",
    "published_result",
    "read_object_set",
    "with_session",
]


def with_session(
    args: Namespace, command: Callable[[Session], CommandResult]
) -> CommandResult:
    """Run ``command`` with a session, or report invalid connection options."""
    match open_session(args):
        case Err(faults):
            return invalid_input_result(faults)
        case Ok(session):
            return command(session)


def published_result(
    args: Namespace,
    session: Session,
    result: Result[Published, ClientError],
    files: dict | None = None,
) -> CommandResult:
    """Return the command result for a published record.

    With ``--wait``, poll until the record is in force or ``--timeout`` has passed.

    :param files: name of the file that contains the edit of each object.
    """
    match result:
        case Err(error):
            return error_result(error, files)
        case Ok(published):
            if args.wait:
                published = client.wait_in_force(session, published, args.timeout)
            text = render(args.format, published, published_tables(published))
            return CommandResult(published_exit_code(published), text)


def published_exit_code(published: Published) -> ExitCode:
    """Return the exit code for a published record."""
    in_force = published.state is PublishState.IN_FORCE
    return ExitCode.OK if in_force else ExitCode.PUBLISHED


def read_object_set(paths: list[str]) -> Result[ObjectSet, tuple[IniFault, ...]]:
    """Parse object files into one set, or return the faults of all of them."""
    files, faults = [], []
    for path in paths:
        try:
            files.append(ObjectFile(path, Path(path).read_text("utf-8")))
        except (OSError, UnicodeDecodeError):
            faults.append(IniFault(path, "", "", "cannot be read as UTF-8 text"))
    parsed = parse_files(tuple(files))
    return Err((*faults, *(parsed.err() or ()))) if faults else parsed


def plan(args: Namespace) -> CommandResult:
    """Show the changes that object files would make."""
    return _with_object_set(
        args, lambda session, objects: _plan(args, session, objects)
    )


def _plan(args: Namespace, session: Session, objects: ObjectSet) -> CommandResult:
    match client.plan_edits(session, objects.edits, objects.revisions):
        case Err(error):
            return error_result(error, objects.files)
        case Ok(answer):
            return CommandResult(
                ExitCode.OK, render(args.format, answer, plan_tables(answer))
            )


def apply(args: Namespace) -> CommandResult:
    """Publish object files as one set."""
    return _with_object_set(
        args, lambda session, objects: _apply(args, session, objects)
    )


def _apply(args: Namespace, session: Session, objects: ObjectSet) -> CommandResult:
    if args.dry_run:
        return _plan(args, session, objects)
    result = client.apply_edits(session, objects.edits, objects.revisions)
    return published_result(args, session, result, objects.files)


def _with_object_set(
    args: Namespace, command: Callable[[Session, ObjectSet], CommandResult]
) -> CommandResult:
    match read_object_set(args.files):
        case Err(faults):
            return invalid_input_result(faults)
        case Ok(objects):
            return with_session(args, lambda session: command(session, objects))


def get(args: Namespace) -> CommandResult:
    """Show the objects in force."""
    kind = Kind(args.kind) if args.kind else None

    def command(session: Session) -> CommandResult:
        match client.get_objects(session, kind, args.name):
            case Err(error):
                return error_result(error)
            case Ok(answer):
                return _objects_result(args, answer)

    return with_session(args, command)


def _objects_result(args: Namespace, answer: ObjectsAnswer) -> CommandResult:
    if args.name and not answer.objects:
        errors = f"{args.kind} {args.name} does not exist\n"
        return CommandResult(ExitCode.REFUSED, errors=errors)
    if args.format is OutputFormat.INI:
        edits = tuple(Put(view.obj) for view in answer.objects)
        revisions = {ref_of(view.obj): view.revision for view in answer.objects}
        return CommandResult(ExitCode.OK, format_objects(edits, revisions))
    return CommandResult(
        ExitCode.OK, render(args.format, answer, object_tables(answer))
    )


def history(args: Namespace) -> CommandResult:
    """Show operator records, accepted and refused."""
    return with_session(
        args,
        lambda session: query_result(
            client.get_history(session), args.format, history_tables
        ),
    )


def key_create(args: Namespace) -> CommandResult:
    """Create a key and print its secret, which cannot be shown again."""

    def command(session: Session) -> CommandResult:
        match client.create_key(session, KeyId(args.name), TeamId(args.team)):
            case Err(error):
                return error_result(error)
            case Ok(new):
                key_result = published_result(args, session, Ok(new.published))
                if args.format is OutputFormat.JSON:
                    return CommandResult(key_result.code, render(args.format, new, ()))
                return CommandResult(
                    key_result.code, f"secret: {new.secret}\n{key_result.text}"
                )

    return with_session(args, command)


def key_withdraw(args: Namespace) -> CommandResult:
    """Withdraw a key."""
    return with_session(
        args,
        lambda session: published_result(
            args, session, client.withdraw_key(session, KeyId(args.name))
        ),
    )


def key_list(args: Namespace) -> CommandResult:
    """List the keys in force, without their digests."""
    return with_session(
        args,
        lambda session: query_result(
            client.get_objects(session, Kind.KEY), args.format, key_tables
        ),
    )
