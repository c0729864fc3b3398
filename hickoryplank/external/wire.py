"""Header names and message bodies of the platform's HTTP interfaces."""

from urllib.parse import quote, unquote

import msgspec

__all__ = [
    "ATTEMPT",
    "BOOT",
    "INTERRUPTED",
    "LEASE",
    "LENGTH",
    "NO_EFFECT",
    "REFUSAL",
    "REQUEST",
    "START_BY",
    "TASK",
    "Appended",
    "RebootRequest",
    "Renewal",
    "from_header",
    "to_header",
]

REQUEST = "hickoryplank-request"
LENGTH = "hickoryplank-length"
NO_EFFECT = "hickoryplank-no-effect"
TASK = "hickoryplank-task"
ATTEMPT = "hickoryplank-attempt"
BOOT = "hickoryplank-boot"
START_BY = "hickoryplank-start-by"
LEASE = "hickoryplank-lease"
REFUSAL = "hickoryplank-refusal"
INTERRUPTED = "hickoryplank-interrupted"


class Appended(msgspec.Struct, frozen=True):
    """Answer to an append."""

    offset: int


class RebootRequest(msgspec.Struct, frozen=True):
    """Body of a request to reboot a VM.

    :param generation: the generation to end; ``None`` ends any.
    """

    vm: str
    generation: int | None = None


class Renewal(msgspec.Struct, frozen=True):
    """Body of a request to extend a lease.

    :param lease: seconds from now.
    """

    attempt: int
    lease: float


def to_header(text: str) -> str:
    """Return any text as a header value."""
    return quote(text, safe="")


def from_header(value: str) -> str:
    """Return the text of a header value that :func:`to_header` made."""
    return unquote(value)
