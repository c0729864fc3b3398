"""Faults for which a record or an edit set is refused."""

from enum import Enum

import msgspec

from hickoryplank.core.objects import Ref

__all__ = ["Fault", "FaultCode", "Refusal"]


class FaultCode(Enum):
    """Machine-readable cause of a fault."""

    DUPLICATE = "duplicate"
    CONFLICT = "conflict"
    EMPTY = "empty"
    BAD_NAME = "bad_name"
    BAD_VALUE = "bad_value"
    MISSING_REFERENCE = "missing_reference"
    STILL_REFERENCED = "still_referenced"
    SHARE_OVER_TOTAL = "share_over_total"
    BUDGET = "budget"
    IN_SERVICE = "in_service"
    WRONG_STATE = "wrong_state"
    STALE = "stale"
    NOT_LIVE = "not_live"
    NOT_HOLDER = "not_holder"
    NO_UNITS = "no_units"
    CLAIMED = "claimed"
    REQUEST_MISMATCH = "request_mismatch"
    SETTLED = "settled"
    PROOF_MISSING = "proof_missing"


class Fault(msgspec.Struct, frozen=True):
    """One fault of a record or an edit set.

    :param message: what is wrong and, where it helps, what would be accepted.
    :param ref: the configuration object at fault, if there is one.
    :param key: the field of that object at fault; empty for the whole object.
    """

    code: FaultCode
    message: str
    ref: Ref | None = None
    key: str = ""


class Refusal(msgspec.Struct, frozen=True):
    """The refusal of a record, with every fault found in it."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "; ".join(fault.message for fault in self.faults)
