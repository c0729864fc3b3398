"""Narrow interfaces to the platform, each with an in-memory and a real version."""
