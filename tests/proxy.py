"""TCP proxy for fault injection."""

import contextlib
import socket
import struct
import threading
import time
from enum import Enum

CHUNK_BYTES = 65536
#: Value of ``SO_LINGER`` with which a close resets the connection.
_NO_LINGER = struct.pack("ii", 1, 0)


class Direction(Enum):
    """Direction of forwarded data."""

    TO_TARGET = "there"
    FROM_TARGET = "back"


class Proxy:
    """Forwards connections from a free loopback port to ``target``.

    While the proxy is cut, existing and new connections are closed. While it is
    frozen, connections stay open and no data is forwarded.

    :param target: address that connections are forwarded to, as ``host:port``.
    :ivar address: listen address of the proxy, as ``host:port``.
    :ivar delay_s: delay of each forwarded chunk, in seconds.
    """

    def __init__(self, target: str):
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))
        self._server = socket.create_server(("127.0.0.1", 0))
        self._open: set[socket.socket] = set()
        self._silent: set[socket.socket] = set()
        self._passing = {way: threading.Event() for way in Direction}
        self._cut = False
        self.delay_s = 0.0
        self.restore()
        self.address = "{}:{}".format(*self._server.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Close all connections, and each new one on accept."""
        self._cut = True
        self._drop_all()

    def freeze(self, *ways: Direction) -> None:
        """Stop forwarding in the given or both directions, keeping connections open."""
        for way in ways or Direction:
            self._passing[way].clear()

    def reset(self) -> None:
        """Reset all connections; new ones are forwarded."""
        for sock in list(self._open):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self._drop_all()

    def blackhole(self) -> None:
        """Discard all further data on the open connections; new ones are forwarded."""
        self._silent |= self._open

    def restore(self) -> None:
        """End all faults except the discarding of data on affected connections."""
        self._cut = False
        self.delay_s = 0.0
        for passing in self._passing.values():
            passing.set()

    def close(self) -> None:
        """Close the listener and all connections."""
        self.cut()
        for passing in self._passing.values():
            passing.set()
        self._server.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._server.accept()
                if self._cut:
                    near.close()
                    continue
                with contextlib.suppress(OSError):
                    self._join(near, socket.create_connection(self._target))

    def _join(self, near: socket.socket, far: socket.socket) -> None:
        self._open |= {near, far}
        for pair in (
            (near, far, Direction.TO_TARGET),
            (far, near, Direction.FROM_TARGET),
        ):
            threading.Thread(target=self._pump, args=pair, daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket, way: Direction) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                time.sleep(self.delay_s)
                self._passing[way].wait()
                if source not in self._silent:
                    sink.sendall(data)
        self._drop(source)
        self._drop(sink)

    def _drop_all(self) -> None:
        for sock in list(self._open):
            self._drop(sock)

    def _drop(self, sock: socket.socket) -> None:
        self._open.discard(sock)
        self._silent.discard(sock)
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()
