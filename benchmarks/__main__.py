"""Run all benchmarks, or those named, and print each figure as a JSON line."""

import argparse
import sys
from importlib import import_module

import msgspec

#: Modules of this package that define ``figures() -> Iterator[Figure]``.
MODULES = (
    "shares",
    "placement",
    "routing",
    "decisions",
    "maintenance",
    "moves",
    "capacity",
    "large_jobs",
    "edge",
)


def main() -> None:
    """Run the benchmarks that the command line names."""
    parser = argparse.ArgumentParser(prog="benchmarks", description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help=", ".join(MODULES))
    names = parser.parse_args().names
    unknown = sorted(set(names) - set(MODULES))
    if unknown:
        parser.error(f"unknown benchmark {', '.join(unknown)}")
    for name in names or MODULES:
        for figure in import_module(f"benchmarks.{name}").figures():
            sys.stdout.write(msgspec.json.encode(figure).decode() + "\n")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
