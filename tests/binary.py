"""Builds the program as a single file from the installed libraries, offline."""

import argparse
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
BUILD_TIMEOUT_SECONDS = 300


def build(output: Path) -> None:
    """Build the program with the libraries of the environment into ``output``."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text("utf-8"))["project"]
    output.parent.mkdir(parents=True, exist_ok=True)
    command = [
        *(sys.executable, "-m", "pex", *project["dependencies"]),
        *("--venv-repository", sys.prefix, "--pre"),
        *("--package", "hickoryplank", "--entry-point", "hickoryplank.__main__:main"),
        *("--python-shebang", "/usr/bin/env python3.11"),
        *("--no-compress", "--output-file", str(output)),
    ]
    subprocess.run(command, cwd=ROOT, check=True, timeout=BUILD_TIMEOUT_SECONDS)


def main() -> None:
    """Build the binary at the path given on the command line."""
    parser = argparse.ArgumentParser(prog="tests.binary", description=__doc__)
    parser.add_argument("output", type=Path)
    build(parser.parse_args().output)


if __name__ == "__main__":
    main()
