"""Counters and histograms of an entry and of its terms as coordinator."""

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from hickoryplank.coordinator.calls import Answer, Call
from hickoryplank.jobs.messages import EngineEvent, StartOutcome

if TYPE_CHECKING:
    from opentelemetry.metrics import Meter

__all__ = ["EntryMetrics"]

#: Measurements that are buffered until a meter is attached. An entry takes a few
#: hundred in the seconds before.
EARLY_READINGS = 4096


class _Figure(Enum):
    """Instruments; the value is the name on the metrics page."""

    CALLS = "calls"
    CALL_SECONDS = "call.seconds"
    STARTS = "starts"
    DECISIONS = "decisions"
    APPEND_SECONDS = "append.seconds"


class _Reading(msgspec.Struct, frozen=True):
    figure: _Figure
    value: float
    attributes: dict[str, str]


_Instrument = Callable[[float, dict[str, str]], None]


class EntryMetrics:
    """Records measurements under the names that the logs use too.

    Loading the library of the meter takes a fifth of the start of an entry, so it is
    loaded later. Earlier measurements are buffered.
    """

    def __init__(self) -> None:
        self._instruments: dict[_Figure, _Instrument] | None = None
        self._early: deque[_Reading] = deque(maxlen=EARLY_READINGS)

    def attach(self, meter: "Meter") -> None:
        """Record on a meter from now on, starting with the buffered measurements."""
        self._instruments = _instruments(meter)
        while self._early:
            self._take(self._early.popleft())

    def call(self, call: Call, answer: Answer, seconds: float) -> None:
        """Record an answered call.

        :param seconds: time from the call to its answer.
        """
        kind = {"call": type(call).__name__, "answer": type(answer).__name__}
        self._take(_Reading(_Figure.CALLS, 1, kind))
        self._take(
            _Reading(_Figure.CALL_SECONDS, seconds, {"call": type(call).__name__})
        )

    def start(self, outcome: StartOutcome) -> None:
        """Count an answer of an endpoint to a start request."""
        self._take(_Reading(_Figure.STARTS, 1, {"outcome": outcome.value}))

    def note(self, note: EngineEvent) -> None:
        """Count a decision of the engine."""
        kind = {"happening": note.kind.value, "why": note.reason}
        self._take(_Reading(_Figure.DECISIONS, 1, kind))

    def append(self, seconds: float) -> None:
        """Record a stored batch.

        :param seconds: time that the append took.
        """
        self._take(_Reading(_Figure.APPEND_SECONDS, seconds, {}))

    def _take(self, reading: _Reading) -> None:
        if self._instruments is None:
            self._early.append(reading)
        else:
            self._instruments[reading.figure](reading.value, reading.attributes)


def _instruments(meter: "Meter") -> dict[_Figure, _Instrument]:
    return {
        _Figure.CALLS: meter.create_counter(
            _Figure.CALLS.value, description="callers' calls, by kind and answer"
        ).add,
        _Figure.CALL_SECONDS: meter.create_histogram(
            _Figure.CALL_SECONDS.value, "s", "time from a caller's call to its answer"
        ).record,
        _Figure.STARTS: meter.create_counter(
            _Figure.STARTS.value,
            description="answers of endpoints to starts, by outcome",
        ).add,
        _Figure.DECISIONS: meter.create_counter(
            _Figure.DECISIONS.value,
            description="decisions on runs and jobs, by kind and reason",
        ).add,
        _Figure.APPEND_SECONDS: meter.create_histogram(
            _Figure.APPEND_SECONDS.value,
            "s",
            "time until a batch of records was stored",
        ).record,
    }
