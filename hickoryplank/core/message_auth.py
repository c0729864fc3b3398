"""Authentication of peer messages and protection against replay."""

import hashlib
import hmac

import msgspec
from result import Err, Ok, Result

from hickoryplank.core.ids import Incarnation
from hickoryplank.core.messages import Envelope, Message

__all__ = ["DIGEST_BYTES", "InvalidMessage", "MessageVerifier", "MessageSigner"]

DIGEST_BYTES = 16

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


class InvalidMessage(msgspec.Struct, frozen=True):
    """Reason for which a received message is discarded."""

    detail: str


def _digest(secret: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=secret, digest_size=DIGEST_BYTES).digest()


class MessageSigner:
    """Signs the messages that one incarnation sends to its peers.

    :param secret: the key that all nodes of a deployment share, at most 64 bytes.
    """

    def __init__(self, secret: bytes, sender: Incarnation):
        self._secret = secret
        self._sender = sender
        self._sequences: dict[Incarnation, int] = {}

    def sign(self, receiver: Incarnation, message: Message) -> bytes:
        """Return ``message`` in a signed envelope for ``receiver``."""
        sequence = self._sequences.get(receiver, 0) + 1
        self._sequences[receiver] = sequence
        payload = _ENCODER.encode(Envelope(self._sender, receiver, sequence, message))
        return _digest(self._secret, payload) + payload


class MessageVerifier:
    """Verifies the messages that one incarnation receives.

    :param secret: the key that all nodes of a deployment share, at most 64 bytes.
    """

    def __init__(self, secret: bytes, receiver: Incarnation):
        self._secret = secret
        self._receiver = receiver
        self._sequences: dict[Incarnation, int] = {}

    def verify(self, data: bytes) -> Result[Envelope, InvalidMessage]:
        """Return the envelope in ``data``.

        A message is discarded if its digest does not match, if it is meant for
        another incarnation, or if its sequence number is not higher than the last
        one from the same sender.
        """
        payload = data[DIGEST_BYTES:]
        if not hmac.compare_digest(data[:DIGEST_BYTES], _digest(self._secret, payload)):
            return Err(InvalidMessage("message digest does not match"))
        try:
            envelope = _DECODER.decode(payload)
        except msgspec.DecodeError as exc:
            return Err(InvalidMessage(f"message cannot be decoded: {exc}"))
        if envelope.receiver != self._receiver:
            return Err(InvalidMessage("message is addressed to another incarnation"))
        if envelope.sequence <= self._sequences.get(envelope.sender, 0):
            return Err(InvalidMessage("message repeats an earlier sequence number"))
        self._sequences[envelope.sender] = envelope.sequence
        return Ok(envelope)
