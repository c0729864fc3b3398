"""Which endpoints an outside policy lets run a step, and its tickets."""

import msgspec

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.endpoints import Endpoint
from hickoryplank.jobs.messages import AdviceAnswer

__all__ = ["AdviceTable", "StepKey", "AdviceRequest"]

#: Endpoints that one call names; each adds to the time that its answer takes.
MOST_NAMED = 10
#: Time that a ticket must still be valid when it is used, in seconds.
SPARE_SECONDS = 0.3


class StepKey(msgspec.Struct, frozen=True, array_like=True):
    """Name of one step of one occurrence."""

    job: JobId
    occurrence: int
    step: int


class AdviceRequest(msgspec.Struct, frozen=True):
    """Advice that is to be asked for."""

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
    """Answers of the policy. Who may run a step doesn't change; tickets expire."""

    def __init__(self) -> None:
        self._steps: dict[StepKey, _StepAdvice] = {}
        self._wanted: dict[StepKey, AdviceRequest] = {}

    def permitted(
        self, step: StepKey, endpoints: list[Endpoint], now: float
    ) -> list[Endpoint]:
        """Return the endpoints with a valid ticket; ask for more if there is none."""
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
        """Return the advice that has been wanted for longest, and take it off."""
        if not self._wanted:
            return None
        return self._wanted.pop(next(iter(self._wanted)))

    def ticket(self, step: StepKey, endpoint: EndpointId) -> str:
        """Return the ticket for a step on an endpoint; empty for none."""
        known = self._steps.get(step)
        found = known.allowed.get(endpoint) if known is not None else None
        return found.text if found is not None else ""

    def take(
        self, wanted: AdviceRequest, advised: AdviceAnswer, asked_at: float
    ) -> None:
        """Note an answer; its tickets count from when it was asked for."""
        known = self._steps.setdefault(wanted.step, _StepAdvice())
        until = asked_at + advised.valid_ms / 1000
        for row in advised.allowed:
            known.allowed[row.endpoint] = _Ticket(row.ticket, until)
        known.denied |= set(wanted.endpoints) - set(known.allowed)

    def refuse(self, step: StepKey, endpoint: EndpointId) -> None:
        """Note that an endpoint did not accept its ticket."""
        known = self._steps.get(step)
        if known is not None:
            known.allowed.pop(endpoint, None)

    def forget(self, job: JobId) -> None:
        """Drop what is known of a job that has ended."""
        for step in [one for one in self._steps if one.job == job]:
            del self._steps[step]
            self._wanted.pop(step, None)
