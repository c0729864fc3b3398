"""Benchmarks that drive the decisions of the core in virtual time."""
