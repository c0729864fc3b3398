"""Listening sockets of an entry."""

import socket

from hickoryplank.addresses import with_bound_port

__all__ = ["LISTEN_BACKLOG", "bound_address", "open_listener"]

#: Length of the accept queue: the connections of some seconds of a burst.
LISTEN_BACKLOG = 512


def open_listener(address: str) -> socket.socket:
    """Return a non-blocking socket that listens on ``address``.

    :param address: ``host:port``; port 0 takes a free one.
    :raises OSError: if the address cannot be bound.
    """
    host, port = address.rsplit(":", 1)
    sock = socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


def bound_address(address: str, sock: socket.socket) -> str:
    """Return ``address`` with the port of the socket that was opened for it."""
    return with_bound_port(address, sock.getsockname()[1])
