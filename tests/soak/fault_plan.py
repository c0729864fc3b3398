"""What a seed injects, and when."""

import random
from dataclasses import dataclass
from enum import Enum

__all__ = ["ENTRIES", "LENGTH_SECONDS", "Fault", "FaultKind", "draw_faults"]

ENTRIES = 3
#: Time over which faults begin, in seconds.
LENGTH_SECONDS = 10.0
#: Faults of one seed; they come every second or so, and overlap.
LEAST_FAULTS = 5
MOST_FAULTS = 11
#: Part of the faults that come right after the one before.
SERIES_PART = 0.3


class FaultKind(Enum):
    """What is done, to one entry where it isn't said otherwise."""

    KILL = "kill"
    KILL_HOLDER = "kill the coordinator"
    KILL_ALL = "kill all entries"
    PAUSE = "pause"
    PAUSE_HOLDER = "pause the coordinator"
    STOP = "stop in order"
    HANG_UP = "tell that settings changed"
    STORE_DOWN = "store down for all"
    STORE_CUT = "cut from the store"
    STORE_FROZEN = "store silent"
    STORE_ANSWERS = "answers of the store held back"
    STORE_SLOW = "store slow"
    STORE_SILENCED = "open connections to the store fall silent"
    STORE_RESET = "connections to the store reset"
    STORE_TRIMMED = "store forgets its history"
    ENDPOINT_CUT = "endpoint cut"
    ENDPOINT_FROZEN = "endpoint silent"
    ENDPOINT_ANSWERS = "answers of an endpoint held back"
    ENDPOINT_SILENCED = "open connections to an endpoint fall silent"
    ENDPOINT_REBORN = "endpoint starts anew under its id"
    ENDPOINT_FAILING = "endpoint fails all that it runs"
    KEY_WITHDRAWN = "key withdrawn"
    WAVE = "wave of maintenance"


#: How often each kind is drawn, beside once.
_WEIGHTS = {
    FaultKind.KILL_HOLDER: 3,
    FaultKind.PAUSE_HOLDER: 3,
    FaultKind.STORE_ANSWERS: 2,
}


@dataclass(frozen=True)
class Fault:
    """One fault.

    :param at: when it begins, in seconds from the first job.
    :param for_s: how long it lasts, in seconds.
    :param target: number of the entry or endpoint.
    """

    at: float
    for_s: float
    kind: FaultKind
    target: int


def draw_faults(seed: int, length_s: float = LENGTH_SECONDS) -> list[Fault]:
    """Return the faults of a seed, in order."""
    rng = random.Random(seed)
    kinds = list(FaultKind)
    weights = [_WEIGHTS.get(kind, 1) for kind in kinds]
    faults: list[Fault] = []
    at = 0.0
    for _ in range(rng.randint(LEAST_FAULTS, MOST_FAULTS)):
        close = faults and rng.random() < SERIES_PART
        at = at + rng.uniform(0.0, 0.4) if close else rng.uniform(0.5, length_s)
        faults.append(
            Fault(
                at=round(at, 2),
                for_s=round(rng.uniform(0.2, 4.0), 2),
                kind=rng.choices(kinds, weights)[0],
                target=rng.randrange(64),
            )
        )
    return sorted(faults, key=lambda one: one.at)
