"""Entries as separate processes, and proxies in front of them and of the platform."""

import asyncio
import contextlib
import os
import random
import re
import signal
import socket
import struct
import subprocess
import time
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
_NO_LINGER = struct.pack("ii", 1, 0)
#: The settings that the platform fills in, for a small deployment.
BOUNDS = {
    "limits.cpu_share": "0.537",
    "limits.cores": "2",
    "limits.link_mbps": "1000.0",
    "bounds.grace_s": "6",
    "bounds.hold_max_ms": "6000",
    "bounds.stop_grace_ms": "900",
    "bounds.migrate_s": "1.5",
    "bounds.maintenance_s": "2",
    "bounds.lease_ms": "3000",
    "bounds.status_s": "120",
    "cloud_api.duty_per_s": "64.0",
    "platform.record_bytes": "262144",
    "platform.call_bytes": "2097152",
    "advice": "",
}


def free_ports(count: int) -> list[int]:
    """Return free loopback ports, of those that no outgoing connection gets."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randint(20000, 32000)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            if port not in ports:
                ports.append(port)
    return ports


def fill_in(template: str, values: dict[str, str]) -> str:
    """Fill in a settings template as the platform does, as far as ours needs it."""

    def section(match: re.Match[str]) -> str:
        return match.group(2) if values.get(match.group(1)) else ""

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([^}]+)\}\}", lambda one: values.get(one.group(1), ""), text)


class Entry:
    """One entry process, as the deploy file starts it.

    :ivar output: file descriptor for its standard output; none for a file.
    """

    def __init__(self, folder: Path, name: str, store: str, cloud: str):
        self.name = name
        self.folder = folder
        self.output: int | None = None
        callers, readiness, peers, metrics = free_ports(4)
        self.callers = f"127.0.0.1:{callers}"
        self.readiness = f"127.0.0.1:{readiness}"
        values = BOUNDS | {
            "node": name,
            "ip": "127.0.0.1",
            "listen.front": self.callers,
            "listen.readiness": self.readiness,
            "port_range.0": str(peers),
            "port_range.1": str(metrics),
            "platform.address": store,
            "cloud_api.address": cloud,
        }
        self._settings = folder / f"{name}.ini"
        template = (REPOSITORY / "deploy" / "entry.ini").read_text()
        self._settings.write_text(fill_in(template, values))
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "HICKORYPLANK_CONFIG": str(self._settings),
            "LANG": "C.UTF-8",
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "hickoryplank", "entry"],
                cwd=REPOSITORY,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log if self.output is None else self.output,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        """End the process."""
        if self.running:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Proxy:
    """Forwards connections to ``target``; a partition holds what is sent meanwhile.

    Held bytes are delivered after the partition, unless their sender has reset the
    connection, as DEPLOY.md says.
    """

    def __init__(self, target: str):
        host, port = target.rsplit(":")
        self._target = (host, int(port))
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.address = ""
        self.held_bytes = 0

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def cut(self) -> None:
        """Begin a partition."""
        self._open.clear()

    def heal(self) -> None:
        """End the partition."""
        self._open.set()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        try:
            if not self._open.is_set() and not await self._finish_handshake(reader):
                return
            upstream = await asyncio.open_connection(*self._target)
            await self._forward_both(reader, writer, *upstream)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self._tasks.discard(asyncio.current_task())

    async def _finish_handshake(self, reader) -> bool:
        """Wait for the end of the partition; return whether the caller has waited too.

        Nothing is sent on a connection before its handshake, which a partition holds
        up: what a caller that has given up has written here never left its machine.
        """
        await self._open.wait()
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(0.01):
                await reader.read(0)
        return not (reader.at_eof() or getattr(reader, "_eof", False))

    async def _forward_both(self, reader, writer, up_reader, up_writer) -> None:
        forth = asyncio.create_task(self._forward(reader, up_writer))
        back = asyncio.create_task(self._forward(up_reader, writer))
        self._tasks |= {forth, back}
        try:
            # What the caller has sent is delivered, also if it has closed since.
            await forth
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(back, 1.0)
        finally:
            back.cancel()
            self._tasks -= {forth, back}
            up_writer.close()

    async def _forward(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if not self._open.is_set():
                    self.held_bytes += len(data)
                    await self._open.wait()
                    if reader.exception() is not None:
                        # The sender has reset the connection: the bytes are lost.
                        writer.transport.abort()
                        return
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()


async def wait_for(condition, seconds: float, what: str) -> None:
    """Wait until a condition holds.

    :raises RuntimeError: if it doesn't hold in time; the case can't run then.
    """
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise RuntimeError(f"timed out: {what}")
        await asyncio.sleep(0.02)
