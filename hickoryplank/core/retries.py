"""Retries and hedged requests, limited by a retry budget."""

from enum import Enum

import msgspec

from hickoryplank.core.backoff import doubled
from hickoryplank.core.ids import PoolId, TeamId
from hickoryplank.core.placement import RunResult
from hickoryplank.core.queues import WorkItem
from hickoryplank.core.run_times import LEARNING_RUNS, RunTimeEstimate

__all__ = [
    "GiveUp",
    "GiveUpReason",
    "Retry",
    "RetryBudget",
    "backoff_seconds",
    "hedge_at",
    "next_attempt",
    "time_left",
]

#: Tokens that a first attempt adds to the budget; an extra attempt costs one token.
TOKENS_PER_ATTEMPT = 0.1
#: Largest number of tokens that a team can accumulate in a pool.
MAX_TOKENS = 20.0
#: Tokens of a team in a pool before its first attempt there.
FIRST_TOKENS = 5.0
#: Longest wait before the first retry, in seconds; it doubles with each retry.
BACKOFF_SECONDS = 0.05
#: Longest wait before any retry, in seconds.
LONGEST_BACKOFF_SECONDS = 2.0
#: Shortest silence of a connection after which a request is hedged, in seconds.
SHORTEST_SILENCE_SECONDS = 0.25
#: Silence after which a request is hedged, as a multiple of the 95th percentile of
#: the run time.
SILENCE_FACTOR = 1.5
#: Time reserved for returning the answer to the caller, in seconds.
ANSWER_MARGIN_SECONDS = 0.02


class GiveUpReason(Enum):
    """Reason for which a task is not retried."""

    NOT_IDEMPOTENT = "not_idempotent"
    NO_BUDGET = "no_budget"
    NO_TIME = "no_time"


class Retry(msgspec.Struct, frozen=True, tag="retry"):
    """Retry the task.

    :param at: time of the retry, in seconds.
    """

    at: float


class GiveUp(msgspec.Struct, frozen=True, tag="give_up"):
    """Do not retry the task."""

    reason: GiveUpReason


class RetryBudget:
    """Budget of retries and hedges for each pool and team.

    First attempts add tokens and extra attempts spend them, so extra attempts
    stay a fixed part of the load however many attempts fail at once.

    :param ratio: tokens that each first attempt adds.
    """

    def __init__(self, ratio: float = TOKENS_PER_ATTEMPT) -> None:
        self._ratio = ratio
        self._tokens: dict[tuple[PoolId, TeamId], float] = {}

    def note_attempt(self, pool: PoolId, team: TeamId) -> None:
        """Add tokens for a first attempt."""
        tokens = self._tokens.get((pool, team), FIRST_TOKENS)
        self._tokens[pool, team] = min(tokens + self._ratio, MAX_TOKENS)

    def take(self, pool: PoolId, team: TeamId) -> bool:
        """Spend a token on an extra attempt; return whether one was available."""
        tokens = self._tokens.get((pool, team), FIRST_TOKENS)
        if tokens < 1.0:
            return False
        self._tokens[pool, team] = tokens - 1.0
        return True


def backoff_seconds(retry: int, jitter: float) -> float:
    """Return the seconds to wait before retry number ``retry``, counted from 0.

    :param jitter: a random number from 0 to 1, drawn anew for each retry.
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
    """Return whether to retry ``item`` after an attempt ended in ``result``.

    A busy worker has refused the start, so the task has not run and may be
    retried even if it is not idempotent.

    :param retry: number of earlier retries of the item.
    :param now: the node's clock, in seconds.
    :param jitter: a random number from 0 to 1, drawn anew for each retry.
    """
    if not item.idempotent and result is not RunResult.BUSY:
        return GiveUp(GiveUpReason.NOT_IDEMPOTENT)
    at = now + backoff_seconds(retry, jitter)
    if at >= item.deadline:
        return GiveUp(GiveUpReason.NO_TIME)
    if not budget.take(item.pool, item.team):
        return GiveUp(GiveUpReason.NO_BUDGET)
    return Retry(at)


def hedge_at(
    item: WorkItem, last_data_at: float, run_time: RunTimeEstimate
) -> float | None:
    """Return when to hedge ``item`` on another endpoint.

    The result is ``None`` if the item must not or cannot be hedged: it is not
    idempotent, its run time is not yet known, or its deadline is too near.

    :param last_data_at: when data last arrived on the connection, in seconds.
    """
    if not item.idempotent or run_time.observed < LEARNING_RUNS:
        return None
    at = last_data_at + max(run_time.p95 * SILENCE_FACTOR, SHORTEST_SILENCE_SECONDS)
    return at if at < item.deadline else None


def time_left(item: WorkItem, now: float) -> float:
    """Return the seconds that an attempt started now may take; at least 0."""
    return max(item.deadline - ANSWER_MARGIN_SECONDS - now, 0.0)
