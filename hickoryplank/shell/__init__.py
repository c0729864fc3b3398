"""Imperative shell of a node: tasks, sockets and the composition root."""
