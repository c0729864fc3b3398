"""Availability of external dependencies, logged when it changes."""

import logging

from hickoryplank.shell.clock import Clock

__all__ = ["DependencyMonitor"]

logger = logging.getLogger(__name__)


class DependencyMonitor:
    """Tracks whether one dependency of an entry answers.

    :param name: name of the dependency in the log.
    """

    def __init__(self, name: str, clock: Clock):
        self._name = name
        self._clock = clock
        self._unavailable_since: float | None = None
        self._failures = 0

    @property
    def available(self) -> bool:
        """Whether the last call was answered."""
        return self._unavailable_since is None

    def note_failure(self, detail: str) -> None:
        """Record a failed call, and log it if the call before was answered.

        :param detail: why the call failed.
        """
        self._failures += 1
        if self._unavailable_since is not None:
            return
        self._unavailable_since = self._clock.now()
        logger.warning(
            "dependency lost", extra={"dependency": self._name, "detail": detail}
        )

    def note_answer(self) -> None:
        """Record an answered call, and log it if the call before failed."""
        if self._unavailable_since is None:
            return
        logger.info(
            "dependency regained",
            extra={
                "dependency": self._name,
                "failures": self._failures,
                "seconds": round(self._clock.now() - self._unavailable_since, 3),
            },
        )
        self._unavailable_since = None
        self._failures = 0
