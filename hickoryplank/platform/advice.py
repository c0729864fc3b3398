"""Adapter to the platform service that decides which executors may run a step."""

import msgspec
from result import Err, Ok, Result

from hickoryplank.coordinator.ports import AdvicePort, CallFault, CallFaultKind
from hickoryplank.core.ids import EndpointId
from hickoryplank.http_client import HttpClient, HttpResponse
from hickoryplank.jobs.advice import AdviceRequest
from hickoryplank.jobs.messages import AdviceAnswer, Permit
from hickoryplank.platform.decoding import Natural, decode_json

__all__ = ["PlatformAdvice"]


class _Ask(msgspec.Struct):
    step: str
    #: Ids of executors, not of machines.
    workers: list[str]


class _AllowedWorker(msgspec.Struct, array_like=True):
    id: str
    ticket: str


class _Advice(msgspec.Struct):
    allowed: list[_AllowedWorker]
    valid_ms: Natural = 0


_advice_decoder = msgspec.json.Decoder(_Advice)


class PlatformAdvice(AdvicePort):
    """Advice service over HTTP.

    :param address: host and port of the service.
    """

    def __init__(self, client: HttpClient, address: str):
        self._client = client
        self._address = address

    async def ask(
        self, request: AdviceRequest, within_s: float
    ) -> Result[AdviceAnswer, CallFault]:
        """Request which of the named endpoints may run a step."""
        step = request.step
        body = _Ask(
            f"{step.job}.{step.occurrence}.{step.step}", list(request.endpoints)
        )
        answer = await self._client.call(
            "POST",
            self._address,
            "/api/advise",
            body=msgspec.json.encode(body),
            timeout_s=within_s,
        )
        match answer:
            case Ok(HttpResponse(200, data)):
                return _decode_advice(data)
            case Ok(response):
                return Err(CallFault(CallFaultKind.NOT_DONE, str(response.status)))
            case Err(fault):
                return Err(fault)


def _decode_advice(data: bytes) -> Result[AdviceAnswer, CallFault]:
    match decode_json(_advice_decoder, data):
        case Ok(advice):
            rows = tuple(
                Permit(EndpointId(row.id), row.ticket) for row in advice.allowed
            )
            return Ok(AdviceAnswer(rows, advice.valid_ms))
        case Err(detail):
            return Err(CallFault(CallFaultKind.INVALID_ANSWER, detail))
