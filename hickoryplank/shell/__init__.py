"""Tasks, sockets and the composition root around the core."""
