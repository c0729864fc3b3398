"""Keyed digests that keep strangers' and replayed messages out."""

import hashlib
import hmac

import msgspec
from result import Err, Ok, Result

from hickoryplank.core.ids import Incarnation
from hickoryplank.core.messages import Envelope, Message

__all__ = ["DIGEST_BYTES", "BadSeal", "MessageVerifier", "MessageSigner"]

DIGEST_BYTES = 16

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


class BadSeal(msgspec.Struct, frozen=True):
    """A message that is not taken, and why."""

    detail: str


def _digest(secret: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=secret, digest_size=DIGEST_BYTES).digest()


class MessageSigner:
    """Seals the messages of one incarnation to its peers.

    :param secret: the secret that all nodes of a deployment share, at most 64
        bytes.
    """

    def __init__(self, secret: bytes, sender: Incarnation):
        self._secret = secret
        self._sender = sender
        self._sequences: dict[Incarnation, int] = {}

    def sign(self, receiver: Incarnation, message: Message) -> bytes:
        """Return the bytes that carry ``message`` to ``receiver``."""
        sequence = self._sequences.get(receiver, 0) + 1
        self._sequences[receiver] = sequence
        payload = _ENCODER.encode(Envelope(self._sender, receiver, sequence, message))
        return _digest(self._secret, payload) + payload


class MessageVerifier:
    """Opens messages that are meant for one incarnation."""

    def __init__(self, secret: bytes, receiver: Incarnation):
        self._secret = secret
        self._receiver = receiver
        self._sequences: dict[Incarnation, int] = {}

    def verify(self, data: bytes) -> Result[Envelope, BadSeal]:
        """Return the envelope in ``data``, if it is genuine, new and for us."""
        payload = data[DIGEST_BYTES:]
        if not hmac.compare_digest(data[:DIGEST_BYTES], _digest(self._secret, payload)):
            return Err(BadSeal("the digest does not match"))
        try:
            envelope = _DECODER.decode(payload)
        except msgspec.DecodeError as exc:
            return Err(BadSeal(f"the payload is damaged: {exc}"))
        if envelope.receiver != self._receiver:
            return Err(BadSeal("the message is for another incarnation"))
        if envelope.sequence <= self._sequences.get(envelope.sender, 0):
            return Err(BadSeal("the message is a repeat"))
        self._sequences[envelope.sender] = envelope.sequence
        return Ok(envelope)
