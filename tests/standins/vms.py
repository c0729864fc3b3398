"""Fake VM list."""

import httpx
import msgspec
from starlette.background import BackgroundTask
from starlette.requests import Request

from hickoryplank.external import wire
from hickoryplank.external.vmlist import ListedState, ListedVm
from hickoryplank.external.vmlist_memory import MemoryVmList
from tests.standins import service


def make_app(vms: MemoryVmList, reboot_seconds: float = 0.0) -> service.App:
    """Return the ASGI application that serves ``vms``.

    A reboot restarts the fake worker at the address of the VM, if that has a port.

    :param reboot_seconds: how long the worker is paused by a reboot, in seconds.
    """

    async def restart(address: str) -> None:
        async with httpx.AsyncClient(trust_env=False, verify=False) as client:
            body = {"seconds": reboot_seconds}
            await client.post(f"http://{address}/restart", json=body)

    async def read(_: Request):
        rows = await vms.read()
        return (
            service.msgpack_reply(rows.ok())
            if rows.is_ok()
            else service.reply(status=503)
        )

    async def reboot(request: Request):
        asked = msgspec.msgpack.decode(await request.body(), type=wire.RebootRequest)
        before = vms.current_rows()
        done = await vms.reboot(asked.vm, asked.generation)
        response = service.reply(status=200 if done.is_ok() else 503)
        for row in set(vms.current_rows()) - set(before):
            if ":" in row.address:
                response.background = BackgroundTask(restart, row.address)
        return response

    async def put(request: Request):
        vms.put(msgspec.json.decode(await request.body(), type=ListedVm))
        return service.reply()

    handlers = {"GET /vms": read, "PUT /vms": put, "POST /reboot": reboot}
    return service.App(vms, handlers)


if __name__ == "__main__":
    options = service.parser(__doc__)
    options.add_argument("--vm", action="append", default=[], help="NAME=ADDRESS")
    options.add_argument("--reboot-seconds", type=float, default=1.0)
    args = options.parse_args()
    named = (vm.split("=", 1) for vm in args.vm)
    rows = [ListedVm(vm, address, ListedState.LIVE, 1) for vm, address in named]
    vms = MemoryVmList(rows, args.reboot_seconds)
    service.run(make_app(vms, args.reboot_seconds), args.bind)
