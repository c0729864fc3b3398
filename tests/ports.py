"""Ports of loopback that are reserved until a process under test binds them."""

import socket

__all__ = ["ReservedAddress"]


class ReservedAddress:
    """An address on loopback that nobody else is given while this object is open.

    The socket is bound and never listens. Linux gives its port to no outgoing
    connection and to no bind to port 0. A listener with ``SO_REUSEADDR`` that names
    the port can bind it, also again after its process was killed; without one,
    connections are refused.

    :ivar address: the address, as ``host:port``.
    """

    def __init__(self):
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._sock.getsockname())

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self.close()

    def close(self) -> None:
        """Give the port back."""
        self._sock.close()
