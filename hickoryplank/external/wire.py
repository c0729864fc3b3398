"""HTTP header names and message bodies of the platform's services."""

from urllib.parse import quote, unquote

import msgspec

__all__ = [
    "ATTEMPT_HEADER",
    "BOOT_HEADER",
    "INTERRUPTED_HEADER",
    "LEASE_HEADER",
    "LENGTH_HEADER",
    "NO_EFFECT_HEADER",
    "REFUSAL_HEADER",
    "REQUEST_HEADER",
    "START_BY_HEADER",
    "TASK_HEADER",
    "Appended",
    "RebootRequest",
    "Renewal",
    "from_header",
    "to_header",
]

REQUEST_HEADER = "hickoryplank-request"
LENGTH_HEADER = "hickoryplank-length"
NO_EFFECT_HEADER = "hickoryplank-no-effect"
TASK_HEADER = "hickoryplank-task"
ATTEMPT_HEADER = "hickoryplank-attempt"
BOOT_HEADER = "hickoryplank-boot"
START_BY_HEADER = "hickoryplank-start-by"
LEASE_HEADER = "hickoryplank-lease"
REFUSAL_HEADER = "hickoryplank-refusal"
INTERRUPTED_HEADER = "hickoryplank-interrupted"


class Appended(msgspec.Struct, frozen=True):
    """Response to an append."""

    offset: int


class RebootRequest(msgspec.Struct, frozen=True):
    """Body of a request to reboot a VM.

    :param generation: generation to end; ``None`` for any.
    """

    vm: str
    generation: int | None = None


class Renewal(msgspec.Struct, frozen=True):
    """Body of a request to renew a lease.

    :param lease: duration from now, in seconds.
    """

    attempt: int
    lease: float


def to_header(text: str) -> str:
    """Percent-encode ``text`` for use as a header value."""
    return quote(text, safe="")


def from_header(value: str) -> str:
    """Decode a header value that :func:`to_header` encoded."""
    return unquote(value)
