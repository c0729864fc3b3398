"""Membership as this node sees it: heartbeats, failure detection and ownership."""

from collections.abc import Iterable

from hickoryplank.core.ids import Incarnation, PoolId
from hickoryplank.core.messages import Heartbeat
from hickoryplank.core.ownership import owner
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.peer_transport import PeerTransport
from hickoryplank.shell.replica import Replica

__all__ = ["HEARTBEAT_INTERVAL_SECONDS", "SUSPICION_TIMEOUT_SECONDS", "Membership"]

HEARTBEAT_INTERVAL_SECONDS = 0.5
SUSPICION_TIMEOUT_SECONDS = 1.2
REDIAL_TIMEOUT_SECONDS = 3.0


class Membership:
    """Detects failed peers by their heartbeats, and derives the owners of pools.

    A live peer may be suspected, and a failed one may still count as alive, so that
    nodes may disagree on the owner of a pool.

    :ivar leaving: whether this node gives up ownership because it is stopping.
    """

    def __init__(self, replica: Replica, peers: PeerTransport, clock: Clock):
        self._replica = replica
        self._transport = peers
        self._clock = clock
        self._last_heartbeat_at: dict[Incarnation, float] = {}
        self._dialed_at: dict[Incarnation, float] = {}
        self._leaving: set[Incarnation] = set()
        self._owners: dict[PoolId, Incarnation | None] = {}
        self._alive: frozenset[Incarnation] = frozenset()
        self.leaving = False

    @property
    def own_incarnation(self) -> Incarnation:
        """This node's incarnation."""
        return self._replica.incarnation

    def note_heartbeat(self, sender: Incarnation, heartbeat: Heartbeat) -> None:
        """Record a peer's heartbeat and the log offset that it has confirmed."""
        self._last_heartbeat_at[sender] = self._clock.now()
        self._replica.note_confirmed(sender, heartbeat.confirmed)
        if heartbeat.leaving:
            self._leaving.add(sender)

    def send_heartbeats(self) -> None:
        """Connect to the live nodes in the table, and send them heartbeats.

        Connections to nodes that are no longer live are closed, and connections to
        silent nodes are replaced.
        """
        now = self._clock.now()
        rows = [
            row
            for row in self._replica.tables.live_nodes()
            if row.incarnation != self.own_incarnation
        ]
        self._transport.connect({row.incarnation: row.peer for row in rows})
        confirmed = self._replica.freshness.confirmed(now)
        self._transport.broadcast(Heartbeat(confirmed, self.leaving))
        for row in rows:
            self._redial_if_silent(row.incarnation, now)

    def _redial_if_silent(self, peer: Incarnation, now: float) -> None:
        dialed_at = self._dialed_at.setdefault(peer, now)
        last = max(self._last_heartbeat_at.get(peer, 0.0), dialed_at)
        if now - last > REDIAL_TIMEOUT_SECONDS:
            self._transport.redial(peer)
            self._dialed_at[peer] = now

    def is_alive(self, peer: Incarnation) -> bool:
        """Return whether ``peer`` is live in the table and sent a recent heartbeat."""
        last_heartbeat_at = self._last_heartbeat_at.get(peer)
        is_recent = (
            last_heartbeat_at is not None
            and self._clock.now() - last_heartbeat_at <= SUSPICION_TIMEOUT_SECONDS
        )
        return is_recent and self._replica.tables.is_live(peer)

    def alive(self) -> frozenset[Incarnation]:
        """Return this node and the live peers that are not leaving."""
        peers = (peer for peer in self._last_heartbeat_at if self.is_alive(peer))
        staying = {peer for peer in peers if peer not in self._leaving}
        return frozenset(staying | {self.own_incarnation})

    def owner_of(self, pool: PoolId) -> Incarnation:
        """Return the node that queues and dispatches the work of ``pool``."""
        alive = self.alive()
        if alive != self._alive:
            self._alive = alive
            self._owners.clear()
        if pool not in self._owners:
            self._owners[pool] = owner(pool, self._candidates(alive))
        return self._owners[pool] or self.own_incarnation

    def _candidates(self, alive: Iterable[Incarnation]) -> list[Incarnation]:
        if self.leaving:
            return [peer for peer in alive if peer != self.own_incarnation]
        return list(alive)
