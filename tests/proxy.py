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
        self._connections: set[socket.socket] = set()
        self._blackholed: set[socket.socket] = set()
        self._forwarding_enabled = {
            direction: threading.Event() for direction in Direction
        }
        self._cut = False
        self.delay_s = 0.0
        self.restore()
        self.address = "{}:{}".format(*self._server.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Close all connections, and each new one on accept."""
        self._cut = True
        self._close_all()

    def freeze(self, *directions: Direction) -> None:
        """Stop forwarding in the given or both directions, keeping connections open."""
        for direction in directions or Direction:
            self._forwarding_enabled[direction].clear()

    def reset(self) -> None:
        """Reset all connections; new ones are forwarded."""
        for sock in list(self._connections):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self._close_all()

    def blackhole(self) -> None:
        """Discard all further data on the open connections; new ones are forwarded."""
        self._blackholed |= self._connections

    def restore(self) -> None:
        """End all faults except the discarding of data on affected connections."""
        self._cut = False
        self.delay_s = 0.0
        for enabled in self._forwarding_enabled.values():
            enabled.set()

    def close(self) -> None:
        """Close the listener and all connections."""
        self.cut()
        for enabled in self._forwarding_enabled.values():
            enabled.set()
        self._server.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                client_sock, _ = self._server.accept()
                if self._cut:
                    client_sock.close()
                    continue
                with contextlib.suppress(OSError):
                    self._start_forwarding(
                        client_sock, socket.create_connection(self._target)
                    )

    def _start_forwarding(
        self, client_sock: socket.socket, target_sock: socket.socket
    ) -> None:
        self._connections |= {client_sock, target_sock}
        for pair in (
            (client_sock, target_sock, Direction.TO_TARGET),
            (target_sock, client_sock, Direction.FROM_TARGET),
        ):
            threading.Thread(target=self._forward, args=pair, daemon=True).start()

    def _forward(
        self, source: socket.socket, destination: socket.socket, direction: Direction
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                time.sleep(self.delay_s)
                self._forwarding_enabled[direction].wait()
                if source not in self._blackholed:
                    destination.sendall(data)
        self._close_socket(source)
        self._close_socket(destination)

    def _close_all(self) -> None:
        for sock in list(self._connections):
            self._close_socket(sock)

    def _close_socket(self, sock: socket.socket) -> None:
        self._connections.discard(sock)
        self._blackholed.discard(sock)
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()
