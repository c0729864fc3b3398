"""Processes under test that have exited, reported with their logs."""

import subprocess
from pathlib import Path

__all__ = ["log_tail", "require_running"]

TAIL_LINES = 20


def log_tail(log: Path) -> str:
    """Return the last lines of a log, for an error message."""
    lines = log.read_text(errors="replace").splitlines()[-TAIL_LINES:]
    return "\n".join((f"end of {log}:", *lines))


def require_running(name: str, process: subprocess.Popen, log: Path) -> None:
    """Check that a process is running.

    :raises AssertionError: if it has exited, with the end of its log.
    """
    code = process.poll()
    if code is not None:
        raise AssertionError(f"{name}: exited with code {code}; {log_tail(log)}")
