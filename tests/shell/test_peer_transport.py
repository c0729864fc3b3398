"""Tests of the message transport between nodes."""

import anyio
import pytest

from hickoryplank.core.ids import Incarnation
from hickoryplank.core.messages import Heartbeat
from hickoryplank.shell.peer_transport import PeerListener, PeerTransport

pytestmark = pytest.mark.anyio
SECRET = b"secret"


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_message_that_a_handler_fails_on_does_not_end_the_transport(caplog):
    listeners = [PeerListener("127.0.0.1:0") for _ in range(2)]
    receiver = PeerTransport(listeners[0], SECRET, Incarnation(2))
    sender = PeerTransport(listeners[1], SECRET, Incarnation(1))
    received = []

    async def handle(envelope):
        if envelope.message.confirmed == 1:
            raise KeyError("unexpected")
        received.append(envelope.message.confirmed)

    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            group.start_soon(receiver.serve, handle)
            sender.connect({Incarnation(2): f"127.0.0.1:{listeners[0].port}"})
            for confirmed in range(3):
                while not sender.send(Incarnation(2), Heartbeat(confirmed, False)):
                    await anyio.sleep(0.02)
            while len(received) < 2:
                await anyio.sleep(0.02)
            group.cancel_scope.cancel()
    assert received == [0, 2]
    assert any("Heartbeat" in record.message for record in caplog.records)
    sender.close()
    receiver.close()
    listeners[1].close()
