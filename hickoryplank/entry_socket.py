"""Sockets that an entry listens on."""

import socket

__all__ = ["BACKLOG", "open_listener"]

#: Connections that wait to be accepted: those of some seconds of a burst.
BACKLOG = 512


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens at ``host:port``.

    :raises OSError: the address can't be had.
    """
    host, port = address.rsplit(":", 1)
    sock = socket.create_server((host, int(port)), backlog=BACKLOG)
    sock.setblocking(False)
    return sock
