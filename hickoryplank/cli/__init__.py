"""Command line interface for operators, including the ``serve`` command."""

import sys
from collections.abc import Sequence

import httpx

from hickoryplank.cli.output import ExitCode
from hickoryplank.cli.parser import build_parser

__all__ = ["ExitCode", "main"]


def main(
    argv: Sequence[str] | None = None, transport: httpx.BaseTransport | None = None
) -> int:
    """Run one command and return its exit code.

    :param argv: command line arguments; those of the process by default.
    :param transport: replaces the network in tests.
    """
    parser = build_parser()
    try:
        args = parser.parse_args(argv)
    except SystemExit as exc:
        return exc.code if isinstance(exc.code, int) else ExitCode.USAGE
    args.transport = transport
    try:
        result = args.run(args)
    except KeyboardInterrupt:
        return int(ExitCode.INTERRUPTED)
    except UnicodeEncodeError:
        sys.stderr.write("arguments must be valid UTF-8\n")
        return int(ExitCode.USAGE)
    if result.text:
        sys.stdout.write(result.text)
    if result.errors:
        sys.stderr.write(result.errors)
    return int(result.code)
