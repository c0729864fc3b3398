"""Test configuration: Hypothesis gives the same verdict in every run.

Tests in KNOWN-RED.txt run, and are shown, but don't fail the run.
"""

import pytest
from hypothesis import settings

from tests.known_red import LIST, known_red

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that are known to fail."""
    named = known_red(LIST.read_text()) if LIST.exists() else frozenset()
    for item in items:
        if item.nodeid in named:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
