"""Tables for the messages of the operator API."""

from collections.abc import Iterable
from datetime import UTC, datetime

from msgspec import structs

from hickoryplank.cli.output import Table
from hickoryplank.core.objects import ref_of
from hickoryplank.core.tables import NodeState
from hickoryplank.ini_values import format_value
from hickoryplank.operator_api import (
    Change,
    HistoryAnswer,
    HistoryEntry,
    ObjectsAnswer,
    ObjectView,
    PlanAnswer,
    Published,
)
from hickoryplank.operator_status import (
    ClaimsAnswer,
    ReportAnswer,
    StatusAnswer,
    ZonesAnswer,
)

__all__ = [
    "change_tables",
    "claim_tables",
    "history_tables",
    "key_tables",
    "object_tables",
    "plan_tables",
    "published_tables",
    "report_tables",
    "shorten_digests",
    "status_tables",
    "zone_tables",
]

_DIGEST_DIGITS = 12
_MAX_SUMMARY_PARTS = 5


def object_tables(answer: ObjectsAnswer) -> list[Table]:
    """Return a table of the objects in force."""
    rows = tuple(_object_row(view) for view in answer.objects)
    return [Table(("KIND", "NAME", "REVISION", "FIELDS"), rows)]


def _object_row(view: ObjectView) -> tuple[str, ...]:
    ref = ref_of(view.obj)
    fields = {key: getattr(view.obj, key) for key in view.obj.__struct_fields__}
    text = " ".join(
        f"{key}={_shorten_digest(key, format_value(value))}"
        for key, value in fields.items()
        if key != "name" and value is not None and value != ()
    )
    return ref.kind.value, ref.name, str(view.revision), text


def key_tables(answer: ObjectsAnswer) -> list[Table]:
    """Return a table of the keys, without their digests."""
    rows = tuple(
        (view.obj.name, view.obj.team, str(view.revision)) for view in answer.objects
    )
    return [Table(("KEY", "TEAM", "REVISION"), rows)]


def plan_tables(answer: PlanAnswer) -> list[Table]:
    """Return a table of planned changes, one row per field."""
    return change_tables(answer.changes)


def change_tables(changes: Iterable[Change]) -> list[Table]:
    """Return a table of changes, one row per field."""
    rows = tuple(row for change in changes for row in _change_rows(change))
    return [Table(("CHANGE", "OBJECT", "FIELD", "OLD", "NEW"), rows)]


def _change_rows(change: Change) -> list[tuple[str, ...]]:
    head = (change.kind.value, str(change.ref))
    if not change.fields:
        return [(*head, "", "", "")]
    return [
        (
            *head,
            each.key,
            _shorten_digest(each.key, each.old),
            _shorten_digest(each.key, each.new),
        )
        for each in change.fields
    ]


def shorten_digests(change: Change) -> Change:
    """Return ``change`` with each digest cut to a distinguishing prefix."""
    fields = tuple(
        structs.replace(
            each,
            old=each.old and _shorten_digest(each.key, each.old),
            new=each.new and _shorten_digest(each.key, each.new),
        )
        for each in change.fields
    )
    return structs.replace(change, fields=fields)


def _shorten_digest(key: str, text: str | None) -> str:
    """Return the text of a field; a digest is cut to a distinguishing prefix."""
    return (text or "")[:_DIGEST_DIGITS] if key == "digest" else text or ""


def published_tables(published: Published) -> list[Table]:
    """Return a table of the publication state of a record."""
    row = (
        published.state.value,
        str(published.revision),
        str(published.offset),
        ", ".join(published.waiting_for),
    )
    return [Table(("STATE", "REVISION", "OFFSET", "WAITS FOR"), (row,))]


def history_tables(answer: HistoryAnswer) -> list[Table]:
    """Return a table of operator records, oldest first."""
    rows = tuple(_history_row(entry) for entry in answer.entries)
    return [Table(("TIME", "OPERATOR", "VERDICT", "REVISION", "WHAT"), rows)]


def _history_row(entry: HistoryEntry) -> tuple[str, ...]:
    accepted = entry.revision is not None
    record_text = "; ".join(entry.summary[:_MAX_SUMMARY_PARTS])
    if len(entry.summary) > _MAX_SUMMARY_PARTS:
        record_text += f"; and {len(entry.summary) - _MAX_SUMMARY_PARTS} more"
    if not accepted:
        record_text += f" ({'; '.join(fault.message for fault in entry.faults)})"
    return (
        datetime.fromtimestamp(entry.at, UTC).strftime("%Y-%m-%dT%H:%M:%SZ"),
        entry.operator,
        "accepted" if accepted else "refused",
        str(entry.revision) if accepted else "",
        record_text,
    )


def claim_tables(answer: ClaimsAnswer) -> list[Table]:
    """Return a table of claimed requests."""
    rows = tuple(
        (
            view.claim,
            view.team,
            view.queue,
            view.state.value,
            str(view.attempt),
            view.vm or "",
            view.detail,
        )
        for view in answer.claims
    )
    header = ("CLAIM", "TEAM", "QUEUE", "STATE", "ATTEMPT", "VM", "DETAIL")
    return [Table(header, rows)]


def status_tables(answer: StatusAnswer) -> list[Table]:
    """Return tables of nodes, pools, VMs, waves, teams and published records."""
    return [
        Table(("REVISION", "OFFSET", "UNKNOWN CLAIMS"), (_status_row(answer),)),
        _node_table(answer),
        _pool_table(answer),
        _vm_table(answer),
        _wave_table(answer),
        _team_table(answer),
        _published_table(answer),
    ]


def _status_row(answer: StatusAnswer) -> tuple[str, ...]:
    return str(answer.revision), str(answer.offset), str(answer.unknown_claims)


def _node_table(answer: StatusAnswer) -> Table:
    rows = tuple(
        (view.node, str(view.incarnation), view.zone, view.api, view.state.value)
        for view in sorted(answer.nodes, key=lambda view: view.state is NodeState.GONE)
    )
    return Table(("NODE", "INCARNATION", "ZONE", "ADDRESS", "STATE"), rows)


def _pool_table(answer: StatusAnswer) -> Table:
    rows = tuple(
        (
            view.pool,
            str(view.vms),
            str(view.in_service),
            str(view.min_available),
            "spare" if view.spare else "",
        )
        for view in answer.pools
    )
    return Table(("POOL", "VMS", "IN SERVICE", "BUDGET", ""), rows)


def _vm_table(answer: StatusAnswer) -> Table:
    rows = tuple(
        (
            view.vm,
            view.pool,
            view.zone or "",
            view.rack or "",
            view.state.value,
            "healthy" if view.healthy else "failed",
            view.wave or "",
            view.target or "",
        )
        for view in answer.out_of_service
    )
    location_columns = ("VM OUT OF SERVICE", "POOL", "ZONE", "RACK")
    return Table((*location_columns, "STATE", "HEALTH", "WAVE", "MOVES TO"), rows)


def _wave_table(answer: StatusAnswer) -> Table:
    rows = tuple(
        (view.wave, view.state.value, str(view.done), ", ".join(view.pools))
        for view in answer.waves
    )
    return Table(("WAVE", "STATE", "VMS DONE", "POOLS"), rows)


def _team_table(answer: StatusAnswer) -> Table:
    rows = tuple(
        (
            view.team,
            f"{view.percent:g}%",
            str(view.limit),
            str(view.held),
            str(view.free),
        )
        for view in answer.teams
    )
    return Table(("TEAM", "SHARE", "LIMIT", "UNITS HELD", "UNITS FREE"), rows)


def _published_table(answer: StatusAnswer) -> Table:
    rows = tuple(
        (str(one.revision), str(one.offset), ", ".join(one.waiting_for))
        for one in answer.published
    )
    return Table(("PUBLISHED REVISION", "OFFSET", "WAITS FOR"), rows)


def report_tables(answer: ReportAnswer) -> list[Table]:
    """Return tables of the metrics of pools, waves and teams."""
    pools = tuple(
        (one.pool, f"{one.buffer_vm_hours:.3f}", str(one.moves_in))
        for one in answer.pools
    )
    waves = tuple(
        (
            one.wave,
            one.state.value,
            f"{one.done}/{one.vms}",
            "" if one.seconds is None else f"{one.seconds:.0f}",
        )
        for one in answer.waves
    )
    teams = tuple(
        (one.team, str(one.running), f"{one.distance:+.2f}") for one in answer.teams
    )
    return [
        Table(("POOL", "BUFFER VM-HOURS", "MOVES IN"), pools),
        Table(("WAVE", "STATE", "VMS DONE", "SECONDS"), waves),
        Table(("TEAM", "RUNNING", "FROM SHARE"), teams),
    ]


def zone_tables(answer: ZonesAnswer) -> list[Table]:
    """Return tables of the zones, and of the nodes whose running work is counted."""
    zones = tuple(
        (
            view.zone,
            str(view.vms),
            str(view.running),
            "evacuated" if view.evacuated else "",
        )
        for view in answer.zones
    )
    counted = (str(answer.counted), str(answer.nodes))
    return [
        Table(("ZONE", "VMS", "RUNNING", ""), zones),
        Table(("RUNNING WORK COUNTED ON", "LIVE NODES"), (counted,)),
    ]
