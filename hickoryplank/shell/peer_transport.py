"""Message transport between nodes over pynng sockets."""

import logging
from collections.abc import Awaitable, Callable

import anyio
import msgspec
import pynng

from hickoryplank.core.ids import Incarnation
from hickoryplank.core.message_auth import MessageSigner, MessageVerifier
from hickoryplank.core.messages import Envelope, Message

__all__ = ["PeerTransport"]

logger = logging.getLogger(__name__)

SEND_QUEUE_MESSAGES = 4096
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500

MessageHandler = Callable[[Envelope], Awaitable[None]]


class _Connection(msgspec.Struct):
    """The connection to one peer."""

    address: str
    socket: pynng.Push0


class PeerTransport:
    """Sends messages to peers without blocking, and receives their messages.

    Any message may be lost. A sender that needs an answer has to retry or to time
    out.

    :param listen: IP address and port to listen on, as ``host:port``.
    :param secret: authenticates messages between the nodes.
    :ivar dropped: the number of messages that could not be queued for sending.
    :ivar refused: the number of received messages that failed verification.
    """

    def __init__(self, listen: str, secret: bytes, incarnation: Incarnation):
        self._listen = listen
        self._signer = MessageSigner(secret, incarnation)
        self._verifier = MessageVerifier(secret, incarnation)
        self._connections: dict[Incarnation, _Connection] = {}
        self.dropped = 0
        self.refused = 0

    def connect(self, addresses: dict[Incarnation, str]) -> None:
        """Connect to the peers in ``addresses``, and close all other connections."""
        for peer in set(self._connections) - set(addresses):
            self._connections.pop(peer).socket.close()
        for peer, address in addresses.items():
            if peer not in self._connections:
                self._connections[peer] = _Connection(address, _dial_socket(address))

    def redial(self, peer: Incarnation) -> None:
        """Replace the connection to a peer that has become silent."""
        connection = self._connections.get(peer)
        if connection is not None:
            connection.socket.close()
            connection.socket = _dial_socket(connection.address)

    def send(self, peer: Incarnation, message: Message) -> bool:
        """Queue ``message`` for ``peer``; return whether it was queued."""
        connection = self._connections.get(peer)
        if connection is None:
            return False
        try:
            connection.socket.send(self._signer.sign(peer, message), block=False)
        except pynng.NNGException:
            self.dropped += 1
            return False
        return True

    def broadcast(self, message: Message) -> None:
        """Queue ``message`` for every peer."""
        for peer in list(self._connections):
            self.send(peer, message)

    async def serve(
        self,
        handler: MessageHandler,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Receive messages until cancelled; drop those that fail verification."""
        with pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES) as socket:
            socket.listen(f"tcp://{self._listen}")
            task_status.started()
            while True:
                await self._receive(await socket.arecv(), handler)

    async def _receive(self, data: bytes, handler: MessageHandler) -> None:
        verified = self._verifier.verify(data)
        if verified.is_err():
            self.refused += 1
            logger.warning(
                "peer message failed verification and is dropped: %s",
                verified.unwrap_err().detail,
            )
            return
        envelope = verified.unwrap()
        try:
            await handler(envelope)
        except Exception as exc:
            # One message must not end the transport, and with it the process.
            logger.error(
                "peer message %s failed unexpectedly and is dropped: %r",
                type(envelope.message).__name__,
                exc,
                exc_info=True,
            )

    def close(self) -> None:
        """Close all connections."""
        self.connect({})


def _dial_socket(address: str) -> pynng.Push0:
    socket = pynng.Push0(
        send_buffer_size=SEND_QUEUE_MESSAGES,
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
    )
    socket.dial(f"tcp://{address}", block=False)
    return socket
