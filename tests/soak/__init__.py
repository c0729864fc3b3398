"""Soak test of entry processes with fault injection."""
