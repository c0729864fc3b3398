"""The ``entry`` command: reads the settings, binds the callers' socket, then serves.

After a power loss all entries start at once, and callers make few attempts. The
socket is bound before the libraries are loaded, which takes most of the start-up
time, so that callers wait in the accept queue instead of being refused.
"""

import argparse
import gc
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from result import Err, Ok

from hickoryplank.entry_settings import EntrySettings, load_entry_settings
from hickoryplank.entry_socket import open_listener

__all__ = ["main"]

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "HICKORYPLANK_CONFIG"


def main(argv: Sequence[str] | None = None) -> int:
    """Run an entry until it receives SIGTERM and return the exit code."""
    parser = argparse.ArgumentParser(prog="hickoryplank entry")
    parser.add_argument(
        "file", nargs="?", help=f"settings file (default: path in {SETTINGS_VARIABLE})"
    )
    args = parser.parse_args(argv)
    path = args.file or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        sys.stderr.write(f"no settings file given and {SETTINGS_VARIABLE} is not set\n")
        return 2
    match load_entry_settings(Path(path)):
        case Err(fault):
            sys.stderr.write(fault + "\n")
            return 2
        case Ok(cfg):
            return _run(cfg)


def _run(cfg: EntrySettings) -> int:
    try:
        callers_socket = open_listener(cfg.callers)
    except OSError as exc:
        sys.stderr.write(f"cannot listen for callers on {cfg.callers}: {exc}\n")
        return 1
    # The HTTP library creates a TLS context on import. An entry uses plain HTTP only,
    # so loading the system's CA certificates is avoided.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)
    # Imports create long-lived objects, which each garbage collection would traverse
    # again.
    gc.disable()
    from hickoryplank.entry import run_entry

    gc.freeze()
    gc.enable()
    run_entry(cfg, callers_socket)
    return 0
