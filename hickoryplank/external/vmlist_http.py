"""HTTP client of the VM list."""

from http import HTTPStatus

import msgspec
from result import Err, Ok, Result

from hickoryplank.core.ids import VmId
from hickoryplank.external import wire
from hickoryplank.external.channel import Channel, ChannelOptions, HttpResponse
from hickoryplank.external.errors import VmListFailure
from hickoryplank.external.vmlist import ListedVm, VmList

__all__ = ["HttpVmList"]


class HttpVmList(VmList):
    """HTTP client of the VM list.

    :param address: address of the service, as ``host:port``.
    :param options: time-outs and limits.
    """

    def __init__(self, address: str, options: ChannelOptions | None = None) -> None:
        self._channel = Channel(address, options or ChannelOptions())

    async def read(self) -> Result[tuple[ListedVm, ...], VmListFailure]:
        """Return the VM list, which lags by some seconds."""
        called = await self._call("GET", "/vms")
        return called.and_then(_decode_rows)

    async def reboot(
        self, vm: VmId, generation: int | None = None
    ) -> Result[None, VmListFailure]:
        """Request a reboot of ``vm``.

        :param generation: generation to end; the request is ignored if the VM has a
            later one.
        """
        body = msgspec.msgpack.encode(wire.RebootRequest(vm, generation))
        return (await self._call("POST", "/reboot", body)).map(lambda _: None)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._channel.aclose()

    async def _call(
        self, method: str, path: str, body: bytes = b""
    ) -> Result[HttpResponse, VmListFailure]:
        called = await self._channel.call(method, path, body=body)
        match called:
            case Ok(HttpResponse(HTTPStatus.OK) as response):
                return Ok(response)
            case Ok(response):
                return Err(VmListFailure(f"status {response.status}"))
            case Err(failure):
                return Err(VmListFailure(failure.detail))


def _decode_rows(response: HttpResponse) -> Result[tuple[ListedVm, ...], VmListFailure]:
    try:
        return Ok(msgspec.msgpack.decode(response.body, type=tuple[ListedVm, ...]))
    except msgspec.DecodeError as exc:
        return Err(VmListFailure(str(exc)))
