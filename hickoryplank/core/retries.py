"""Whether, when and how often a run is tried again.

Retries and hedges draw on one budget for each pool and team, which first
attempts fill: however much fails at once, extra attempts stay a fixed part of
the load.
"""

from enum import Enum

import msgspec

from hickoryplank.core.backoff import doubled
from hickoryplank.core.ids import PoolId, TeamId
from hickoryplank.core.placement import RunResult
from hickoryplank.core.queues import WorkItem
from hickoryplank.core.run_times import LEARNING_RUNS, RunTimeEstimate

__all__ = [
    "GiveUp",
    "Reason",
    "Retry",
    "RetryBudget",
    "backoff_seconds",
    "hedge_at",
    "next_attempt",
    "time_left",
]

#: Extra attempts that each first attempt pays for.
TOKENS_PER_ATTEMPT = 0.1
#: Extra attempts that a team may save up in one pool.
MOST_TOKENS = 20.0
#: Extra attempts that a team may make in a pool before it has sent anything.
FIRST_TOKENS = 5.0
#: Longest wait before the first retry, in seconds; it doubles with each one.
BACKOFF_SECONDS = 0.05
#: Longest wait before any retry, in seconds.
LONGEST_BACKOFF_SECONDS = 2.0
#: Shortest silence of a connection that is hedged, in seconds.
SHORTEST_SILENCE_SECONDS = 0.25
#: Silence that is hedged, as a multiple of the run time that one in twenty exceeds.
SILENCE_FACTOR = 1.5
#: Time for an answer's way back to the caller, in seconds.
ANSWER_SECONDS = 0.02


class Reason(Enum):
    """Why a task is not tried again."""

    NOT_IDEMPOTENT = "not_idempotent"
    NO_BUDGET = "no_budget"
    NO_TIME = "no_time"


class Retry(msgspec.Struct, frozen=True, tag="retry"):
    """Try again.

    :param at: when, in seconds.
    """

    at: float


class GiveUp(msgspec.Struct, frozen=True, tag="give_up"):
    """Do not try again."""

    reason: Reason


class RetryBudget:
    """Tokens for extra attempts, by pool and team."""

    def __init__(self, ratio: float = TOKENS_PER_ATTEMPT) -> None:
        self._ratio = ratio
        self._tokens: dict[tuple[PoolId, TeamId], float] = {}

    def note_attempt(self, pool: PoolId, team: TeamId) -> None:
        """Count a first attempt, which pays for part of an extra one."""
        tokens = self._tokens.get((pool, team), FIRST_TOKENS)
        self._tokens[pool, team] = min(tokens + self._ratio, MOST_TOKENS)

    def take(self, pool: PoolId, team: TeamId) -> bool:
        """Spend a token on one extra attempt; return whether there was one."""
        tokens = self._tokens.get((pool, team), FIRST_TOKENS)
        if tokens < 1.0:
            return False
        self._tokens[pool, team] = tokens - 1.0
        return True


def backoff_seconds(retry: int, jitter: float) -> float:
    """Return how long to wait before retry number ``retry``, counted from 0.

    :param jitter: a number from 0 to 1, drawn anew for each retry.
    """
    return doubled(BACKOFF_SECONDS, retry, LONGEST_BACKOFF_SECONDS) * jitter


def next_attempt(
    item: WorkItem,
    result: RunResult,
    retry: int,
    budget: RetryBudget,
    now: float,
    jitter: float,
) -> Retry | GiveUp:
    """Return whether to try ``item`` again after an attempt ended in ``result``.

    A busy worker has refused the start, so that the task has not run: it may be
    tried again even if it is not idempotent.

    :param retry: how often it has been tried again before.
    """
    if not item.idempotent and result is not RunResult.BUSY:
        return GiveUp(Reason.NOT_IDEMPOTENT)
    at = now + backoff_seconds(retry, jitter)
    if at >= item.deadline:
        return GiveUp(Reason.NO_TIME)
    if not budget.take(item.pool, item.team):
        return GiveUp(Reason.NO_BUDGET)
    return Retry(at)


def hedge_at(item: WorkItem, heard: float, run_time: RunTimeEstimate) -> float | None:
    """Return when to start ``item`` elsewhere if its connection stays silent.

    :param heard: when the connection was last heard, in seconds.
    """
    if not item.idempotent or run_time.observed < LEARNING_RUNS:
        return None
    at = heard + max(run_time.p95 * SILENCE_FACTOR, SHORTEST_SILENCE_SECONDS)
    return at if at < item.deadline else None


def time_left(item: WorkItem, now: float) -> float:
    """Return the seconds that an attempt started now may take, never below 0."""
    return max(item.deadline - ANSWER_SECONDS - now, 0.0)
