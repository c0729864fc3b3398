"""Records of availability zones, which operators evacuate and restore."""

import msgspec

from hickoryplank.core.errors import Fault, FaultCode
from hickoryplank.core.ids import Revision, Zone
from hickoryplank.core.objects import Endpoint, Kind
from hickoryplank.core.records import ZoneEvacuated, ZoneRestored
from hickoryplank.core.tables import Tables

__all__ = ["apply_evacuated", "apply_restored", "check_zone", "known_zones"]


def known_zones(tables: Tables) -> list[Zone]:
    """Return the zones of all VMs and live nodes, and those evacuated, by name."""
    zones = {
        row.obj.zone
        for row in tables.objects[Kind.ENDPOINT].values()
        if isinstance(row.obj, Endpoint)
    }
    zones.update(row.zone for row in tables.live_nodes())
    zones.update(tables.evacuated_zones or ())
    return sorted(zones)


def check_zone(tables: Tables, zone: Zone) -> list[Fault]:
    """Return a fault unless ``zone`` is a known zone."""
    known = known_zones(tables)
    if zone in known:
        return []
    message = (
        f"availability zone {zone!r} has no VM and is in no node's settings;"
        f" expected one of: {', '.join(known) or 'none is known'}"
    )
    return [Fault(FaultCode.MISSING_REFERENCE, message)]


def apply_evacuated(
    tables: Tables, record: ZoneEvacuated, revision: Revision
) -> list[Fault]:
    """Evacuate a zone; one that is evacuated already stays as it is."""
    faults = check_zone(tables, record.zone)
    if faults or record.zone in (tables.evacuated_zones or ()):
        return faults
    tables.evacuated_zones = {**(tables.evacuated_zones or {}), record.zone: revision}
    _mark_pools_changed(tables, record.zone)
    return []


def apply_restored(tables: Tables, record: ZoneRestored) -> list[Fault]:
    """Take the evacuation of a zone back; without one, nothing changes."""
    faults = check_zone(tables, record.zone)
    if faults or record.zone not in (tables.evacuated_zones or ()):
        return faults
    remaining = {
        zone: revision
        for zone, revision in tables.evacuated_zones.items()
        if zone != record.zone
    }
    tables.evacuated_zones = remaining or msgspec.UNSET
    _mark_pools_changed(tables, record.zone)
    return []


def _mark_pools_changed(tables: Tables, zone: Zone) -> None:
    """Mark the pools with VMs in ``zone``, whose room within the budget changes."""
    for row in tables.vms.values():
        endpoint = tables.endpoint_of(row.vm)
        if endpoint is not None and endpoint.zone == zone:
            tables.vm_index.mark_changed(row.pool, tables.sequence)
