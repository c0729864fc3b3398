"""Tests of the message transport between nodes."""

import anyio
import pytest

from hickoryplank.core.ids import Incarnation
from hickoryplank.core.messages import Heartbeat
from hickoryplank.shell.peer_transport import PeerTransport
from tests.ports import ReservedAddress

pytestmark = pytest.mark.anyio
SECRET = b"secret"


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def address():
    with ReservedAddress() as reserved:
        yield reserved.address


async def test_message_that_a_handler_fails_on_does_not_end_the_transport(
    address, caplog
):
    receiver = PeerTransport(address, SECRET, Incarnation(2))
    sender = PeerTransport(address, SECRET, Incarnation(1))
    received = []

    async def handle(envelope):
        if envelope.message.confirmed == 1:
            raise KeyError("unexpected")
        received.append(envelope.message.confirmed)

    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            await group.start(receiver.serve, handle)
            sender.connect({Incarnation(2): address})
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
