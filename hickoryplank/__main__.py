"""Entry point of the program: ``python -m hickoryplank``."""

import gc
import os
import sys

__all__ = ["main"]


def main() -> int:
    """Run the command that the arguments name.

    ``entry`` is kept apart, so that an entry starts without the imports of the
    operators' commands.
    """
    if sys.argv[1:2] == ["entry"]:
        return _run_entry(sys.argv[2:])
    from hickoryplank.cli import main as cli_main

    return cli_main()


def _run_entry(argv: list[str]) -> int:
    """Start an entry fast: all are down together after a loss of power."""
    # The HTTP library makes a TLS context when it is imported. An entry speaks plain
    # HTTP, so the system's certificates needn't be read.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)
    # Imports make objects that stay, which collections would go through again and
    # again.
    gc.disable()
    from hickoryplank.entry import main as entry_main

    gc.freeze()
    gc.enable()
    return entry_main(argv)


if __name__ == "__main__":
    sys.exit(main())
