"""Replicated state and decision logic, free of I/O."""
