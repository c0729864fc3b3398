"""Tests listed in KNOWN-RED.txt, which may fail without failing the run."""

from pathlib import Path

__all__ = ["LIST", "known_red"]

#: The list, at the root of the repository.
LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
_FIELD = "test:"


def known_red(text: str) -> frozenset[str]:
    """Return the ids of the tests that a list names."""
    lines = (line.strip() for line in text.splitlines())
    return frozenset(
        line.removeprefix(_FIELD).strip() for line in lines if line.startswith(_FIELD)
    )
