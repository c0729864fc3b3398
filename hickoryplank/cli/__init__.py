"""The command line of operators and of the process that serves."""

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

    :param argv: the arguments; those of the process by default.
    :param transport: replaces the network in tests.
    """
    parser = build_parser()
    try:
        args = parser.parse_args(argv)
    except SystemExit as exc:
        return exc.code if isinstance(exc.code, int) else ExitCode.USAGE
    args.transport = transport
    reply = args.run(args)
    if reply.text:
        sys.stdout.write(reply.text)
    if reply.errors:
        sys.stderr.write(reply.errors)
    return int(reply.code)
