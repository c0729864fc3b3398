"""Listening sockets of an entry."""

import socket

__all__ = ["LISTEN_BACKLOG", "open_listener"]

#: Length of the accept queue: the connections of some seconds of a burst.
LISTEN_BACKLOG = 512


def open_listener(address: str) -> socket.socket:
    """Return a non-blocking socket that listens on ``address``.

    :param address: ``host:port``.
    :raises OSError: if the address cannot be bound.
    """
    host, port = address.rsplit(":", 1)
    sock = socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock
