"""Ledger of the escrow units that incarnations hold of each team's limit."""

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
    """Return how many units of the team's limit no incarnation holds."""
    return max(0, -excess(tables, team))


def excess(tables: Tables, team: TeamId) -> int:
    """Return the units held above the limit; negative if some units are free."""
    return sum(tables.units.get(team, {}).values()) - tables.limit_of(team)


def surplus(tables: Tables, team: TeamId, holder: Incarnation) -> int:
    """Return how many units ``holder`` must return after a limit was lowered.

    The largest holders return units first. The rule is deterministic, so that
    all nodes compute the same surplus.
    """
    held = dict(tables.units.get(team, {}))
    if excess(tables, team) <= 0 or holder not in held:
        return 0
    limit = tables.limit_of(team)
    cap = _largest_cap(sorted(held.values()), limit)
    above = {inc: units - cap for inc, units in held.items() if units > cap}
    kept = sum(min(units, cap) for units in held.values())
    remainder = limit - kept
    rounded_up = sorted(above)[:remainder]
    return max(0, above.get(holder, 0) - (1 if holder in rounded_up else 0))


def _largest_cap(ordered: list[int], total: int) -> int:
    """Return the greatest cap such that the capped units sum to ``total`` at most."""
    remaining = total
    for index, units in enumerate(ordered):
        cap = remaining // (len(ordered) - index)
        if units > cap:
            return cap
        remaining -= units
    return ordered[-1] if ordered else 0


def apply_taken(tables: Tables, record: UnitsTaken) -> list[Fault]:
    """Grant the requested units, or as many as are free."""
    if record.units <= 0:
        return [Fault(FaultCode.BAD_VALUE, "a node must acquire at least one unit")]
    if not tables.is_live(record.holder):
        return [Fault(FaultCode.NOT_LIVE, f"holder {record.holder} is not live")]
    granted = min(record.units, free_units(tables, record.team))
    if granted == 0:
        return [Fault(FaultCode.NO_UNITS, f"no units of team {record.team} are free")]
    _change(tables, record.team, record.holder, granted)
    return []


def apply_moved(tables: Tables, record: UnitsMoved) -> list[Fault]:
    """Move units from a giver that has already stopped using them.

    If the receiver is not live, the units become free.
    """
    faults = _check_units_held(tables, record.team, record.giver, record.units)
    if faults:
        return faults
    _change(tables, record.team, record.giver, -record.units)
    if tables.is_live(record.receiver):
        _change(tables, record.team, record.receiver, record.units)
    return []


def apply_returned(tables: Tables, record: UnitsReturned) -> list[Fault]:
    """Free units that their holder has already stopped using."""
    faults = _check_units_held(tables, record.team, record.holder, record.units)
    if not faults:
        _change(tables, record.team, record.holder, -record.units)
    return faults


def _check_units_held(
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
