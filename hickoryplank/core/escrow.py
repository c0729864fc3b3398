"""A node's use of the escrow units that it holds in the ledger."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from hickoryplank.core.ids import Incarnation, RecordId, Revision, TeamId
from hickoryplank.core.records import Record, UnitsMoved, UnitsReturned, UnitsTaken
from hickoryplank.core.tables import Tables
from hickoryplank.core.units import excess, free_units, surplus

__all__ = [
    "REQUEST_TTL_SECONDS",
    "ROTATION_SECONDS",
    "Escrow",
    "UnitsRecord",
    "PeerUnitsRequest",
]

#: Time after which a peer's request for units that is not repeated expires, in seconds.
REQUEST_TTL_SECONDS = 1.0
#: Time for which a node keeps units that cannot be divided evenly while peers wait for
#: them, in seconds.
ROTATION_SECONDS = 0.2

UnitsRecord = UnitsTaken | UnitsMoved | UnitsReturned
_Record = TypeVar("_Record", UnitsTaken, UnitsMoved, UnitsReturned)


class PeerUnitsRequest(msgspec.Struct, frozen=True):
    """Request of another node for units of a team.

    :param node: the node that requests the units.
    :param demand: units for all work that the node runs and has waiting.
    :param waited: seconds since the node first lacked units or last received one.
    """

    team: TeamId
    node: Incarnation
    demand: int
    waited: float


@dataclass
class _PeerRequest:
    demand: int
    since: float
    repeated_at: float


@dataclass
class _TeamState:
    """The node's state for the units of one team.

    :param short_since: when the node first lacked units or last received one.
    :param held: the units that the node held at its last request.
    :param pending: records that are not folded yet, by id.
    :param requests: the requests of other nodes.
    """

    running: int = 0
    short_since: float | None = None
    held: int = 0
    pending: dict[RecordId, UnitsRecord] = field(default_factory=dict)
    requests: dict[Incarnation, _PeerRequest] = field(default_factory=dict)


@dataclass
class Escrow:
    """The units that one incarnation may use.

    The ledger in the node's tables may lag behind the log. That is safe because
    only records of the node itself take units away from it, and the node stops
    using the units before it appends such a record. Units that the node receives
    count once their record is folded.

    :param me: the node's own incarnation.
    :param new_id: returns a new unique record id.
    """

    me: Incarnation
    new_id: Callable[[], RecordId]
    _teams: dict[TeamId, _TeamState] = field(default_factory=dict)

    def running(self, team: TeamId) -> int:
        """Return how many units the node's work of ``team`` uses."""
        return self._team(team).running

    def held(self, tables: Tables, team: TeamId) -> int:
        """Return the units held, less those in pending transfers and returns."""
        if not tables.is_live(self.me):
            return 0
        held = tables.units.get(team, {}).get(self.me, 0)
        return held - self._outgoing_units(team)

    def units_to_return(self, tables: Tables, team: TeamId) -> int:
        """Return the units to return because the limit was lowered."""
        return max(0, surplus(tables, team, self.me) - self._outgoing_units(team))

    def available(self, tables: Tables, team: TeamId) -> int:
        """Return how many units of ``team`` the node may use for new work now.

        While more units are held than a lowered limit allows, no node starts
        work, since the other nodes may still use all units that they hold.
        """
        if excess(tables, team) > 0:
            return 0
        return max(0, self.held(tables, team) - self.running(team))

    def start(self, tables: Tables, team: TeamId) -> bool:
        """Use one unit for new work; return whether a unit was available."""
        if self.available(tables, team) == 0:
            return False
        self._team(team).running += 1
        return True

    def finish(self, team: TeamId) -> None:
        """Release the unit of work that has ended or whose lease has expired.

        :raises ValueError: if no work of ``team`` is running.
        """
        state = self._team(team)
        if state.running == 0:
            raise ValueError(f"no work of team {team} is running")
        state.running -= 1

    def offer(
        self, tables: Tables, team: TeamId, receiver: Incarnation, units: int
    ) -> UnitsMoved | None:
        """Stop using ``units`` and return the record that moves them to ``receiver``.

        :return: ``None`` if not as many units are available.
        """
        if not 0 < units <= self.available(tables, team):
            return None
        record = UnitsMoved(
            id=self.new_id(),
            since=Revision(tables.sequence),
            team=team,
            giver=self.me,
            receiver=receiver,
            units=units,
        )
        return self._add(record)

    def return_surplus(self, tables: Tables, team: TeamId) -> UnitsReturned | None:
        """Return the record that returns units after a limit was lowered.

        A node returns its surplus first. While other nodes still use their
        surplus, it returns further idle units instead, so that no node is held
        up by work that runs elsewhere.
        """
        excess_units = excess(tables, team)
        idle = self.held(tables, team) - self.running(team)
        units = min(idle, self.units_to_return(tables, team) or excess_units)
        if excess_units <= 0 or units <= 0 or self._outgoing_units(team):
            return None
        record = UnitsReturned(
            id=self.new_id(),
            since=Revision(tables.sequence),
            team=team,
            holder=self.me,
            units=units,
        )
        return self._add(record)

    def acquire(self, tables: Tables, team: TeamId, queued: int) -> UnitsTaken | None:
        """Return the record that acquires free units from the ledger.

        There is at most one such record pending for each team.

        :param queued: units that the waiting work of the team needs.
        """
        shortfall = queued - self.available(tables, team)
        units = min(shortfall, free_units(tables, team))
        if units <= 0 or self._is_acquiring(team) or not tables.is_live(self.me):
            return None
        record = UnitsTaken(
            id=self.new_id(),
            since=Revision(tables.sequence),
            team=team,
            holder=self.me,
            units=units,
        )
        return self._add(record)

    def request_units(
        self, tables: Tables, team: TeamId, queued: int, now: float
    ) -> PeerUnitsRequest | None:
        """Return the request to send to the other holders while the node lacks units.

        :param queued: units that the waiting work of the team needs.
        :param now: the node's clock, in seconds.
        """
        state = self._team(team)
        if queued <= self.available(tables, team):
            state.short_since = None
            return None
        held = self.held(tables, team)
        if state.short_since is None or held > state.held:
            state.short_since = now
        state.held = held
        if free_units(tables, team):
            return None
        waited = now - state.short_since
        return PeerUnitsRequest(team, self.me, state.running + queued, waited)

    def note_request(self, peer_request: PeerUnitsRequest, now: float) -> None:
        """Record a request of another node, which repeats it while it lacks units."""
        request = _PeerRequest(peer_request.demand, now - peer_request.waited, now)
        self._team(peer_request.team).requests[peer_request.node] = request

    def grant_requests(
        self, tables: Tables, team: TeamId, queued: int, now: float
    ) -> list[UnitsMoved]:
        """Return the records that distribute idle units fairly to requesting nodes.

        The split is max-min fair by demand. Units that cannot be divided evenly go
        to the nodes that have waited longest; this node counts as having waited for
        ``ROTATION_SECONDS``. A limit below the number of nodes thus rotates among
        them.

        :param queued: units that the node's own waiting work needs.
        :param now: the node's clock, in seconds.
        """
        requests = self._team(team).requests
        for node in [n for n, r in requests.items() if _expired(r, now)]:
            del requests[node]
        requesters = [node for node in requests if tables.is_live(node)]
        if not requesters:
            return []
        fair_units = self._fair_split(tables, team, requesters, queued, now)
        records = []
        for node in sorted(requesters, key=lambda n: (requests[n].since, n)):
            shortfall = fair_units[node] - tables.units.get(team, {}).get(node, 0)
            units = min(shortfall, self.available(tables, team))
            record = self.offer(tables, team, node, units)
            if record is not None:
                del requests[node]
                records.append(record)
        return records

    def note_folded(self, record: Record) -> None:
        """Record that a record was folded, whether it was accepted or refused.

        This must be called for each record of a batch before any work starts, so
        that the ledger and the node's own count change together.
        """
        if isinstance(record, UnitsRecord):
            self._team(record.team).pending.pop(record.id, None)

    def pending_records(self) -> list[UnitsRecord]:
        """Return the records that are not folded yet and may be appended again."""
        return [
            record
            for state in self._teams.values()
            for record in state.pending.values()
        ]

    def teams(self) -> Collection[TeamId]:
        """Return the teams for which the node has kept any state."""
        return self._teams.keys()

    def _team(self, team: TeamId) -> _TeamState:
        return self._teams.setdefault(team, _TeamState())

    def _add(self, record: _Record) -> _Record:
        self._team(record.team).pending[record.id] = record
        return record

    def _outgoing_units(self, team: TeamId) -> int:
        return sum(
            record.units
            for record in self._team(team).pending.values()
            if not isinstance(record, UnitsTaken)
        )

    def _is_acquiring(self, team: TeamId) -> bool:
        pending = self._team(team).pending.values()
        return any(isinstance(record, UnitsTaken) for record in pending)

    def _fair_split(
        self,
        tables: Tables,
        team: TeamId,
        requesters: list[Incarnation],
        queued: int,
        now: float,
    ) -> dict[Incarnation, int]:
        """Return the fair share of each requesting node and of this node, in units."""
        state = self._team(team)
        ledger = tables.units.get(team, {})
        own_units = self.held(tables, team)
        demands = {node: state.requests[node].demand for node in requesters}
        demands[self.me] = state.running + queued
        waits = {node: now - state.requests[node].since for node in requesters}
        waits[self.me] = ROTATION_SECONDS
        total = own_units + sum(ledger.get(node, 0) for node in requesters)
        return _max_min_split(total, demands, waits)


def _expired(request: _PeerRequest, now: float) -> bool:
    return now - request.repeated_at > REQUEST_TTL_SECONDS


def _max_min_split(
    total: int, demands: dict[Incarnation, int], waits: dict[Incarnation, float]
) -> dict[Incarnation, int]:
    """Return a max-min fair split of ``total``; the longest waits get the remainder."""
    fair_units = dict.fromkeys(demands, 0)
    unsatisfied = sorted(demands, key=lambda node: (-waits[node], node))
    while total > 0 and unsatisfied:
        each = total // len(unsatisfied)
        if each == 0:
            for node in unsatisfied[:total]:
                fair_units[node] += 1
            break
        for node in unsatisfied:
            part = min(each, demands[node] - fair_units[node])
            fair_units[node] += part
            total -= part
        unsatisfied = [node for node in unsatisfied if fair_units[node] < demands[node]]
    return fair_units
