"""Escrow of upper limits: units that incarnations hold in the log's ledger."""

from hickoryplank.core.errors import Fault, FaultCode
from hickoryplank.core.ids import Incarnation, TeamId
from hickoryplank.core.records import UnitsMoved, UnitsReturned, UnitsTaken
from hickoryplank.core.tables import Tables

__all__ = [
    "apply_moved",
    "apply_returned",
    "apply_taken",
    "excess",
    "free_units",
    "surplus",
]


def free_units(tables: Tables, team: TeamId) -> int:
    """Return how many units of the team's limit nobody holds."""
    return max(0, -excess(tables, team))


def excess(tables: Tables, team: TeamId) -> int:
    """Return how many more units are held than the limit allows; below 0, fewer."""
    return sum(tables.units.get(team, {}).values()) - tables.limit_of(team)


def surplus(tables: Tables, team: TeamId, holder: Incarnation) -> int:
    """Return how many units ``holder`` has to give back after a limit was lowered.

    The largest holders give back first, so that all nodes reckon alike.
    """
    held = dict(tables.units.get(team, {}))
    if excess(tables, team) <= 0 or holder not in held:
        return 0
    limit = tables.limit_of(team)
    level = _level(sorted(held.values()), limit)
    above = {inc: units - level for inc, units in held.items() if units > level}
    kept = sum(min(units, level) for units in held.values())
    spare = limit - kept
    keepers = sorted(above)[:spare]
    return max(0, above.get(holder, 0) - (1 if holder in keepers else 0))


def _level(ordered: list[int], total: int) -> int:
    """Return the greatest cap under which the capped units stay within ``total``."""
    remaining = total
    for index, units in enumerate(ordered):
        cap = remaining // (len(ordered) - index)
        if units > cap:
            return cap
        remaining -= units
    return ordered[-1] if ordered else 0


def apply_taken(tables: Tables, record: UnitsTaken) -> list[Fault]:
    """Grant what is free, up to what was asked for."""
    if record.units <= 0:
        return [Fault(FaultCode.BAD_VALUE, "a node takes one unit or more")]
    if not tables.is_live(record.holder):
        return [Fault(FaultCode.NOT_LIVE, f"holder {record.holder} is not live")]
    granted = min(record.units, free_units(tables, record.team))
    if granted == 0:
        return [Fault(FaultCode.NO_UNITS, f"no unit of team {record.team} is free")]
    _change(tables, record.team, record.holder, granted)
    return []


def apply_moved(tables: Tables, record: UnitsMoved) -> list[Fault]:
    """Move units from a giver that has lowered its own count already.

    Units for a receiver that is not live become free instead, for the giver has
    stopped using them.
    """
    faults = _check_given(tables, record.team, record.giver, record.units)
    if faults:
        return faults
    _change(tables, record.team, record.giver, -record.units)
    if tables.is_live(record.receiver):
        _change(tables, record.team, record.receiver, record.units)
    return []


def apply_returned(tables: Tables, record: UnitsReturned) -> list[Fault]:
    """Free units that their holder has stopped using."""
    faults = _check_given(tables, record.team, record.holder, record.units)
    if not faults:
        _change(tables, record.team, record.holder, -record.units)
    return faults


def _check_given(
    tables: Tables, team: TeamId, giver: Incarnation, units: int
) -> list[Fault]:
    held = tables.units.get(team, {}).get(giver, 0)
    if units <= 0 or units > held:
        message = f"incarnation {giver} holds {held} units of team {team}, not {units}"
        return [Fault(FaultCode.NO_UNITS, message)]
    return []


def _change(tables: Tables, team: TeamId, holder: Incarnation, units: int) -> None:
    held = tables.units.setdefault(team, {})
    held[holder] = held.get(holder, 0) + units
    if held[holder] == 0:
        del held[holder]
    if not held:
        del tables.units[team]
