"""Tests of spans and metrics, and that logs contain no secrets."""

import json
import logging
import time

import pytest
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from hickoryplank.core.ids import QueueId, RequestId, TaskId, TeamId
from hickoryplank.core.work import WorkRequest
from hickoryplank.shell.logs import RequestLogFormatter
from hickoryplank.shell.telemetry import (
    Hop,
    Telemetry,
    current_work_context,
    make_tracer,
)
from tests.fleet import CLUSTER_SECRET, KEY, TOKEN, Fleet, wait_until

TRACE = "0af7651916cd43dd8448eb211c80319c"
SAMPLED = f"00-{TRACE}-b7ad6b7169203331-01"
UNSAMPLED = f"00-{TRACE}-b7ad6b7169203331-00"
METRICS = (
    *("buffer_vms", "vm_moves_total", "running_units", "share_distance"),
    *("queue_length", "queue_age_seconds", "queue_wait_seconds_count"),
    *("attempts_total", "ejected_endpoints", "units_held", "log_offset"),
    *("freshness_age_seconds", "records_folded_total", "peers_alive"),
    *("peer_messages_refused_total", "answers_total", "log_append_seconds_sum"),
)


def work_request(traceparent: str) -> WorkRequest:
    return WorkRequest(
        id=RequestId("r1"),
        task=TaskId("t1"),
        queue=QueueId("rondas"),
        team=TeamId("rutas"),
        patience=1.0,
        traceparent=traceparent,
    )


@pytest.mark.parametrize(
    ("traceparent", "ratio", "spans"),
    [
        (SAMPLED, 0.0, 4),
        (UNSAMPLED, 1.0, 0),
        ("", 1.0, 4),
        ("", 0.0, 0),
        ("no trace context", 0.0, 0),
    ],
)
def test_spans_follow_the_caller_or_the_ratio(traceparent, ratio, spans):
    exporter = InMemorySpanExporter()
    telemetry = Telemetry(make_tracer("entry-1", ratio, exporter))
    formatter = RequestLogFormatter("%(message)s")
    record = logging.makeLogRecord({"msg": "late"})
    with telemetry.trace_hop(Hop.API, work_request(traceparent)) as api:
        line = json.loads(formatter.format(record))
        assert (line["request"], line["team"]) == ("r1", "rutas")
        assert line.get("trace", "") == current_work_context().trace
        telemetry.note_wait(api, 0.5)
        with telemetry.trace_hop(Hop.ATTEMPT, api) as attempt, telemetry.append():
            assert current_work_context().traceparent == attempt.traceparent
    assert current_work_context() is None
    found = exporter.get_finished_spans()
    assert len(found) == spans
    if spans:
        by_name = {span.name: span for span in found}
        assert len({span.context.trace_id for span in found}) == 1
        parents = {name: span.parent for name, span in by_name.items()}
        api_id = by_name[Hop.API.value].context.span_id
        assert parents[Hop.ATTEMPT.value].span_id == api_id
        assert parents[Hop.QUEUE.value].span_id == api_id
    else:
        assert attempt.traceparent == traceparent


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("traced")) as running:
        running.start(entries=2, workers=2)
        running.publish(running.objects(budget=1))
        for entry in (0, 1):
            headers = {"Idempotency-Key": f"pago-{entry}", "traceparent": SAMPLED}
            assert running.submit(entry, "pagos", b"x", **headers).status_code == 200
            assert running.submit(entry, "rondas", b"x", KEY + "x").status_code == 401
        yield running


def log_lines(fleet) -> list[dict]:
    text = "".join(entry.log.read_text() for entry in fleet.entries)
    return [json.loads(line) for line in text.splitlines()]


def test_a_traced_request_has_a_span_for_each_hop(fleet):
    def spans() -> set[str]:
        return {
            line["message"]
            for line in log_lines(fleet)
            if line["logger"] == "hickoryplank.trace" and line["trace"] == TRACE
        }

    wait_until(lambda: spans() == {hop.value for hop in Hop}, what="all hops")


def test_metrics_page_lists_all_metrics(fleet):
    pages = [
        fleet.client.get(f"http://{entry.address}/metrics").text
        for entry in fleet.entries
    ]
    names = {
        line.partition("{")[0].partition(" ")[0]
        for page in pages
        for line in page.splitlines()
    }
    assert {f"hickoryplank_{name}" for name in METRICS} <= names


def test_report_lists_pools_and_teams(fleet):
    done = fleet.cli("report", "--format", "json")
    assert done.returncode == 0, done.stderr
    report = json.loads(done.stdout)
    assert [pool["pool"] for pool in report["pools"]] == ["rondas-norte"]
    assert [team["team"] for team in report["teams"]] == ["rutas"]
    assert report["since"] <= time.time()
    assert "BUFFER VM-HOURS" in fleet.cli("report").stdout


def test_logs_contain_no_secret(fleet):
    made = fleet.cli("key", "create", "rutas-9", "rutas", "--format", "json")
    secret = json.loads(made.stdout)["secret"]
    wait_until(lambda: fleet.submit(0, "rondas", b"x", secret).status_code == 200)
    for entry in fleet.entries:
        log = entry.log.read_text()
        assert log
        for word in (KEY, CLUSTER_SECRET, TOKEN, secret):
            assert word not in log
