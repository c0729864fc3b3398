"""Advice of an external service: endpoints that may run a step, and tickets."""

import msgspec

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.endpoints import Endpoint
from hickoryplank.jobs.messages import AdviceAnswer

__all__ = ["AdviceTable", "StepKey", "AdviceRequest"]

#: Most endpoints in one request; each adds to the time of the answer.
MOST_NAMED = 10
#: Least remaining validity of a ticket that is used.
SPARE_SECONDS = 0.3


class StepKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int


class AdviceRequest(msgspec.Struct, frozen=True):
    """A request for advice on a step.

    :param endpoints: endpoints for which a ticket is requested.
    """

    step: StepKey
    endpoints: tuple[EndpointId, ...]


class _Ticket(msgspec.Struct, frozen=True):
    text: str
    until: float


class _StepAdvice:
    def __init__(self) -> None:
        self.allowed: dict[EndpointId, _Ticket] = {}
        self.denied: set[EndpointId] = set()


class AdviceTable:
    """Answers of the advice service, and requests to be sent.

    The set of endpoints that may run a step never changes, while tickets expire.
    """

    def __init__(self) -> None:
        self._steps: dict[StepKey, _StepAdvice] = {}
        self._wanted: dict[StepKey, AdviceRequest] = {}

    def permitted(
        self, step: StepKey, endpoints: list[Endpoint], now: float
    ) -> list[Endpoint]:
        """Return the endpoints with a valid ticket; add a request if there are none."""
        known = self._steps.setdefault(step, _StepAdvice())
        valid = [
            one
            for one in endpoints
            if one.id in known.allowed
            and known.allowed[one.id].until - SPARE_SECONDS > now
        ]
        if not valid:
            self._want(step, known, endpoints)
        return valid

    def _want(
        self, step: StepKey, known: _StepAdvice, endpoints: list[Endpoint]
    ) -> None:
        renewed = [one.id for one in endpoints if one.id in known.allowed]
        unasked = [one.id for one in endpoints if one.id not in known.denied]
        named = (renewed or unasked)[:MOST_NAMED]
        if named:
            self._wanted[step] = AdviceRequest(step, tuple(named))

    def pop_request(self) -> AdviceRequest | None:
        """Remove and return the oldest request, if any."""
        if not self._wanted:
            return None
        return self._wanted.pop(next(iter(self._wanted)))

    def ticket(self, step: StepKey, endpoint: EndpointId) -> str:
        """Return the ticket for a step on an endpoint; empty if there is none."""
        known = self._steps.get(step)
        found = known.allowed.get(endpoint) if known is not None else None
        return found.text if found is not None else ""

    def take(
        self, wanted: AdviceRequest, advised: AdviceAnswer, asked_at: float
    ) -> None:
        """Add an answer; the validity of its tickets is counted from the request.

        :param asked_at: time of the request, by the local clock, in seconds.
        """
        known = self._steps.setdefault(wanted.step, _StepAdvice())
        until = asked_at + advised.valid_ms / 1000
        for row in advised.allowed:
            known.allowed[row.endpoint] = _Ticket(row.ticket, until)
        known.denied |= set(wanted.endpoints) - set(known.allowed)

    def refuse(self, step: StepKey, endpoint: EndpointId) -> None:
        """Discard the ticket for a step that an endpoint did not accept."""
        known = self._steps.get(step)
        if known is not None:
            known.allowed.pop(endpoint, None)

    def forget(self, job: JobId) -> None:
        """Discard the answers and requests for a job that has ended."""
        for step in [one for one in self._steps if one.job == job]:
            del self._steps[step]
            self._wanted.pop(step, None)
