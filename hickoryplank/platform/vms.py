"""Adapter to the machines of the platform, which hickoryplank calls VMs."""

import logging

import msgspec
from result import Err, Ok, Result

from hickoryplank.coordinator.ports import (
    CallFault,
    CallFaultKind,
    ListedVm,
    OrderOutcome,
    Permission,
    VmPort,
    VmState,
)
from hickoryplank.core.ids import EndpointId, PoolId, VmId, WaveId, Zone
from hickoryplank.http_client import HttpClient, HttpResponse
from hickoryplank.jobs.sizes import Size
from hickoryplank.platform.decoding import Natural, decode_json

__all__ = ["PlatformVms"]

logger = logging.getLogger(__name__)

#: Timeout of a call, in seconds.
CALL_TIMEOUT_SECONDS = 1.0

_STATES = {
    "up": VmState.UP,
    "moving": VmState.MOVING,
    "upkeep": VmState.MAINTENANCE,
    "down": VmState.DOWN,
}
_REASONS = {
    "fence": OrderOutcome.FENCED,
    "busy": OrderOutcome.BUSY,
    "wave": OrderOutcome.NOT_IN_WAVE,
}


class _Capacity(msgspec.Struct, frozen=True):
    cpu: Natural = 0
    mem_mb: Natural = 0
    gpu: Natural = 0


class _Machine(msgspec.Struct):
    machine: str
    pool: str
    state: str
    zone: str = ""
    labels: list[str] = []
    capacity: _Capacity = _Capacity()
    #: Id of the executor on the machine, not of the machine.
    id: str | None = None


class _Machines(msgspec.Struct):
    machines: list[_Machine]
    next_token: str | None = None


class _Reason(msgspec.Struct):
    reason: str = ""


class _Move(msgspec.Struct):
    machine: str
    pool: str


class _Upkeep(msgspec.Struct):
    machine: str
    wave: int


_reason_decoder = msgspec.json.Decoder(_Reason)
_page_decoder = msgspec.json.Decoder(_Machines)


class PlatformVms(VmPort):
    """Machines over HTTP.

    :param address: host and port of the service for machines.
    :param holder: name of this entry, sent with each order.
    """

    def __init__(self, client: HttpClient, address: str, holder: str):
        self._client = client
        self._address = address
        self._holder = holder

    async def list(self) -> Result[tuple[ListedVm, ...], CallFault]:
        """Return all VMs in known states."""
        vms: list[ListedVm] = []
        token = ""
        while True:
            path = "/api/machines" + (f"?page_token={token}" if token else "")
            answer = await self._client.call(
                "GET", self._address, path, timeout_s=CALL_TIMEOUT_SECONDS
            )
            match answer:
                case Ok(HttpResponse(200, body)):
                    decoded = decode_json(_page_decoder, body)
                case Ok(response):
                    return Err(CallFault(CallFaultKind.NOT_DONE, str(response)))
                case Err(fault):
                    return Err(fault)
            if isinstance(decoded, Err):
                return Err(CallFault(CallFaultKind.INVALID_ANSWER, decoded.err()))
            page = decoded.ok()
            vms += [
                _to_listed_vm(machine)
                for machine in page.machines
                if machine.state in _STATES
            ]
            if not page.next_token:
                return Ok(tuple(vms))
            token = page.next_token

    async def move(
        self, vm: VmId, pool: PoolId, token: int, permitted: Permission
    ) -> OrderOutcome:
        """Order the move of a VM to another pool."""
        return await self._send_order(
            "/api/machine-move", _Move(vm, pool), token, permitted
        )

    async def maintain(
        self, vm: VmId, wave: WaveId, token: int, permitted: Permission
    ) -> OrderOutcome:
        """Order the maintenance of a VM for a wave."""
        return await self._send_order(
            "/api/machine-upkeep", _Upkeep(vm, int(wave)), token, permitted
        )

    async def _send_order(
        self, path: str, order, token: int, permitted: Permission
    ) -> OrderOutcome:
        answer = await self._client.call(
            "POST",
            self._address,
            path,
            body=msgspec.json.encode(order),
            headers={
                "Hickoryplank-Lease-Holder": self._holder,
                "Hickoryplank-Fencing-Token": str(token),
            },
            timeout_s=CALL_TIMEOUT_SECONDS,
            permitted=permitted,
        )
        match answer:
            case Ok(HttpResponse(200, _)):
                return OrderOutcome.DONE
            case Ok(HttpResponse(409, body)):
                return _conflict_outcome(body)
            case Ok(HttpResponse(400, _)):
                return OrderOutcome.IMPOSSIBLE
            case Ok(HttpResponse(429 | 503, _)) | Err(
                CallFault(CallFaultKind.NOT_DONE, _)
            ):
                return OrderOutcome.NOT_DONE
            case _:
                return OrderOutcome.UNKNOWN


def _conflict_outcome(body: bytes) -> OrderOutcome:
    match decode_json(_reason_decoder, body):
        case Ok(answer):
            return _REASONS.get(answer.reason, OrderOutcome.IMPOSSIBLE)
        case Err(detail):
            # Not carried out, but without a reason to give the order up.
            logger.info("malformed answer to a VM order", extra={"detail": detail})
            return OrderOutcome.NOT_DONE


def _to_listed_vm(machine: _Machine) -> ListedVm:
    size = Size(machine.capacity.cpu, machine.capacity.mem_mb, machine.capacity.gpu)
    return ListedVm(
        id=VmId(machine.machine),
        pool=PoolId(machine.pool),
        state=_STATES[machine.state],
        zone=Zone(machine.zone),
        labels=tuple(machine.labels),
        capacity=size,
        endpoint=EndpointId(machine.id) if machine.id else None,
    )
