"""Advice of an external service: endpoints that may run a step, and tickets."""

import msgspec

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.endpoints import Endpoint
from hickoryplank.jobs.messages import AdviceAnswer

__all__ = ["AdviceTable", "StepKey", "AdviceRequest"]

#: Most endpoints in one request; each adds to the time of the answer.
MAX_ENDPOINTS_PER_REQUEST = 10
#: Least remaining validity of a ticket that is used.
TICKET_MARGIN_SECONDS = 0.3


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
    valid_until: float


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
        self._requests: dict[StepKey, AdviceRequest] = {}

    def permitted(
        self, step: StepKey, endpoints: list[Endpoint], now: float
    ) -> list[Endpoint]:
        """Return the endpoints with a valid ticket; add a request if there are none."""
        known = self._steps.setdefault(step, _StepAdvice())
        valid = [
            one
            for one in endpoints
            if one.id in known.allowed
            and known.allowed[one.id].valid_until - TICKET_MARGIN_SECONDS > now
        ]
        if not valid:
            self._add_request(step, known, endpoints)
        return valid

    def _add_request(
        self, step: StepKey, known: _StepAdvice, endpoints: list[Endpoint]
    ) -> None:
        renewed = [one.id for one in endpoints if one.id in known.allowed]
        unasked = [one.id for one in endpoints if one.id not in known.denied]
        requested = (renewed or unasked)[:MAX_ENDPOINTS_PER_REQUEST]
        if requested:
            self._requests[step] = AdviceRequest(step, tuple(requested))

    def pop_request(self) -> AdviceRequest | None:
        """Remove and return the oldest request, if any."""
        if not self._requests:
            return None
        return self._requests.pop(next(iter(self._requests)))

    def ticket(self, step: StepKey, endpoint: EndpointId) -> str:
        """Return the ticket for a step on an endpoint; empty if there is none."""
        known = self._steps.get(step)
        found = known.allowed.get(endpoint) if known is not None else None
        return found.text if found is not None else ""

    def add_answer(
        self, request: AdviceRequest, answer: AdviceAnswer, asked_at: float
    ) -> None:
        """Add an answer; the validity of its tickets is counted from the request.

        :param asked_at: time of the request, by the local clock, in seconds.
        """
        known = self._steps.setdefault(request.step, _StepAdvice())
        valid_until = asked_at + answer.valid_ms / 1000
        for permit in answer.allowed:
            known.allowed[permit.endpoint] = _Ticket(permit.ticket, valid_until)
        known.denied |= set(request.endpoints) - set(known.allowed)

    def discard_ticket(self, step: StepKey, endpoint: EndpointId) -> None:
        """Discard the ticket for a step that an endpoint did not accept."""
        known = self._steps.get(step)
        if known is not None:
            known.allowed.pop(endpoint, None)

    def discard_job(self, job: JobId) -> None:
        """Discard the answers and requests for a job that has ended."""
        for step in [one for one in self._steps if one.job == job]:
            del self._steps[step]
            self._requests.pop(step, None)
