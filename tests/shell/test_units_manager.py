"""Tests of the units that nodes hold before work arrives, on the in-memory log."""

import contextlib
from dataclasses import dataclass

import anyio
import pytest

from hickoryplank.core.edits import base_for
from hickoryplank.core.escrow import Escrow
from hickoryplank.core.ids import Incarnation, OperatorId, TeamId
from hickoryplank.core.objects import Limit, Share, Team
from hickoryplank.core.records import EditSet, Put
from hickoryplank.external.faults import LogFaults
from hickoryplank.external.log_memory import MemoryLog
from hickoryplank.shell.clock import MonotonicClock
from hickoryplank.shell.replica import Replica, new_record_id
from hickoryplank.shell.tasks import TaskSpawner
from hickoryplank.shell.units_manager import UnitsManager
from tests.shell.test_replica import joined_replica, wait_until_caught_up

pytestmark = pytest.mark.anyio

TEAM = TeamId("rutas")


@pytest.fixture
def anyio_backend():
    return "asyncio"


@dataclass
class DroppingTransport:
    """A transport that drops every message."""

    def send(self, peer: Incarnation, message: object) -> bool:
        return False


def limit_edit_set(replica: Replica, units: int) -> EditSet:
    edits = (
        Put(Team(name=TEAM)),
        Put(Share(name=TEAM, percent=60)),
        Put(Limit(name=TEAM, units=units)),
    )
    return EditSet(
        id=new_record_id(),
        operator=OperatorId("olga"),
        base=base_for(replica.tables, edits),
        edits=edits,
    )


@pytest.mark.parametrize(
    ("units", "starts"),
    [
        (48, [True, True, True]),
        (3, [True, True, True]),
        (2, [False, False, False]),
    ],
)
async def test_nodes_without_earlier_work_can_start_it_without_the_log(units, starts):
    """With fewer units than nodes, units are acquired through the log on demand."""
    log, clock = MemoryLog(), MonotonicClock()
    async with contextlib.AsyncExitStack() as stack:
        replicas = []
        for i in range(3):
            replica, _ = await stack.enter_async_context(
                joined_replica(log, f"entry-{i}")
            )
            if not replicas:
                (await replica.submit(limit_edit_set(replica, units))).unwrap()
            replicas.append(replica)
        for replica in replicas:
            await wait_until_caught_up(replica, replicas[-1].offset)
        async with anyio.create_task_group() as group:
            escrows = []
            for replica in replicas:
                escrow = Escrow(replica.incarnation, new_record_id)
                manager = UnitsManager(
                    escrow,
                    replica,
                    DroppingTransport(),
                    dict,
                    TaskSpawner(group),
                    clock,
                )
                group.start_soon(manager.serve)
                escrows.append(escrow)
            await anyio.sleep(1.2)
            log.set_faults(LogFaults(outage=True))
            pairs = zip(escrows, replicas, strict=True)
            assert [one.start(rep.tables, TEAM) for one, rep in pairs] == starts
            group.cancel_scope.cancel()
