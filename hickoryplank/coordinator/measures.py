"""Counters and histograms of an entry and of its terms as coordinator."""

from opentelemetry.metrics import Meter

from hickoryplank.coordinator.calls import Answer, Call
from hickoryplank.jobs.messages import Note, StartOutcome

__all__ = ["Measures"]


class Measures:
    """What is counted, by the words that the logs use too."""

    def __init__(self, meter: Meter):
        self._calls = meter.create_counter(
            "calls", description="callers' calls, by kind and answer"
        )
        self._call_seconds = meter.create_histogram(
            "call.seconds", "s", "time from a caller's call to its answer"
        )
        self._starts = meter.create_counter(
            "starts", description="answers of endpoints to starts, by outcome"
        )
        self._notes = meter.create_counter(
            "decisions", description="decisions on runs and jobs, by kind and reason"
        )
        self._append_seconds = meter.create_histogram(
            "append.seconds", "s", "time until a batch of records was stored"
        )

    def call(self, call: Call, answer: Answer, seconds: float) -> None:
        """Count a call that was answered."""
        kind = {"call": type(call).__name__, "answer": type(answer).__name__}
        self._calls.add(1, kind)
        self._call_seconds.record(seconds, {"call": kind["call"]})

    def start(self, outcome: StartOutcome) -> None:
        """Count an answer to a start."""
        self._starts.add(1, {"outcome": outcome.value})

    def note(self, note: Note) -> None:
        """Count a decision."""
        self._notes.add(1, {"happening": note.happening.value, "why": note.why})

    def append(self, seconds: float) -> None:
        """Count a batch that was stored."""
        self._append_seconds.record(seconds)
