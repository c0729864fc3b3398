"""Commands on the running fleet: status, report, VMs, zones, waves and claims."""

from argparse import Namespace
from pathlib import Path

from hickoryplank import client
from hickoryplank.cli.edit_commands import published_result, with_session
from hickoryplank.cli.output import CommandResult, ExitCode, query_result
from hickoryplank.cli.tables import (
    claim_tables,
    report_tables,
    status_tables,
    zone_tables,
)
from hickoryplank.core.ids import ClaimId, PoolId, VmId, WaveId, Zone
from hickoryplank.core.records import OutcomeKind
from hickoryplank.operator_api import SettleRequest, WaveAction
from hickoryplank.operator_status import ClaimState

__all__ = [
    "claims_list",
    "claims_settle",
    "drain",
    "move",
    "report",
    "status",
    "undrain",
    "wave",
    "zone_evacuate",
    "zone_list",
    "zone_restore",
]


def status(args: Namespace) -> CommandResult:
    """Show the state of the fleet as an entry has folded it."""
    return with_session(
        args,
        lambda session: query_result(
            client.get_status(session), args.format, status_tables
        ),
    )


def report(args: Namespace) -> CommandResult:
    """Show the policy metrics since the start of the longest-running entry."""
    return with_session(
        args,
        lambda session: query_result(
            client.get_report(session), args.format, report_tables
        ),
    )


def drain(args: Namespace) -> CommandResult:
    """Drain a VM: take it out of service once its work has finished."""
    return with_session(
        args,
        lambda session: published_result(
            args, session, client.drain_vm(session, VmId(args.vm))
        ),
    )


def undrain(args: Namespace) -> CommandResult:
    """Return a drained VM to service."""
    return with_session(
        args,
        lambda session: published_result(
            args, session, client.undrain_vm(session, VmId(args.vm))
        ),
    )


def move(args: Namespace) -> CommandResult:
    """Move a VM to another pool, draining it first if it is in service."""
    return with_session(
        args,
        lambda session: published_result(
            args, session, client.move_vm(session, VmId(args.vm), PoolId(args.pool))
        ),
    )


def zone_list(args: Namespace) -> CommandResult:
    """List availability zones with their VMs and running work."""
    return with_session(
        args,
        lambda session: query_result(
            client.get_zones(session), args.format, zone_tables
        ),
    )


def zone_evacuate(args: Namespace) -> CommandResult:
    """Evacuate an availability zone: its VMs finish their work and get no more."""
    return with_session(
        args,
        lambda session: published_result(
            args, session, client.evacuate_zone(session, Zone(args.zone))
        ),
    )


def zone_restore(args: Namespace) -> CommandResult:
    """Take the evacuation of an availability zone back."""
    return with_session(
        args,
        lambda session: published_result(
            args, session, client.restore_zone(session, Zone(args.zone))
        ),
    )


def wave(args: Namespace) -> CommandResult:
    """Start, pause, resume or cancel a maintenance wave."""
    pools = tuple(PoolId(pool) for pool in getattr(args, "pools", ()))
    action = WaveAction(args.action)
    return with_session(
        args,
        lambda session: published_result(
            args,
            session,
            client.change_wave(session, WaveId(args.name), action, pools),
        ),
    )


def claims_list(args: Namespace) -> CommandResult:
    """List claimed requests."""
    state = ClaimState(args.state) if args.state else None
    return with_session(
        args,
        lambda session: query_result(
            client.get_claims(session, state), args.format, claim_tables
        ),
    )


def claims_settle(args: Namespace) -> CommandResult:
    """Record the outcome of a claim whose outcome is unknown."""
    body = ""
    if args.body_file:
        try:
            body = Path(args.body_file).read_text("utf-8")
        except (OSError, UnicodeDecodeError):
            errors = f"{args.body_file}: cannot be read as UTF-8 text\n"
            return CommandResult(ExitCode.USAGE, errors=errors)
    settlement = SettleRequest(
        kind=OutcomeKind(args.outcome),
        detail=args.detail,
        status=args.status,
        content_type=args.content_type,
        body=body,
    )
    return with_session(
        args,
        lambda session: published_result(
            args,
            session,
            client.settle_claim(session, ClaimId(args.claim), settlement),
        ),
    )
