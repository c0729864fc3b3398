"""A TCP forwarder that can cut or freeze what passes through it."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65536


class Proxy:
    """Forwards connections to ``target`` from a free port of loopback.

    While it is cut, connections are closed and new ones too; while it is frozen,
    they stay open and nothing passes.
    """

    def __init__(self, target: str):
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))
        self._server = socket.create_server(("127.0.0.1", 0))
        self._open: set[socket.socket] = set()
        self._passing = threading.Event()
        self._passing.set()
        self._cut = False
        self.address = "{}:{}".format(*self._server.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Close every connection, and each new one at once."""
        self._cut = True
        for sock in list(self._open):
            self._drop(sock)

    def freeze(self) -> None:
        """Hold back everything, with all connections open."""
        self._passing.clear()

    def mend(self) -> None:
        """Forward again."""
        self._cut = False
        self._passing.set()

    def close(self) -> None:
        """End all forwarding."""
        self.cut()
        self._passing.set()
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
        for pair in ((near, far), (far, near)):
            threading.Thread(target=self._pump, args=pair, daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                self._passing.wait()
                sink.sendall(data)
        self._drop(source)
        self._drop(sink)

    def _drop(self, sock: socket.socket) -> None:
        self._open.discard(sock)
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()
