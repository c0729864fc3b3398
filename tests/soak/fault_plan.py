"""The faults that a seed injects, and their times."""

import random
from dataclasses import dataclass
from enum import Enum

__all__ = ["ENTRY_COUNT", "INJECTION_SECONDS", "Fault", "FaultKind", "draw_faults"]

ENTRY_COUNT = 3
#: Time within which faults begin, in seconds.
INJECTION_SECONDS = 10.0
#: Smallest number of faults of one seed. Faults begin about once a second, and overlap.
MIN_FAULTS = 5
MAX_FAULTS = 11
#: Fraction of the faults that begin right after the previous one.
BURST_FRACTION = 0.3
#: Fraction of the seeds with odd entries in the list of endpoints.
ODD_LISTINGS_FRACTION = 0.5


class FaultKind(Enum):
    """Kinds of faults; if not stated otherwise, they apply to one entry."""

    KILL = "kill"
    KILL_COORDINATOR = "kill the coordinator"
    KILL_ALL = "kill all entries"
    PAUSE = "pause"
    PAUSE_COORDINATOR = "pause the coordinator"
    STOP = "stop with SIGTERM"
    RELOAD = "notify of changed settings"
    STORE_DOWN = "store down for all"
    STORE_CUT = "cut from the store"
    STORE_FROZEN = "store silent"
    STORE_ANSWERS = "answers of the store delayed"
    STORE_SLOW = "store slow"
    STORE_SILENCED = "open connections to the store silenced"
    STORE_RESET = "connections to the store reset"
    STORE_TRIMMED = "history of the store trimmed"
    ENDPOINT_CUT = "endpoint cut"
    ENDPOINT_FROZEN = "endpoint silent"
    ENDPOINT_ANSWERS = "answers of an endpoint delayed"
    ENDPOINT_SILENCED = "open connections to an endpoint silenced"
    ENDPOINT_RESTARTED = "endpoint restarted under the same id"
    ENDPOINT_FAILING = "endpoint fails all its runs"
    KEY_WITHDRAWN = "key withdrawn"
    WAVE = "maintenance wave"
    ODD_LISTINGS = "odd entries of another writer in the list of endpoints"


#: Weights of kinds in the random choice; 1 for all others.
_WEIGHTS = {
    FaultKind.KILL_COORDINATOR: 3,
    FaultKind.PAUSE_COORDINATOR: 3,
    FaultKind.STORE_ANSWERS: 2,
}


@dataclass(frozen=True)
class Fault:
    """A fault.

    :param at: when it begins, in seconds from the first job.
    :param for_s: how long it lasts, in seconds.
    :param target: index of the entry or VM, modulo their number.
    """

    at: float
    for_s: float
    kind: FaultKind
    target: int


def draw_faults(seed: int, length_s: float = INJECTION_SECONDS) -> list[Fault]:
    """Return the faults of a seed in the order of their times."""
    rng = random.Random(seed)
    kinds = [kind for kind in FaultKind if kind is not FaultKind.ODD_LISTINGS]
    weights = [_WEIGHTS.get(kind, 1) for kind in kinds]
    faults: list[Fault] = []
    at = 0.0
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        close = faults and rng.random() < BURST_FRACTION
        at = at + rng.uniform(0.0, 0.4) if close else rng.uniform(0.5, length_s)
        faults.append(
            Fault(
                at=round(at, 2),
                for_s=round(rng.uniform(0.2, 4.0), 2),
                kind=rng.choices(kinds, weights)[0],
                target=rng.randrange(64),
            )
        )
    # Drawn last, so that the other faults of a seed that failed before stay the same.
    if rng.random() < ODD_LISTINGS_FRACTION:
        at = round(rng.uniform(0.0, length_s), 2)
        faults.append(Fault(at, 0.0, FaultKind.ODD_LISTINGS, target=0))
    return sorted(faults, key=lambda one: one.at)
