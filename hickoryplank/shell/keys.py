"""Authenticates callers by the keys of their teams."""

import hashlib
import hmac

from hickoryplank.core.ids import TeamId
from hickoryplank.core.objects import Key, Kind, Queue
from hickoryplank.core.tables import Tables

__all__ = ["KeyIndex", "digest_of_secret", "may_submit"]


def digest_of_secret(secret: str) -> str:
    """Return the digest by which a key's secret is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()


class KeyIndex:
    """Index of key objects by digest, rebuilt at each new revision of the tables."""

    def __init__(self) -> None:
        self._keys: dict[str, Key] = {}
        self._revision = -1

    def team_of(self, tables: Tables, secret: str) -> TeamId | None:
        """Return the team that the key ``secret`` belongs to, or ``None``."""
        if self._revision != tables.revision:
            self._rebuild(tables)
        digest = digest_of_secret(secret)
        key = self._keys.get(digest)
        if key is None or not hmac.compare_digest(key.digest, digest):
            return None
        return key.team

    def _rebuild(self, tables: Tables) -> None:
        rows = tables.objects[Kind.KEY].values()
        keys = [row.obj for row in rows if isinstance(row.obj, Key)]
        self._keys = {key.digest: key for key in keys}
        self._revision = tables.revision


def may_submit(queue: Queue, team: TeamId) -> bool:
    """Return whether ``team`` may submit work to ``queue``."""
    return not queue.teams or team in queue.teams
