"""Transfers escrow units to the nodes where work is queued."""

from collections.abc import Callable, Mapping

import anyio
from result import Err

from hickoryplank.core.escrow import Escrow, PeerUnitsRequest, UnitsRecord
from hickoryplank.core.fold import FoldResult
from hickoryplank.core.ids import Incarnation, TeamId
from hickoryplank.core.messages import UnitsRequest
from hickoryplank.core.objects import Kind
from hickoryplank.core.records import Record
from hickoryplank.external.errors import LogFailure
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.peer_transport import PeerTransport
from hickoryplank.shell.replica import Replica
from hickoryplank.shell.tasks import TaskSpawner

__all__ = ["UnitsManager"]

TICK_SECONDS = 0.05
TICKS_PER_REVIEW = 10
LOG_RETRY_DELAY_SECONDS = 0.2
#: Units of each limit that a node keeps free, so that it can start work while the
#: log is unavailable. With one unit, it then starts one request at a time.
SPARE_UNITS = 1

QueuedCounts = Callable[[], Mapping[TeamId, int]]


class UnitsManager:
    """Acquires, grants and returns units by records in the log.

    :param queued_counts: returns the number of requests queued on this node by team.
    """

    def __init__(
        self,
        escrow: Escrow,
        replica: Replica,
        transport: PeerTransport,
        queued_counts: QueuedCounts,
        spawner: TaskSpawner,
        clock: Clock,
    ):
        self._escrow = escrow
        self._replica = replica
        self._transport = transport
        self._queued_counts = queued_counts
        self._spawner = spawner
        self._clock = clock
        replica.subscribe(self._note_record)

    def _note_record(self, record: Record, fold_result: FoldResult) -> None:
        self._escrow.note_folded(record)

    def note_request(self, sender: Incarnation, units_request: UnitsRequest) -> None:
        """Record a peer's request for units."""
        peer_request = PeerUnitsRequest(
            units_request.team, sender, units_request.demand, units_request.waited
        )
        self._escrow.note_request(peer_request, self._clock.now())

    async def serve(self) -> None:
        """Manage the units of all teams until cancelled."""
        tick = 0
        while True:
            await anyio.sleep(TICK_SECONDS)
            queued_counts = self._queued_counts()
            tick += 1
            reviewed = self._known_teams() if tick % TICKS_PER_REVIEW == 0 else set()
            for team in reviewed | set(queued_counts):
                self._manage_team(team, queued_counts.get(team, 0))

    def _known_teams(self) -> set[TeamId]:
        limits = self._replica.tables.objects[Kind.LIMIT]
        return set(self._escrow.teams()) | {TeamId(name) for name in limits}

    def _spare_units(self, team: TeamId) -> int:
        """Return the units to keep free; 0 if there are fewer units than nodes."""
        tables = self._replica.tables
        enough = tables.limit_of(team) >= len(tables.live_nodes())
        return SPARE_UNITS if enough else 0

    def _manage_team(self, team: TeamId, queued: int) -> None:
        tables = self._replica.tables
        now = self._clock.now()
        records = self._escrow.grant_requests(tables, team, queued, now)
        for record in (
            self._escrow.return_surplus(tables, team),
            self._escrow.acquire(tables, team, max(queued, self._spare_units(team))),
            *records,
        ):
            if record is not None:
                self._spawner.start_soon(self._submit, record)
        peer_request = self._escrow.request_units(tables, team, queued, now)
        if peer_request is not None:
            self._send_to_holders(
                UnitsRequest(team, peer_request.demand, peer_request.waited)
            )

    def _send_to_holders(self, units_request: UnitsRequest) -> None:
        for holder in self._replica.tables.units.get(units_request.team, {}):
            if holder != self._replica.incarnation:
                self._transport.send(holder, units_request)

    async def _submit(self, record: UnitsRecord) -> None:
        """Submit a record until the log accepts it; its units are not used before."""
        while True:
            match await self._replica.submit(record):
                case Err(LogFailure()):
                    await anyio.sleep(LOG_RETRY_DELAY_SECONDS)
                case _:
                    return
