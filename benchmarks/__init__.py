"""Benchmarks of the decision logic and of entries, run on one machine."""
