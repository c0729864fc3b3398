"""Tests of the reservation of ports for processes under test."""

import contextlib
import socket
import subprocess
import sys

import pytest

from tests.ports import ReservedAddress

RESERVED = 300
#: Ports taken by others.
TAKEN = 6000
_RESET_ON_CLOSE = b"\1" + bytes(7)

LISTEN = {
    "asyncio": """
import asyncio
async def main():
    await asyncio.start_server(lambda *_: None, host, port)
    print("bound", flush=True)
    await asyncio.Event().wait()
asyncio.run(main())
""",
    "socket": """
import socket
sock = socket.create_server((host, port))
print("bound", flush=True)
sock.accept()
sock.accept()
""",
    "pynng": """
import pynng
with pynng.Pull0() as sock:
    sock.listen(f"tcp://{host}:{port}")
    print("bound", flush=True)
    sock.recv()
""",
}


def take_by_bind(listener: socket.socket) -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def take_by_reusing_bind(listener: socket.socket) -> int:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("", 0))
        return sock.getsockname()[1]


def take_by_connection(listener: socket.socket) -> int:
    with socket.create_connection(listener.getsockname()) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        listener.accept()[0].close()
        return sock.getsockname()[1]


@pytest.mark.parametrize(
    "take", [take_by_bind, take_by_reusing_bind, take_by_connection]
)
def test_a_reserved_port_is_given_to_nobody_else(take):
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        addresses = [
            stack.enter_context(ReservedAddress()).address for _ in range(RESERVED)
        ]
        reserved = {int(address.rsplit(":", 1)[1]) for address in addresses}
        assert len(reserved) == RESERVED
        assert not reserved & {take(listener) for _ in range(TAKEN)}


@pytest.mark.parametrize("library", LISTEN)
def test_a_process_binds_a_reserved_port_again_after_it_was_killed(library):
    with ReservedAddress() as reserved:
        host, port = reserved.address.split(":")
        code = f"host, port = {host!r}, {port}\n{LISTEN[library]}"
        for _ in range(3):
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection((host, int(port)))
            process = subprocess.Popen(
                [sys.executable, "-c", code], stdout=subprocess.PIPE
            )
            with process.stdout:
                assert process.stdout.readline() == b"bound\n"
            with socket.create_connection((host, int(port))):
                process.kill()
                process.wait()
