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

    def valid(self, now: float) -> bool:
        return self.valid_until - TICKET_MARGIN_SECONDS > now


class _StepAdvice:
    """What is known of one step.

    :ivar tickets: newest ticket for each endpoint that may run the step.
    :ivar denied: endpoints that may not run the step.
    :ivar asked: endpoints of the request in progress; none if there is none.
    """

    def __init__(self) -> None:
        self.tickets: dict[Endpoint, _Ticket] = {}
        self.denied: set[Endpoint] = set()
        self.asked: tuple[Endpoint, ...] | None = None

    def has_ticket(self, endpoint: Endpoint, now: float) -> bool:
        ticket = self.tickets.get(endpoint)
        return ticket is not None and ticket.valid(now)


class AdviceTable:
    """Answers of the advice service, and requests to be sent.

    Whether an incarnation of an endpoint may run a step never changes, while tickets
    expire. The next incarnation may be of another kind, so that nothing is known of it.
    """

    def __init__(self) -> None:
        self._steps: dict[StepKey, _StepAdvice] = {}
        self._requests: dict[StepKey, tuple[Endpoint, ...]] = {}

    def permitted(
        self, step: StepKey, endpoints: list[Endpoint], now: float
    ) -> list[Endpoint]:
        """Return the endpoints with a valid ticket; add a request if there are none."""
        known = self._steps.setdefault(step, _StepAdvice())
        valid = [one for one in endpoints if known.has_ticket(one, now)]
        if not valid:
            self.request(step, endpoints, now)
        return valid

    def request(self, step: StepKey, endpoints: list[Endpoint], now: float) -> None:
        """Request tickets for endpoints without a valid one.

        Endpoints that may run the step go before those of which that isn't known. A
        step has one request at a time.
        """
        known = self._steps.setdefault(step, _StepAdvice())
        if known.asked is not None:
            return
        unasked = [
            one
            for one in endpoints
            if one not in known.denied and not known.has_ticket(one, now)
        ]
        expired = [one for one in unasked if one in known.tickets]
        requested = (expired or unasked)[:MAX_ENDPOINTS_PER_REQUEST]
        if requested:
            self._requests[step] = tuple(requested)

    def pop_request(self) -> AdviceRequest | None:
        """Remove and return the oldest request, if any."""
        if not self._requests:
            return None
        step = next(iter(self._requests))
        asked = self._steps[step].asked = self._requests.pop(step)
        return AdviceRequest(step, tuple(one.id for one in asked))

    def request_failed(self, request: AdviceRequest) -> None:
        """Record that a request has got no answer."""
        known = self._steps.get(request.step)
        if known is not None:
            known.asked = None

    def ticket(self, step: StepKey, endpoint: Endpoint) -> str:
        """Return the ticket for a step on an endpoint; empty if there is none."""
        known = self._steps.get(step)
        found = known.tickets.get(endpoint) if known is not None else None
        return found.text if found is not None else ""

    def add_answer(
        self, request: AdviceRequest, answer: AdviceAnswer, asked_at: float
    ) -> None:
        """Add an answer; the validity of its tickets is counted from the request.

        It is dropped if the job of the step has ended.

        :param asked_at: time of the request, by the local clock, in seconds.
        """
        known = self._steps.get(request.step)
        if known is None or known.asked is None:
            return
        asked, known.asked = known.asked, None
        valid_until = asked_at + answer.valid_ms / 1000
        texts = {permit.endpoint: permit.ticket for permit in answer.allowed}
        for endpoint in asked:
            if endpoint.id in texts:
                known.tickets[endpoint] = _Ticket(texts[endpoint.id], valid_until)
            elif endpoint not in known.tickets:
                known.denied.add(endpoint)

    def discard_ticket(self, step: StepKey, endpoint: Endpoint) -> None:
        """Discard the ticket for a step that an endpoint did not accept."""
        known = self._steps.get(step)
        if known is not None:
            known.tickets.pop(endpoint, None)

    def discard_endpoint(self, endpoint: Endpoint) -> None:
        """Discard what is known of an incarnation of an endpoint that has ended."""
        for known in self._steps.values():
            known.tickets.pop(endpoint, None)
            known.denied.discard(endpoint)

    def discard_job(self, job: JobId) -> None:
        """Discard the answers and requests for a job that has ended."""
        for step in [one for one in self._steps if one.job == job]:
            del self._steps[step]
            self._requests.pop(step, None)
