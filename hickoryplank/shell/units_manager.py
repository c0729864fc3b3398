"""Transfers escrow units to the nodes where work is queued."""

from collections.abc import Callable, Mapping

import anyio
from anyio.abc import TaskGroup
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

    :param waiting: returns the number of requests queued on this node, by team.
    """

    def __init__(
        self,
        escrow: Escrow,
        replica: Replica,
        transport: PeerTransport,
        waiting: QueuedCounts,
        group: TaskGroup,
        clock: Clock,
    ):
        self._escrow = escrow
        self._replica = replica
        self._transport = transport
        self._waiting = waiting
        self._group = group
        self._clock = clock
        replica.subscribe(self._note_record)

    def _note_record(self, record: Record, verdict: FoldResult) -> None:
        self._escrow.note_folded(record)

    def note_asked(self, sender: Incarnation, asked: UnitsRequest) -> None:
        """Record a peer's request for units."""
        wanted = PeerUnitsRequest(asked.team, sender, asked.demand, asked.waited)
        self._escrow.note_request(wanted, self._clock.now())

    async def serve(self) -> None:
        """Manage the units of all teams until cancelled."""
        beat = 0
        while True:
            await anyio.sleep(TICK_SECONDS)
            waiting = self._waiting()
            beat += 1
            known = self._known_teams() if beat % TICKS_PER_REVIEW == 0 else set()
            for team in known | set(waiting):
                self._look_after(team, waiting.get(team, 0))

    def _known_teams(self) -> set[TeamId]:
        limits = self._replica.tables.objects[Kind.LIMIT]
        return set(self._escrow.teams()) | {TeamId(name) for name in limits}

    def _spare(self, team: TeamId) -> int:
        """Return the units to keep free; 0 if there are fewer units than nodes."""
        tables = self._replica.tables
        enough = tables.limit_of(team) >= len(tables.live_nodes())
        return SPARE_UNITS if enough else 0

    def _look_after(self, team: TeamId, queued: int) -> None:
        tables = self._replica.tables
        now = self._clock.now()
        records = self._escrow.grant_requests(tables, team, queued, now)
        for record in (
            self._escrow.return_surplus(tables, team),
            self._escrow.acquire(tables, team, max(queued, self._spare(team))),
            *records,
        ):
            if record is not None:
                self._group.start_soon(self._submit, record)
        wanted = self._escrow.request_units(tables, team, queued, now)
        if wanted is not None:
            self._ask_holders(UnitsRequest(team, wanted.demand, wanted.waited))

    def _ask_holders(self, asked: UnitsRequest) -> None:
        for holder in self._replica.tables.units.get(asked.team, {}):
            if holder != self._replica.incarnation:
                self._transport.send(holder, asked)

    async def _submit(self, record: UnitsRecord) -> None:
        """Submit a record until the log takes it; its units are not used before."""
        while True:
            match await self._replica.submit(record):
                case Err(LogFailure()):
                    await anyio.sleep(LOG_RETRY_DELAY_SECONDS)
                case _:
                    return
