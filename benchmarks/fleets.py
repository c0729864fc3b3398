"""Tables with the configuration of a deployment of 30 VMs or of a large fleet."""

from itertools import count

from hickoryplank.core.edits import base_for
from hickoryplank.core.fold import fold
from hickoryplank.core.ids import OperatorId, RecordId
from hickoryplank.core.objects import (
    ConfigObject,
    Endpoint,
    Key,
    Limit,
    Pool,
    Queue,
    Share,
    Team,
)
from hickoryplank.core.records import EditSet, Put
from hickoryplank.core.tables import Tables

__all__ = ["DEPLOYMENT_POOLS", "build_deployment", "build_fleet", "new_id"]

DEPLOYMENT_POOLS = ("farmdesk", "ruteplan", "kundeside", "faktura", "smaatt")
VMS_PER_RACK = 4
MIN_AVAILABLE_PERCENT = 80
_IDS = count(1)


def new_id() -> RecordId:
    """Return a record id that is unique in this process."""
    return RecordId(f"bench-{next(_IDS)}")


def tables_with(objects: list[ConfigObject]) -> Tables:
    """Return tables whose configuration consists of ``objects``."""
    tables = Tables()
    edits = tuple(Put(obj) for obj in objects)
    record = EditSet(
        id=new_id(),
        operator=OperatorId("bench"),
        base=base_for(tables, edits),
        edits=edits,
    )
    fold(tables, record).unwrap()
    return tables


def build_deployment(min_available: int = 4) -> Tables:
    """Return a deployment of 30 VMs in 3 zones and 5 pools of 6 VMs.

    :param min_available: VMs of each pool that have to stay in service.
    """
    return tables_with(
        [
            *(
                Pool(
                    name=pool,
                    min_available=min_available,
                    spare=pool == DEPLOYMENT_POOLS[-1],
                )
                for pool in DEPLOYMENT_POOLS
            ),
            *_teams(6),
            *_endpoints(30, list(DEPLOYMENT_POOLS), zones=3),
            *(Queue(name=f"queue-{pool}", pool=pool) for pool in DEPLOYMENT_POOLS),
        ]
    )


def build_fleet(
    vms: int = 1500, pools: int = 194, teams: int = 110, zones: int = 6
) -> Tables:
    """Return a fleet of the given numbers of VMs, pools, teams and zones."""
    names = [f"pool-{i}" for i in range(pools)]
    sizes = [vms // pools + (i < vms % pools) for i in range(pools)]
    return tables_with(
        [
            *(
                Pool(
                    name=name,
                    min_available=size * MIN_AVAILABLE_PERCENT // 100,
                    spare=name == names[-1],
                )
                for name, size in zip(names, sizes, strict=True)
            ),
            *_teams(teams),
            *_endpoints(vms, names, zones),
            *(Queue(name=f"queue-{name}", pool=name) for name in names),
        ]
    )


def _teams(teams: int) -> list[ConfigObject]:
    objects: list[ConfigObject] = []
    for i in range(teams):
        name = f"team-{i}"
        objects += [
            Team(name=name),
            Share(name=name, percent=100.0 / teams),
            Limit(name=name, units=200),
            Key(name=f"{name}-key", team=name, digest=f"{i:064x}"),
        ]
    return objects


def _endpoints(vms: int, pools: list[str], zones: int) -> list[Endpoint]:
    racks = -(-vms // VMS_PER_RACK)
    return [
        Endpoint(
            name=f"vm-{i}",
            address=f"10.{i // 65536}.{i // 256 % 256}.{i % 256}:8080",
            pool=pools[i % len(pools)],
            zone=f"zone-{(i // VMS_PER_RACK) * zones // racks}",
            rack=f"rack-{i // VMS_PER_RACK}",
        )
        for i in range(vms)
    ]
