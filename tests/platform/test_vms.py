"""Tests of the adapter for machines against a fake platform."""

import anyio
import pytest
from aiohttp import web

from hickoryplank.coordinator.ports import ListedVm, OrderOutcome, VmState
from hickoryplank.core.ids import EndpointId, PoolId, VmId, WaveId, Zone
from hickoryplank.http_client import CONNECTIONS_PER_ADDRESS, HttpClient
from hickoryplank.platform.vms import PlatformVms
from tests.coordinator.memory_platform import MemoryStore, MemoryVms
from tests.jobs.driver import CAPACITY
from tests.standins.fake_platform import FakePlatform

pytestmark = pytest.mark.anyio
VM = VmId("m-1")


def always() -> bool:
    return True


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_vms_are_listed_moved_and_maintained():
    endpoint = EndpointId("e0")
    vm = ListedVm(VM, PoolId("p"), VmState.UP, Zone("z"), ("a",), CAPACITY, endpoint)
    memory = MemoryVms({VM: vm}, outage_s=30.0)
    platform = FakePlatform(MemoryStore(), vms=memory)
    client = HttpClient()
    port = PlatformVms(client, await platform.serve(platform.handle_vms), "entry-1")
    assert (await port.list()).unwrap() == (vm,)
    assert await port.move(VM, PoolId("q"), 4, always) is OrderOutcome.DONE
    assert await port.move(VM, PoolId("q"), 4, always) is OrderOutcome.DONE
    assert await port.maintain(VM, WaveId("2"), 4, always) is OrderOutcome.DONE
    assert (
        await port.move(VmId("m-2"), PoolId("q"), 4, always) is OrderOutcome.IMPOSSIBLE
    )
    assert memory.orders == [("move", VM, "q", 4), ("maintain", VM, "2", 4)]
    (listed,) = (await port.list()).unwrap()
    assert listed.state is VmState.MAINTENANCE
    await client.close()
    await platform.close()


@pytest.mark.parametrize(
    ("status", "body", "outcome"),
    [
        (409, '{"reason":"busy"}', OrderOutcome.BUSY),
        (409, '{"reason":"wave"}', OrderOutcome.NOT_IN_WAVE),
        (409, '{"reason":"fence"}', OrderOutcome.FENCED),
        (400, "", OrderOutcome.IMPOSSIBLE),
        (429, "", OrderOutcome.NOT_DONE),
        (503, "", OrderOutcome.NOT_DONE),
    ],
)
async def test_answers_to_orders(status, body, outcome):
    async def answer(request):
        return web.Response(status=status, text=body)

    platform = FakePlatform(MemoryStore())
    client = HttpClient()
    port = PlatformVms(client, await platform.serve(answer), "entry-1")
    assert await port.move(VM, PoolId("q"), 4, always) is outcome
    await client.close()
    await platform.close()


async def test_order_is_not_sent_if_the_permission_ends_while_it_waits():
    received, answered = [], anyio.Event()

    async def answer(request):
        received.append(await request.read())
        await answered.wait()
        return web.Response(status=429)

    platform = FakePlatform(MemoryStore())
    client = HttpClient()
    port = PlatformVms(client, await platform.serve(answer), "entry-1")
    permitted, outcomes = True, []

    async def order():
        outcomes.append(await port.move(VM, PoolId("q"), 4, lambda: permitted))

    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            for _ in range(CONNECTIONS_PER_ADDRESS + 1):
                group.start_soon(order)
            while len(received) < CONNECTIONS_PER_ADDRESS:
                await anyio.sleep(0.01)
            permitted = False
            answered.set()
    assert len(received) == CONNECTIONS_PER_ADDRESS
    assert outcomes == [OrderOutcome.NOT_DONE] * (CONNECTIONS_PER_ADDRESS + 1)
    await client.close()
    await platform.close()
