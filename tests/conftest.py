"""Test configuration: Hypothesis gives the same verdict in every run."""

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")
