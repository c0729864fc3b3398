"""Counters and histograms of an entry and of its terms as coordinator."""

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from hickoryplank.coordinator.calls import Answer, Call
from hickoryplank.jobs.messages import EngineEvent, StartOutcome
from hickoryplank.jobs.quarantine import SubjectKind

if TYPE_CHECKING:
    from opentelemetry.metrics import Meter

__all__ = ["EntryMetrics"]

#: Largest number of measurements that are buffered until a meter is attached. An entry
#: takes a few hundred in the seconds before.
MAX_BUFFERED_MEASUREMENTS = 4096


class _InstrumentName(Enum):
    """Instruments; the value is the name on the metrics page."""

    CALLS = "calls"
    CALL_SECONDS = "call.seconds"
    STARTS = "starts"
    DECISIONS = "decisions"
    APPEND_SECONDS = "append.seconds"
    ADMISSIONS = "admissions"
    RETURN_SECONDS = "admission.return.seconds"
    DELAYED_JOBS = "shortage.delayed.jobs"
    REFUSED_RECORDS = "records.refused"
    MISSING_ENDS = "ends.missing"
    EVACUATED_ZONES = "evacuated.zones"
    EVACUATED_ZONES_RUNS = "evacuated.zones.runs"
    SET_ASIDE = "set_aside"
    SET_ASIDE_NOW = "set_aside.now"


class _Measurement(msgspec.Struct, frozen=True):
    instrument: _InstrumentName
    value: float
    attributes: dict[str, str]


_Recorder = Callable[[float, dict[str, str]], None]


class EntryMetrics:
    """Records measurements under the names that the logs use too.

    Loading the library of the meter takes a fifth of the time in which an entry starts,
    so it is loaded later. Earlier measurements are buffered.
    """

    def __init__(self) -> None:
        self._recorders: dict[_InstrumentName, _Recorder] | None = None
        self._buffered: deque[_Measurement] = deque(maxlen=MAX_BUFFERED_MEASUREMENTS)
        self._evacuated = (0, 0)
        self._set_aside_counts: dict[SubjectKind, int] = {}

    def attach(self, meter: "Meter") -> None:
        """Record on a meter from now on, starting with the buffered measurements."""
        self._recorders = _create_recorders(meter)
        while self._buffered:
            self._record(self._buffered.popleft())

    def call(self, call: Call, answer: Answer, seconds: float) -> None:
        """Record an answered call.

        :param seconds: time from the call to its answer.
        """
        labels = {"call": type(call).__name__, "answer": type(answer).__name__}
        self._record(_Measurement(_InstrumentName.CALLS, 1, labels))
        self._record(
            _Measurement(
                _InstrumentName.CALL_SECONDS, seconds, {"call": type(call).__name__}
            )
        )

    def start(self, outcome: StartOutcome) -> None:
        """Count an answer of an endpoint to a start request."""
        self._record(
            _Measurement(_InstrumentName.STARTS, 1, {"outcome": outcome.value})
        )

    def event(self, event: EngineEvent) -> None:
        """Count a decision of the engine."""
        labels = {"happening": event.kind.value, "why": event.reason}
        self._record(_Measurement(_InstrumentName.DECISIONS, 1, labels))

    def refusal(self, again_s: int) -> None:
        """Count a job that was refused for want of room.

        :param again_s: after how long its caller was told to return, in seconds.
        """
        self._record(
            _Measurement(_InstrumentName.ADMISSIONS, 1, {"outcome": "refused"})
        )
        self._record(_Measurement(_InstrumentName.RETURN_SECONDS, again_s, {}))

    def acceptance(self, *, returned: bool) -> None:
        """Count a new job that was accepted.

        :param returned: it had been refused, and its caller came back at its time.
        """
        outcome = "returned" if returned else "accepted"
        self._record(_Measurement(_InstrumentName.ADMISSIONS, 1, {"outcome": outcome}))

    def delayed_jobs(self, count: int) -> None:
        """Record the jobs of a pool that are delayed while it lacks room."""
        self._record(_Measurement(_InstrumentName.DELAYED_JOBS, count, {}))

    def append(self, seconds: float) -> None:
        """Record a stored batch.

        :param seconds: time that the append took.
        """
        self._record(_Measurement(_InstrumentName.APPEND_SECONDS, seconds, {}))

    def refused_records(self, count: int) -> None:
        """Count records of jobs that the store refuses for good."""
        self._record(_Measurement(_InstrumentName.REFUSED_RECORDS, count, {}))

    def missing_ends(self, count: int) -> None:
        """Count ends that endpoints have dropped before they were read."""
        self._record(_Measurement(_InstrumentName.MISSING_ENDS, count, {}))

    def evacuated_zones(self, zones: int, runs: int) -> None:
        """Record the number of evacuated zones, and of the runs still there.

        Both are 0 while this entry is not the coordinator.
        """
        if (zones, runs) == self._evacuated:
            return
        self._evacuated = (zones, runs)
        self._record(_Measurement(_InstrumentName.EVACUATED_ZONES, zones, {}))
        self._record(_Measurement(_InstrumentName.EVACUATED_ZONES_RUNS, runs, {}))

    def set_aside(self, kind: SubjectKind) -> None:
        """Count an unexpected exception that set something aside."""
        self._record(_Measurement(_InstrumentName.SET_ASIDE, 1, {"kind": kind.value}))

    def set_aside_counts(self, counts: dict[SubjectKind, int]) -> None:
        """Record how much of each kind is set aside now."""
        for kind, count in counts.items():
            if count != self._set_aside_counts.get(kind, 0):
                labels = {"kind": kind.value}
                self._record(_Measurement(_InstrumentName.SET_ASIDE_NOW, count, labels))
        self._set_aside_counts = counts

    def _record(self, measurement: _Measurement) -> None:
        if self._recorders is None:
            self._buffered.append(measurement)
        else:
            self._recorders[measurement.instrument](
                measurement.value, measurement.attributes
            )


def _create_recorders(meter: "Meter") -> dict[_InstrumentName, _Recorder]:
    return {
        _InstrumentName.CALLS: meter.create_counter(
            _InstrumentName.CALLS.value,
            description="callers' calls, by kind and answer",
        ).add,
        _InstrumentName.CALL_SECONDS: meter.create_histogram(
            _InstrumentName.CALL_SECONDS.value,
            "s",
            "time from a caller's call to its answer",
        ).record,
        _InstrumentName.STARTS: meter.create_counter(
            _InstrumentName.STARTS.value,
            description="answers of endpoints to starts, by outcome",
        ).add,
        _InstrumentName.DECISIONS: meter.create_counter(
            _InstrumentName.DECISIONS.value,
            description="decisions on runs and jobs, by kind and reason",
        ).add,
        _InstrumentName.APPEND_SECONDS: meter.create_histogram(
            _InstrumentName.APPEND_SECONDS.value,
            "s",
            "time until a batch of records was stored",
        ).record,
        _InstrumentName.ADMISSIONS: meter.create_counter(
            _InstrumentName.ADMISSIONS.value,
            description="new jobs, by whether there was room for them in time",
        ).add,
        _InstrumentName.DELAYED_JOBS: meter.create_histogram(
            _InstrumentName.DELAYED_JOBS.value,
            "1",
            "jobs that a pool without enough room delays, once a second",
        ).record,
        _InstrumentName.RETURN_SECONDS: meter.create_histogram(
            _InstrumentName.RETURN_SECONDS.value,
            "s",
            "time after which callers of refused jobs were told to return",
        ).record,
        _InstrumentName.REFUSED_RECORDS: meter.create_counter(
            _InstrumentName.REFUSED_RECORDS.value,
            description="records of jobs that the store refuses for good",
        ).add,
        _InstrumentName.MISSING_ENDS: meter.create_counter(
            _InstrumentName.MISSING_ENDS.value,
            description="ends of runs that endpoints dropped before they were read",
        ).add,
        _InstrumentName.EVACUATED_ZONES: meter.create_gauge(
            _InstrumentName.EVACUATED_ZONES.value,
            description="availability zones that the coordinator keeps evacuated",
        ).set,
        _InstrumentName.EVACUATED_ZONES_RUNS: meter.create_gauge(
            _InstrumentName.EVACUATED_ZONES_RUNS.value,
            description="runs on endpoints in evacuated zones",
        ).set,
        _InstrumentName.SET_ASIDE: meter.create_counter(
            _InstrumentName.SET_ASIDE.value,
            description="exceptions that set a job, endpoint, wave or VM aside",
        ).add,
        _InstrumentName.SET_ASIDE_NOW: meter.create_gauge(
            _InstrumentName.SET_ASIDE_NOW.value,
            description="jobs, endpoints, waves and VMs that are set aside, by kind",
        ).set,
    }
