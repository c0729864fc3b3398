"""Requests to endpoints and to the advice service that the engine has decided."""

import logging

import anyio
from result import Err, Ok

from hickoryplank.coordinator.ports import AdvicePort, CallFault, CallFaultKind
from hickoryplank.coordinator.term_state import Term
from hickoryplank.jobs.advice import AdviceRequest
from hickoryplank.jobs.endpoints import Run
from hickoryplank.jobs.engine import Engine
from hickoryplank.jobs.messages import PaceChange, StartOutcome

__all__ = ["RequestSender"]

logger = logging.getLogger(__name__)

#: Wait before an unanswered start is sent again, in seconds.
RESEND_SECONDS = 0.15
#: Time between two checks for pending advice requests, in seconds.
ADVICE_SECONDS = 0.02
#: Shortest timeout of an advice request, in seconds: a few times the duration of other
#: calls.
LEAST_ADVICE_SECONDS = 0.5
#: Added to the shortest timeout: this multiple of the configured duration of an answer.
ADVICE_TIMES = 3.0
#: Wait after a failed advice request, in seconds.
REFUSED_SECONDS = 0.25


class RequestSender:
    """Sends the starts, stops, pace changes and advice requests of the engine."""

    def __init__(self, term: Term):
        self._term = term

    def send_starts(self, runs: list[Run]) -> None:
        """Send starts; the batch that assigned them must have been stored."""
        for run in runs:
            self._term.group().start_soon(self._start, run)

    def send_others(self, engine: Engine) -> None:
        """Send pending stops and pace changes."""
        stops, engine.stops = engine.stops, []
        for run in stops:
            self._term.group().start_soon(self._stop, run)
        paces, engine.pace_changes = engine.pace_changes, []
        for change in paces:
            self._term.group().start_soon(self._pace, change)

    async def _start(self, run: Run) -> None:
        engine = self._term.running()
        row = engine.jobs[run.key.job]
        tries = 0
        again = True
        while again:
            tries += 1
            answer = await self._term.context.endpoints.start(
                run, row.job.payload, self._term.token
            )
            now = self._term.context.clock.now()
            again = engine.start_answered(
                run, answer.outcome, tries, answer.clock_ms, now
            )
            self._term.context.metrics.start(answer.outcome)
            if answer.outcome is not StartOutcome.STARTED or tries > 1:
                self._log_start(run, tries, answer.outcome, answer.detail)
            if answer.outcome is StartOutcome.FENCED:
                self._term.fenced()
            if again:
                await anyio.sleep(RESEND_SECONDS)
            elif answer.outcome is not StartOutcome.STARTED:
                self._term.wake()

    def _log_start(self, run: Run, tries: int, outcome, detail: str) -> None:
        logger.info(
            "start answered",
            extra={
                "request": run.key.job,
                "step": run.key.step,
                "task": run.key.index,
                "attempt": run.attempt,
                "endpoint": run.endpoint.id,
                "tries": tries,
                "outcome": outcome.value,
                "detail": detail[:200],
            },
        )

    async def _stop(self, run: Run) -> None:
        match await self._term.context.endpoints.stop(run, self._term.token):
            case Ok(clock_ms):
                now = self._term.context.clock.now()
                run.endpoint.note_answer(clock_ms, now)
                self._term.running().stop_answered(run, now)
            case Err(CallFault(CallFaultKind.FENCED, _)):
                self._term.fenced()
            case Err(fault):
                logger.info(
                    "stop failed",
                    extra={
                        "request": run.key.job,
                        "endpoint": run.endpoint.id,
                        "detail": fault.detail[:200],
                    },
                )

    async def _pace(self, change: PaceChange) -> None:
        run = change.run
        answer = await self._term.context.endpoints.pace(
            run, change.percent, self._term.token
        )
        logger.info(
            "paced",
            extra={
                "request": run.key.job,
                "endpoint": run.endpoint.id,
                "percent": change.percent,
                "done": answer.is_ok(),
            },
        )

    async def run_advice(self, port: AdvicePort) -> None:
        """Send advice requests, one at a time, until the term ends."""
        clock = self._term.context.clock
        while True:
            engine = self._term.running()
            wanted = engine.advice.pop_request()
            if wanted is None:
                await anyio.sleep(ADVICE_SECONDS)
                continue
            asked_at = clock.now()
            match await port.ask(wanted, _advice_wait_s(engine, wanted)):
                case Ok(advised):
                    engine.advice.take(wanted, advised, asked_at)
                    self._term.wake()
                case Err(fault):
                    logger.info(
                        "advice request failed",
                        extra={"request": wanted.step.job, "detail": fault.detail},
                    )
                    await anyio.sleep(REFUSED_SECONDS)


def _advice_wait_s(engine: Engine, wanted: AdviceRequest) -> float:
    """Return the timeout of an advice request, in seconds."""
    row = engine.jobs.get(wanted.step.job)
    queue = engine.configuration.queues.get(row.job.queue) if row is not None else None
    stated = queue.advice if queue is not None else None
    if stated is None:
        return LEAST_ADVICE_SECONDS
    ms = stated.decide_ms + stated.per_endpoint_ms * len(wanted.endpoints)
    return LEAST_ADVICE_SECONDS + ADVICE_TIMES * ms / 1000
