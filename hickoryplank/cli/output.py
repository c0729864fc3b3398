"""Output of commands: tables, JSON, error messages and exit codes."""

from collections.abc import Iterable, Sequence
from enum import Enum, IntEnum
from typing import Any

import msgspec
from result import Err, Ok, Result

from hickoryplank.client import ClientError, Refused, Unreachable
from hickoryplank.core.errors import Fault
from hickoryplank.core.objects import Ref
from hickoryplank.ini import IniFault
from hickoryplank.operator_api import ProblemOutcome

__all__ = [
    "ExitCode",
    "OutputFormat",
    "CommandResult",
    "Table",
    "error_result",
    "fault_lines",
    "format_table",
    "invalid_input_result",
    "format_json",
    "render",
]

_UNAUTHORIZED = 401
_FIRST_SERVER_ERROR = 500


class ExitCode(IntEnum):
    """Exit codes of the commands, a stable interface for scripts."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    PUBLISHED = 4
    UNKNOWN = 5
    NOT_OPERATOR = 6
    FINDINGS = 7
    INTERRUPTED = 130


class OutputFormat(Enum):
    """Output formats."""

    TABLE = "table"
    JSON = "json"
    INI = "ini"


class CommandResult(msgspec.Struct, frozen=True):
    """Result of a command.

    :param text: written to standard output.
    :param errors: written to standard error.
    """

    code: ExitCode
    text: str = ""
    errors: str = ""


class Table(msgspec.Struct, frozen=True):
    """Rows and the header above them."""

    header: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def format_table(table: Table) -> str:
    """Format a table as lines with aligned columns."""
    widths = [
        max(len(row[column]) for row in (table.header, *table.rows))
        for column in range(len(table.header))
    ]
    return "".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        + "\n"
        for row in (table.header, *table.rows)
    )


def format_json(message: Any) -> str:
    """Format a message as indented JSON."""
    data = msgspec.json.encode(message)
    return msgspec.json.format(data, indent=2).decode() + "\n"


def render(output: OutputFormat, message: Any, tables: Iterable[Table]) -> str:
    """Format a message as JSON, or the tables that represent it as text."""
    if output is OutputFormat.JSON:
        return format_json(message)
    return "\n".join(format_table(table) for table in tables if table.rows)


def invalid_input_result(faults: Sequence[IniFault]) -> CommandResult:
    """Return the command result for invalid files or options."""
    errors = "".join(f"{fault}\n" for fault in faults)
    return CommandResult(ExitCode.USAGE, errors=errors)


def fault_lines(faults: Iterable[Fault], files: dict[Ref, str] | None = None) -> str:
    """Return one line per fault, naming the file of the object concerned.

    :param files: name of the file that contains the edit of each object.
    """
    return "".join(f"{_fault_line(fault, files or {})}\n" for fault in faults)


def _fault_line(fault: Fault, files: dict[Ref, str]) -> str:
    file = files.get(fault.ref) if fault.ref else None
    if file is None:
        return f"{fault.code.value}: {fault.message}"
    key = f" {fault.key}" if fault.key else ""
    return f"{file}: [{fault.ref}]{key}: {fault.message}"


def error_result(
    error: ClientError, files: dict[Ref, str] | None = None
) -> CommandResult:
    """Return the command result for a request that was refused or got no response."""
    match error:
        case Unreachable(detail, ProblemOutcome.UNKNOWN):
            errors = f"no response; the request may have taken effect: {detail}\n"
            return CommandResult(ExitCode.UNKNOWN, errors=errors)
        case Unreachable(detail):
            return CommandResult(
                ExitCode.UNREACHABLE, errors=f"no entry responds: {detail}\n"
            )
        case Refused(problem):
            errors = f"{problem.title}: {problem.detail}\n"
            if problem.faults:
                errors = f"{problem.title}:\n{fault_lines(problem.faults, files)}"
            return CommandResult(
                _exit_code(problem.status, problem.outcome), errors=errors
            )


def _exit_code(status: int, outcome: ProblemOutcome) -> ExitCode:
    if outcome is ProblemOutcome.UNKNOWN:
        return ExitCode.UNKNOWN
    if status >= _FIRST_SERVER_ERROR:
        return ExitCode.UNREACHABLE
    return ExitCode.NOT_OPERATOR if status == _UNAUTHORIZED else ExitCode.REFUSED


def query_result(
    result: Result[Any, ClientError], output: OutputFormat, tables: Any
) -> CommandResult:
    """Return the command result for a query.

    :param tables: function that returns the tables of a response.
    """
    match result:
        case Ok(answer):
            return CommandResult(ExitCode.OK, render(output, answer, tables(answer)))
        case Err(error):
            return error_result(error)
