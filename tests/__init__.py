"""Tests, mirroring the layout of the package."""
