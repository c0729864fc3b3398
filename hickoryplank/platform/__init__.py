"""Adapters to the platform that users run: its names, formats and calls."""
