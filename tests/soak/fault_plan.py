"""The faults that a seed injects, and their times."""

import random
from dataclasses import dataclass
from enum import Enum

__all__ = [
    "ENTRY_COUNT",
    "INJECTION_SECONDS",
    "RESTART_PLAY_SECONDS",
    "Fault",
    "FaultKind",
    "draw_faults",
    "draw_late_calls",
    "draw_restarts",
]

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
#: Fraction of the seeds in which entries of endpoints are missing during a take-over.
LISTINGS_LAPSED_FRACTION = 0.5
#: Fraction of the seeds with endpoints that start again and are cut off soon after.
RESTART_AND_CUT_FRACTION = 0.25
#: Rounds of a play of such faults alone, and the time from one to the next, in seconds.
RESTART_ROUNDS = 3
RESTART_INTERVAL_SECONDS = 14.0
#: Time for which jobs are submitted in such a play, in seconds.
RESTART_PLAY_SECONDS = 4.0 + RESTART_ROUNDS * RESTART_INTERVAL_SECONDS
#: Fraction of these rounds in which the coordinator is killed before the cut.
RESTART_KILL_FRACTION = 0.4
#: Endpoints of a play of late calls, and shortest and longest time, in seconds, for
#: which calls to them are held up, they are dark, and their incarnations last.
LATE_CALL_VMS = 4
HELD_UP_SECONDS = (5.0, 12.0)
DARK_SECONDS = (0.3, 1.2)
LIFE_SECONDS = (3.0, 10.0)
#: Fraction of the seeds in which a zone is evacuated and the coordinator killed then.
ZONE_EVACUATED_FRACTION = 0.6
#: Longest time from the evacuation until the coordinator is killed, in seconds.
EVACUATION_KILL_SECONDS = 1.5
#: Shortest and longest time for which a zone is evacuated, in seconds.
EVACUATION_SECONDS = (4.0, 9.0)
#: Duration of the outage of the store in which entries lapse, in seconds. It is longer
#: than another entry needs to take over.
LAPSE_OUTAGE_SECONDS = 2.5
#: Time from the lapse until the coordinator is killed, in seconds.
TAKE_OVER_DELAY_SECONDS = 0.2


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
    LISTINGS_LAPSED = "wave, and an outage of the store in which entries lapse"
    ENDPOINTS_RESTARTED_AND_CUT = "endpoints restarted under their ids, and then cut"
    ENDPOINTS_CUT_UNLISTED = "endpoints restarted, and cut before they are listed"
    ZONE_EVACUATED = "availability zone evacuated and taken back"
    ODD_LISTINGS = "odd entries of another writer in the list of endpoints"
    ENDPOINT_DARK = "endpoint dark, and then restarted under the same id"
    CALLS_LATE = "calls to an endpoint without an answer, and carried out late"


#: Kinds that are drawn after all others, so that the other faults of a seed that failed
#: before stay the same, or only in plays of their own.
_DRAWN_LAST = (
    FaultKind.ODD_LISTINGS,
    FaultKind.LISTINGS_LAPSED,
    FaultKind.ENDPOINTS_RESTARTED_AND_CUT,
    FaultKind.ZONE_EVACUATED,
    FaultKind.ENDPOINTS_CUT_UNLISTED,
    FaultKind.ENDPOINT_DARK,
    FaultKind.CALLS_LATE,
)
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
    kinds = [kind for kind in FaultKind if kind not in _DRAWN_LAST]
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
    if rng.random() < ODD_LISTINGS_FRACTION:
        at = round(rng.uniform(0.0, length_s), 2)
        faults.append(Fault(at, 0.0, FaultKind.ODD_LISTINGS, target=0))
    if rng.random() < LISTINGS_LAPSED_FRACTION:
        faults += _lapse_during_take_over(rng, length_s)
    if rng.random() < RESTART_AND_CUT_FRACTION:
        at = round(rng.uniform(1.0, length_s / 2), 2)
        dark_s = round(rng.uniform(0.2, 1.5), 2)
        faults.append(
            Fault(at, dark_s, FaultKind.ENDPOINTS_RESTARTED_AND_CUT, rng.randrange(64))
        )
    if rng.random() < ZONE_EVACUATED_FRACTION:
        faults += _evacuate_before_take_over(rng, length_s)
    if rng.random() < RESTART_AND_CUT_FRACTION:
        at = round(rng.uniform(1.0, length_s / 2), 2)
        dark_s = round(rng.uniform(0.2, 1.5), 2)
        target = rng.randrange(64)
        faults.append(Fault(at, dark_s, FaultKind.ENDPOINTS_CUT_UNLISTED, target))
    return sorted(faults, key=lambda one: one.at)


def draw_restarts(seed: int, *, unlisted: bool = False) -> list[Fault]:
    """Return the faults of a play in which endpoints start again and are cut off.

    :param unlisted: cut them off before their next incarnations are listed.
    """
    rng = random.Random(f"recut {seed}")
    kind = (
        FaultKind.ENDPOINTS_CUT_UNLISTED
        if unlisted
        else FaultKind.ENDPOINTS_RESTARTED_AND_CUT
    )
    faults: list[Fault] = []
    for number in range(RESTART_ROUNDS):
        at = 4.0 + number * RESTART_INTERVAL_SECONDS
        dark_s = round(rng.choice((0.3, 0.6, 0.6, 1.2, 2.5)), 2)
        faults.append(Fault(at, dark_s, kind, rng.randrange(64)))
        if rng.random() < RESTART_KILL_FRACTION:
            kill_at = round(at + dark_s + rng.uniform(0.1, 1.8), 2)
            faults.append(Fault(kill_at, 1.0, FaultKind.KILL_COORDINATOR, 0))
    return faults


def draw_late_calls(seed: int) -> list[Fault]:
    """Return the faults of a play in which calls to endpoints are carried out late.

    The endpoints start again under their ids several times.
    """
    rng = random.Random(f"late calls {seed}")
    faults: list[Fault] = []
    # The VMs of the standby pool come last.
    targets = rng.sample(range(8), LATE_CALL_VMS)
    for target in targets:
        at = rng.uniform(*LIFE_SECONDS)
        while at < RESTART_PLAY_SECONDS:
            dark_s = round(rng.uniform(*DARK_SECONDS), 2)
            faults.append(Fault(round(at, 2), dark_s, FaultKind.ENDPOINT_DARK, target))
            at += dark_s + rng.uniform(*LIFE_SECONDS)
    for number in range(RESTART_ROUNDS):
        at = 4.0 + number * RESTART_INTERVAL_SECONDS
        for target in targets:
            for_s = round(rng.uniform(*HELD_UP_SECONDS), 2)
            faults.append(Fault(at, for_s, FaultKind.CALLS_LATE, target))
        if rng.random() < RESTART_KILL_FRACTION:
            kill_at = round(at + rng.uniform(*HELD_UP_SECONDS), 2)
            faults.append(Fault(kill_at, 1.0, FaultKind.KILL_COORDINATOR, 0))
    return sorted(faults, key=lambda one: one.at)


def _evacuate_before_take_over(rng: random.Random, length_s: float) -> list[Fault]:
    """Return the faults of a take-over while a zone is evacuated."""
    at = round(rng.uniform(0.5, length_s / 2), 2)
    for_s = round(rng.uniform(*EVACUATION_SECONDS), 2)
    killed_at = round(at + rng.uniform(0.0, EVACUATION_KILL_SECONDS), 2)
    return [
        Fault(at, for_s, FaultKind.ZONE_EVACUATED, rng.randrange(64)),
        Fault(killed_at, 1.0, FaultKind.KILL_COORDINATOR, 0),
    ]


def _lapse_during_take_over(rng: random.Random, length_s: float) -> list[Fault]:
    """Return the faults of a take-over while entries of endpoints are missing."""
    at = round(rng.uniform(2.0, length_s), 2)
    target = rng.randrange(64)
    killed_at = at + TAKE_OVER_DELAY_SECONDS
    return [
        Fault(at, LAPSE_OUTAGE_SECONDS, FaultKind.LISTINGS_LAPSED, target),
        Fault(killed_at, 1.0, FaultKind.KILL_COORDINATOR, target),
    ]
