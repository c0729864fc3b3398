"""Traces with a span for each hop of a request, and metrics of requests."""

import logging
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from contextvars import ContextVar
from enum import Enum

import msgspec
from opentelemetry.context import Context
from opentelemetry.metrics import Meter, NoOpMeter
from opentelemetry.propagators.textmap import Getter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBasedTraceIdRatio
from opentelemetry.trace import NoOpTracer, Span, SpanKind, Tracer
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from hickoryplank.core.ids import RequestId, TeamId
from hickoryplank.core.work import NotRun, WorkAnswer, WorkRequest

__all__ = [
    "Hop",
    "LogSpanExporter",
    "Telemetry",
    "WorkContext",
    "current_work_context",
    "make_tracer",
]

NANOSECONDS_PER_SECOND = 1_000_000_000
LATENCY_BUCKETS_SECONDS = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25),
    *(0.5, 1.0, 2.5, 5.0, 10.0, 30.0),
)
_SAMPLED_SUFFIX = "-01"
_TRACEPARENT_HEADER = "traceparent"
_PROPAGATOR = TraceContextTextMapPropagator()

logger = logging.getLogger("hickoryplank.trace")


class Hop(Enum):
    """The hops of a request, with the names of their spans."""

    API = "caller_api"
    FORWARD = "peer_forward"
    HANDLE_FORWARDED = "peer_host"
    QUEUE = "queue_wait"
    ATTEMPT = "endpoint_attempt"
    APPEND = "log_append"


_SPAN_KINDS = {
    Hop.API: SpanKind.SERVER,
    Hop.FORWARD: SpanKind.CLIENT,
    Hop.HANDLE_FORWARDED: SpanKind.SERVER,
    Hop.QUEUE: SpanKind.INTERNAL,
    Hop.ATTEMPT: SpanKind.CLIENT,
    Hop.APPEND: SpanKind.CLIENT,
}


class WorkContext(msgspec.Struct, frozen=True):
    """The request that a task works on, for its log lines and spans."""

    request: RequestId
    team: TeamId
    traceparent: str

    @property
    def trace(self) -> str:
        """The trace id, or an empty string if the request is not traced."""
        parts = self.traceparent.split("-")
        return parts[1] if len(parts) > 1 else ""


_WORK_CONTEXT: ContextVar[WorkContext | None] = ContextVar("work", default=None)


def current_work_context() -> WorkContext | None:
    """Return the request that the current task works on, or ``None``."""
    return _WORK_CONTEXT.get()


class Telemetry:
    """Records traces and metrics of requests.

    Without a tracer and a meter nothing is recorded.

    :param starts_traces: whether to start traces of requests that their callers do
        not trace, subject to the tracer's sampling.
    """

    def __init__(
        self,
        tracer: Tracer | None = None,
        meter: Meter | None = None,
        starts_traces: bool = True,
    ):
        self._tracer = tracer or NoOpTracer()
        self._starts_traces = starts_traces
        meter = meter or NoOpMeter("hickoryplank")
        self._answers = meter.create_counter(
            "answers", description="Answers to callers by queue, team and outcome"
        )
        self._latency = meter.create_histogram(
            "request_duration",
            unit="s",
            description="Time from a request's arrival to its answer",
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_SECONDS,
        )
        self._waits = meter.create_histogram(
            "queue_wait",
            unit="s",
            description="Time that work waited for a slot and a unit",
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_SECONDS,
        )
        self._attempts = meter.create_counter(
            "attempts", description="Attempts on endpoints by queue"
        )
        self._retries = meter.create_counter(
            "retries", description="Attempts after the first one by queue"
        )
        self._appends = meter.create_histogram(
            "log_append",
            unit="s",
            description="Time from handing in a record to its verdict",
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_SECONDS,
        )

    @contextmanager
    def trace_hop(self, hop: Hop, request: WorkRequest) -> Iterator[WorkRequest]:
        """Open a span for one hop of ``request``.

        Yield the request with the trace context to propagate. A request without
        a trace context starts a trace in the first hop only, if it is sampled.
        """
        if not self._is_traced(hop, request.traceparent):
            with _work_context(request):
                yield request
            return
        span = self._start_span(hop, request.traceparent)
        span.set_attribute("request", request.id)
        span.set_attribute("queue", request.queue)
        span.set_attribute("team", request.team)
        try:
            traced = msgspec.structs.replace(
                request, traceparent=_traceparent(span) or request.traceparent
            )
            with _work_context(traced):
                yield traced
        finally:
            span.end()

    def _is_traced(self, hop: Hop, traceparent: str) -> bool:
        if not traceparent:
            return hop is Hop.API and self._starts_traces
        return traceparent.endswith(_SAMPLED_SUFFIX)

    def _start_span(self, hop: Hop, traceparent: str, start: int | None = None) -> Span:
        return self._tracer.start_span(
            hop.value, _context_of(traceparent), _SPAN_KINDS[hop], start_time=start
        )

    @contextmanager
    def append(self) -> Iterator[None]:
        """Open a span for the append of a record, and measure its duration."""
        work = current_work_context()
        began = time.perf_counter()
        span = None
        if work is not None and work.traceparent.endswith(_SAMPLED_SUFFIX):
            span = self._start_span(Hop.APPEND, work.traceparent)
        try:
            yield
        finally:
            self._appends.record(time.perf_counter() - began)
            if span is not None:
                span.end()

    def note_wait(self, request: WorkRequest, seconds: float) -> None:
        """Record that ``request`` was queued for ``seconds`` until now."""
        self._waits.record(seconds, {"queue": request.queue, "team": request.team})
        if request.traceparent.endswith(_SAMPLED_SUFFIX):
            end = time.time_ns()
            begin = end - int(seconds * NANOSECONDS_PER_SECOND)
            span = self._start_span(Hop.QUEUE, request.traceparent, begin)
            span.set_attribute("request", request.id)
            span.end(end)

    def note_attempt(self, request: WorkRequest, number: int) -> None:
        """Record attempt ``number`` of ``request``; the first one is 1."""
        self._attempts.add(1, {"queue": request.queue})
        if number > 1:
            self._retries.add(1, {"queue": request.queue})

    def note_answer(
        self, request: WorkRequest, answer: WorkAnswer, seconds: float
    ) -> None:
        """Record the answer to a caller, ``seconds`` after its request."""
        labels = {"queue": request.queue, "team": request.team}
        self._answers.add(1, {**labels, "outcome": _outcome_of(answer)})
        self._latency.record(seconds, {"queue": request.queue})


@contextmanager
def _work_context(request: WorkRequest) -> Iterator[None]:
    token = _WORK_CONTEXT.set(
        WorkContext(request.id, request.team, request.traceparent)
    )
    try:
        yield
    finally:
        _WORK_CONTEXT.reset(token)


def _outcome_of(answer: WorkAnswer) -> str:
    match answer:
        case NotRun(reason=reason):
            return f"not_run_{reason.value}"
        case _:
            return answer.__struct_config__.tag


class _TraceparentGetter(Getter[str]):
    """Gives the propagator ``traceparent``, the only header that it needs."""

    def get(self, carrier: str, key: str) -> list[str] | None:
        return [carrier] if key == _TRACEPARENT_HEADER else None

    def keys(self, carrier: str) -> list[str]:
        return [_TRACEPARENT_HEADER]


_GETTER = _TraceparentGetter()


def _context_of(traceparent: str) -> Context:
    if not traceparent:
        return Context()
    return _PROPAGATOR.extract(traceparent, Context(), _GETTER)


def _traceparent(span: Span) -> str:
    context = span.get_span_context()
    if not context.is_valid or not context.trace_flags.sampled:
        return ""
    return f"00-{context.trace_id:032x}-{context.span_id:016x}{_SAMPLED_SUFFIX}"


class LogSpanExporter(SpanExporter):
    """Writes ended spans as log lines."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write one line for each span."""
        for span in spans:
            logger.info(span.name, extra=_fields(span))
        return SpanExportResult.SUCCESS


def _fields(span: ReadableSpan) -> dict[str, str | float]:
    began, ended = span.start_time or 0, span.end_time or 0
    return {
        "trace": f"{span.context.trace_id:032x}",
        "span": f"{span.context.span_id:016x}",
        "parent": f"{span.parent.span_id:016x}" if span.parent else "",
        "began": began / NANOSECONDS_PER_SECOND,
        "seconds": (ended - began) / NANOSECONDS_PER_SECOND,
        **(span.attributes or {}),
    }


def make_tracer(node: str, ratio: float, exporter: SpanExporter) -> Tracer:
    """Return a tracer that follows the caller's sampling, else samples ``ratio``."""
    provider = TracerProvider(
        sampler=ParentBasedTraceIdRatio(ratio),
        resource=Resource({"service.name": "hickoryplank", "node": node}),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(SimpleSpanProcessor(exporter))
    return provider.get_tracer("hickoryplank")
