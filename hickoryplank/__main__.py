"""Entry point of the program: ``python -m hickoryplank``."""

import sys

from hickoryplank.cli import main

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
