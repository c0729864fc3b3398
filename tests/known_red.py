"""Parsing of KNOWN-RED.txt, the list of tests that may fail."""

from pathlib import Path

__all__ = ["KNOWN_RED_PATH", "parse_known_red"]

#: Path of the list, at the root of the repository.
KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
_FIELD = "test:"


def parse_known_red(text: str) -> frozenset[str]:
    """Return the test ids in the text of a list."""
    lines = (line.strip() for line in text.splitlines())
    return frozenset(
        line.removeprefix(_FIELD).strip() for line in lines if line.startswith(_FIELD)
    )
