"""Requests to endpoints and to the advice service that the engine has decided."""

import logging
from contextlib import AbstractContextManager

import anyio
from result import Err, Ok

from hickoryplank.coordinator.journal import TermEnded
from hickoryplank.coordinator.ports import AdvicePort, CallFault, CallFaultKind
from hickoryplank.coordinator.term_state import Term
from hickoryplank.jobs.advice import AdviceRequest
from hickoryplank.jobs.endpoints import Run
from hickoryplank.jobs.engine import Engine
from hickoryplank.jobs.messages import PaceChange, StartOutcome

__all__ = ["RequestSender"]

logger = logging.getLogger(__name__)

#: Wait before an unanswered start is sent again, in seconds.
START_RETRY_SECONDS = 0.15
#: Time between two checks for pending advice requests, in seconds.
ADVICE_INTERVAL_SECONDS = 0.02
#: Shortest timeout of an advice request, in seconds: a few times the duration of other
#: calls.
MIN_ADVICE_TIMEOUT_SECONDS = 0.5
#: Added to the shortest timeout: this multiple of the configured duration of an answer.
ADVICE_TIMEOUT_FACTOR = 3.0
#: Wait after a failed advice request, in seconds.
ADVICE_RETRY_SECONDS = 0.25


class RequestSender:
    """Sends the starts, stops, pace changes and advice requests of the engine."""

    def __init__(self, term: Term):
        self._term = term

    def send_starts(self, runs: list[Run]) -> None:
        """Send starts; the batch that assigned them must have been stored."""
        for run in runs:
            self._term.require_tasks().start_soon(self._start, run)

    def send_stops_and_pace_changes(self, engine: Engine) -> None:
        """Send pending stops and pace changes."""
        stops, engine.stops = engine.stops, []
        for run in stops:
            self._term.require_tasks().start_soon(self._stop, run)
        paces, engine.pace_changes = engine.pace_changes, []
        for change in paces:
            self._term.require_tasks().start_soon(self._pace, change)

    async def _start(self, run: Run) -> None:
        engine = self._term.require_engine()
        row = engine.jobs.get(run.key.job)
        if row is None:
            return
        try:
            await self._send_start(engine, run, row.job.payload)
        except TermEnded:
            raise
        except Exception as exc:
            engine.start_failed(run, exc, self._term.context.clock.now())

    async def _send_start(self, engine: Engine, run: Run, payload: str) -> None:
        clock = self._term.context.clock
        attempts = 0
        unanswered = True
        while unanswered:
            if not engine.is_start_due(run, attempts, clock.now()):
                self._log_withdrawn(run, attempts)
                self._term.request_tick()
                return
            attempts += 1
            endpoint = run.endpoint
            token = self._term.token_for(endpoint)
            answer = await self._term.context.endpoints.start(run, payload, token)
            self._term.context.metrics.start(answer.outcome)
            if answer.outcome is not StartOutcome.STARTED or attempts > 1:
                self._log_start(run, attempts, answer.outcome, answer.detail)
            if answer.outcome is StartOutcome.FENCED:
                self._term.end_if_fenced(run.endpoint, token)
                # The run has been carried over to the present incarnation, if it is
                # not given up, and its start is due there.
                continue
            if (
                answer.outcome is StartOutcome.OTHER_INCARNATION
                and run.endpoint is not endpoint
            ):
                # The incarnation that this says has ended was replaced already.
                continue
            unanswered = engine.start_answered(
                run, answer.outcome, attempts, answer.clock_ms, clock.now()
            )
            if unanswered:
                await anyio.sleep(START_RETRY_SECONDS)
            elif answer.outcome is not StartOutcome.STARTED:
                self._term.request_tick()

    def _log_start(self, run: Run, attempts: int, outcome, detail: str) -> None:
        logger.info(
            "start answered",
            extra={
                "request": run.key.job,
                "step": run.key.step,
                "task": run.key.index,
                "attempt": run.attempt,
                "endpoint": run.endpoint.id,
                "tries": attempts,
                "outcome": outcome.value,
                "detail": detail[:200],
            },
        )

    def _log_withdrawn(self, run: Run, attempts: int) -> None:
        logger.info(
            "start withdrawn",
            extra={
                "request": run.key.job,
                "step": run.key.step,
                "task": run.key.index,
                "attempt": run.attempt,
                "endpoint": run.endpoint.id,
                "tries": attempts,
                "run": run.state.value,
                "endpoint_takes_starts": run.endpoint.takes_starts,
            },
        )

    async def _stop(self, run: Run) -> None:
        with self._guard(run):
            await self._send_stop(run)

    def _guard(self, run: Run) -> AbstractContextManager[None]:
        """Set the job of a run aside if a request for it raises."""
        engine = self._term.require_engine()
        return engine.guard_job(run.key.job, passes=(TermEnded,))

    async def _send_stop(self, run: Run) -> None:
        token = self._term.token_for(run.endpoint)
        match await self._term.context.endpoints.stop(run, token):
            case Ok(_):
                run.endpoint.note_answer()
                now = self._term.context.clock.now()
                self._term.require_engine().stop_answered(run, now)
            case Err(CallFault(CallFaultKind.FENCED, _)):
                # It is repeated under the token of the present incarnation.
                self._term.end_if_fenced(run.endpoint, token)
            case Err(fault):
                logger.info(
                    "stop request failed",
                    extra={
                        "request": run.key.job,
                        "endpoint": run.endpoint.id,
                        "detail": fault.detail[:200],
                    },
                )

    async def _pace(self, change: PaceChange) -> None:
        with self._guard(change.run):
            await self._send_pace(change)

    async def _send_pace(self, change: PaceChange) -> None:
        run = change.run
        answer = await self._term.context.endpoints.pace(
            run, change.percent, self._term.token_for(run.endpoint)
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
        while True:
            engine = self._term.require_engine()
            request = engine.advice.pop_request()
            if request is None:
                await anyio.sleep(ADVICE_INTERVAL_SECONDS)
                continue
            answered = False
            with engine.guard_job(request.step.job, passes=(TermEnded,)):
                answered = await self._request_advice(port, engine, request)
            if not answered:
                engine.advice.request_failed(request)
                await anyio.sleep(ADVICE_RETRY_SECONDS)

    async def _request_advice(
        self, port: AdvicePort, engine: Engine, request: AdviceRequest
    ) -> bool:
        """Send an advice request and apply its answer; return whether there was one."""
        clock = self._term.context.clock
        sent_at = clock.now()
        match await port.ask(request, _advice_timeout_s(engine, request)):
            case Ok(answer):
                engine.advice.add_answer(request, answer, sent_at)
                self._term.request_tick()
                self._log_advice(request, len(answer.allowed), clock.now() - sent_at)
                return True
            case Err(fault):
                logger.info(
                    "advice request failed",
                    extra={"request": request.step.job, "detail": fault.detail},
                )
        return False

    def _log_advice(
        self, request: AdviceRequest, allowed: int, answer_s: float
    ) -> None:
        logger.info(
            "advice answered",
            extra={
                "request": request.step.job,
                "step": request.step.step,
                "asked": request.endpoints,
                "allowed": allowed,
                "ms": int(answer_s * 1000),
            },
        )


def _advice_timeout_s(engine: Engine, request: AdviceRequest) -> float:
    """Return the timeout of an advice request, in seconds.

    The queue may configure how long the service takes for an answer.
    """
    row = engine.jobs.get(request.step.job)
    terms = row.job.terms_in(engine.configuration) if row is not None else None
    timing = terms.advice if terms is not None else None
    if timing is None:
        return MIN_ADVICE_TIMEOUT_SECONDS
    duration_ms = timing.decide_ms + timing.per_endpoint_ms * len(request.endpoints)
    return MIN_ADVICE_TIMEOUT_SECONDS + ADVICE_TIMEOUT_FACTOR * duration_ms / 1000
