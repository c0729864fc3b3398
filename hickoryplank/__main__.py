"""Program entry point: ``python -m hickoryplank``."""

import sys

__all__ = ["main"]


def main() -> int:
    """Run the command given on the command line and return its exit code.

    ``entry`` is dispatched first, so that an entry starts without importing the
    operator commands.
    """
    if sys.argv[1:2] == ["entry"]:
        from hickoryplank.entry_start import main as entry_main

        return entry_main(sys.argv[2:])
    from hickoryplank.cli import main as cli_main

    return cli_main()


if __name__ == "__main__":
    sys.exit(main())
