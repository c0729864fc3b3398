"""The command ``entry``: settings, the callers' socket, and then all the rest.

After a loss of power all entries start at once, and callers' tries are few. The
socket listens before the libraries are loaded, which takes most of the start, so
that callers wait instead of being turned away.
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

#: Variable that holds the path of the settings file.
SETTINGS_VARIABLE = "HICKORYPLANK_CONFIG"


def main(argv: Sequence[str] | None = None) -> int:
    """Run an entry until it is told to stop; return its exit code."""
    parser = argparse.ArgumentParser(prog="hickoryplank entry")
    parser.add_argument(
        "file", nargs="?", help=f"settings; by default the path in {SETTINGS_VARIABLE}"
    )
    args = parser.parse_args(argv)
    path = args.file or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        sys.stderr.write(f"no settings file, and {SETTINGS_VARIABLE} isn't set\n")
        return 2
    match load_entry_settings(Path(path)):
        case Err(fault):
            sys.stderr.write(fault + "\n")
            return 2
        case Ok(cfg):
            return _run(cfg)


def _run(cfg: EntrySettings) -> int:
    try:
        callers = open_listener(cfg.callers)
    except OSError as exc:
        sys.stderr.write(f"callers' address {cfg.callers}: {exc}\n")
        return 1
    # The HTTP library makes a TLS context when it is imported. An entry speaks plain
    # HTTP, so the system's certificates needn't be read.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)
    # Imports make objects that stay, which collections would go through again and
    # again.
    gc.disable()
    from hickoryplank.entry import run_entry

    gc.freeze()
    gc.enable()
    run_entry(cfg, callers)
    return 0
