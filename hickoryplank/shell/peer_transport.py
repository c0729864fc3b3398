"""Message transport between nodes over pynng sockets."""

import logging
from collections.abc import Awaitable, Callable

import msgspec
import pynng

from hickoryplank.core.ids import Incarnation
from hickoryplank.core.message_auth import MessageSigner, MessageVerifier
from hickoryplank.core.messages import Envelope, Message

__all__ = ["PeerListener", "PeerTransport"]

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


class PeerListener:
    """Socket that listens for the messages of peers.

    :param address: IP address and port to listen on, as ``host:port``; port 0 takes
        a free one.
    :raises OSError: if the address cannot be bound.
    :ivar port: the port that it listens on.
    """

    def __init__(self, address: str):
        self._socket = pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES)
        try:
            listener = self._socket.listen(f"tcp://{address}")
        except pynng.NNGException as exc:
            self._socket.close()
            raise OSError(f"cannot listen for peers on {address}: {exc}") from exc
        self.port = int(str(listener.local_address).rsplit(":", 1)[1])

    async def receive(self) -> bytes:
        """Return the next message."""
        return await self._socket.arecv()

    def close(self) -> None:
        """Stop listening, and close the connections of peers."""
        self._socket.close()


class PeerTransport:
    """Sends messages to peers without blocking, and receives their messages.

    Any message may be lost. A sender that needs an answer has to retry or to time
    out.

    :param listener: receives the messages of peers; ``serve`` closes it at its end.
    :param secret: authenticates messages between the nodes.
    :ivar dropped: the number of messages that could not be queued for sending.
    :ivar refused: the number of received messages that failed verification.
    """

    def __init__(self, listener: PeerListener, secret: bytes, incarnation: Incarnation):
        self._listener = listener
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

    async def serve(self, handler: MessageHandler) -> None:
        """Receive messages until cancelled; drop those that fail verification."""
        try:
            while True:
                await self._receive(await self._listener.receive(), handler)
        finally:
            self._listener.close()

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
