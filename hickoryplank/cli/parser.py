"""Argument parser of the command line."""

import argparse
from argparse import ArgumentParser
from collections.abc import Callable

from hickoryplank.cli import check_command, edit_commands, fleet_commands, node_commands
from hickoryplank.cli.output import CommandResult, OutputFormat
from hickoryplank.core.objects import Kind
from hickoryplank.operator_api import WaveAction
from hickoryplank.operator_status import ClaimState

__all__ = ["build_parser"]

_WAIT_TIMEOUT_SECONDS = 10.0
_OK_STATUS = 200

_EPILOG = """\
examples:
  hickoryplank check fleet.ini
  hickoryplank --entry http://192.0.2.7:8080 --token-file token plan fleet.ini
  hickoryplank --client-file client.ini apply fleet.ini --wait
  hickoryplank --client-file client.ini key create rutas-2 rutas
  hickoryplank --client-file client.ini wave start june rondas-norte socios

exit codes:
  0  success; anything published is in force
  1  refused; nothing has taken effect
  2  invalid arguments or files
  3  no entry responds or is able to publish; nothing has taken effect
  4  published, but not yet in force on every node
  5  unknown outcome; check with 'history' before repeating the command
  6  the entry does not accept the operator's token
  7  no errors, but 'check' has findings
"""

CommandFunction = Callable[[argparse.Namespace], CommandResult]


def build_parser() -> ArgumentParser:
    """Return the parser; it sets ``run`` to the function of the command."""
    parser = ArgumentParser(
        prog="hickoryplank",
        description="Manage fleet capacity and maintenance.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--entry",
        action="append",
        metavar="URL",
        help="base URL of an entry; repeat it to name further entries for failover",
    )
    parser.add_argument(
        "--token-file", metavar="FILE", help="file with the operator's token"
    )
    parser.add_argument(
        "--ca-file",
        metavar="FILE",
        help="PEM file of CA certificates that entries are verified against",
    )
    parser.add_argument(
        "--client-file", metavar="FILE", help="INI file with the options above"
    )
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    _add_edit_commands(commands)
    _add_key_commands(commands)
    _add_vm_commands(commands)
    _add_zone_commands(commands)
    _add_wave_commands(commands)
    _add_claim_commands(commands)
    _add_node_commands(commands)
    return parser


def _add_command(
    commands, name: str, run: CommandFunction, help_text: str
) -> ArgumentParser:
    parser = commands.add_parser(
        name, help=help_text, description=f"{help_text.capitalize()}."
    )
    _add_format_option(parser, (OutputFormat.TABLE, OutputFormat.JSON))
    parser.set_defaults(run=run)
    return parser


def _add_format_option(
    parser: ArgumentParser, outputs: tuple[OutputFormat, ...]
) -> None:
    parser.add_argument(
        "--format",
        choices=outputs,
        type=OutputFormat,
        default=OutputFormat.TABLE,
        metavar="|".join(output.value for output in outputs),
        help="output format",
    )


def _add_publishing_command(
    commands, name: str, run: CommandFunction, help_text: str
) -> ArgumentParser:
    parser = _add_command(commands, name, run, help_text)
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until the record is in force on every node",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=_WAIT_TIMEOUT_SECONDS,
        metavar="SECONDS",
        help="longest time to wait",
    )
    return parser


def _add_command_group(commands, name: str, help_text: str):
    parser = commands.add_parser(
        name, help=help_text, description=f"{help_text.capitalize()}."
    )
    return parser.add_subparsers(metavar="ACTION", required=True)


def _add_edit_commands(commands) -> None:
    help_text = "check object files before they are sent"
    check = _add_command(commands, "check", check_command.check, help_text)
    check.add_argument("files", nargs="+", metavar="FILE")
    check.add_argument(
        "--complete",
        action="store_true",
        help="treat the files as the whole configuration, ignoring objects in force",
    )
    check.add_argument(
        "--diff",
        action="store_true",
        help="ask an entry what differs from the objects in force",
    )
    help_text = "show the changes that object files would make"
    plan = _add_command(commands, "plan", edit_commands.plan, help_text)
    plan.add_argument("files", nargs="+", metavar="FILE")
    help_text = "publish object files as one set"
    apply = _add_publishing_command(commands, "apply", edit_commands.apply, help_text)
    apply.add_argument("files", nargs="+", metavar="FILE")
    apply.add_argument("--dry-run", action="store_true", help="only show the changes")
    get = commands.add_parser("get", help="show the objects in force")
    _add_format_option(get, (OutputFormat.TABLE, OutputFormat.JSON, OutputFormat.INI))
    get.set_defaults(run=edit_commands.get)
    get.add_argument("kind", nargs="?", choices=[kind.value for kind in Kind])
    get.add_argument("name", nargs="?")
    help_text = "show operator records, accepted and refused"
    _add_command(commands, "history", edit_commands.history, help_text)


def _add_key_commands(commands) -> None:
    keys = _add_command_group(
        commands, "key", "create, withdraw and list callers' keys"
    )
    help_text = "create a key and print its secret, which cannot be shown again"
    create = _add_publishing_command(
        keys, "create", edit_commands.key_create, help_text
    )
    create.add_argument("name")
    create.add_argument("team")
    withdraw = _add_publishing_command(
        keys, "withdraw", edit_commands.key_withdraw, "withdraw a key"
    )
    withdraw.add_argument("name")
    _add_command(keys, "list", edit_commands.key_list, "list the keys in force")


def _add_vm_commands(commands) -> None:
    help_text = "show nodes, pools, VMs, waves and teams"
    _add_command(commands, "status", fleet_commands.status, help_text)
    help_text = "show the policy metrics"
    _add_command(commands, "report", fleet_commands.report, help_text)
    help_text = "take a VM out of service once its work has finished"
    drain = _add_publishing_command(commands, "drain", fleet_commands.drain, help_text)
    drain.add_argument("vm")
    help_text = "return a drained VM to service"
    undrain = _add_publishing_command(
        commands, "undrain", fleet_commands.undrain, help_text
    )
    undrain.add_argument("vm")
    help_text = "move a VM to another pool, draining it first if it is in service"
    move = _add_publishing_command(commands, "move", fleet_commands.move, help_text)
    move.add_argument("vm")
    move.add_argument("pool")


def _add_zone_commands(commands) -> None:
    zones = _add_command_group(
        commands, "zone", "evacuate, restore and list availability zones"
    )
    help_text = "give the VMs of an availability zone no new work"
    evacuate = _add_publishing_command(
        zones, "evacuate", fleet_commands.zone_evacuate, help_text
    )
    evacuate.add_argument("zone")
    help_text = "take the evacuation of an availability zone back"
    restore = _add_publishing_command(
        zones, "restore", fleet_commands.zone_restore, help_text
    )
    restore.add_argument("zone")
    help_text = "list availability zones with their VMs and running work"
    _add_command(zones, "list", fleet_commands.zone_list, help_text)


def _add_wave_commands(commands) -> None:
    waves = _add_command_group(commands, "wave", "control maintenance waves")
    for action in WaveAction:
        help_text = f"{action.value} a maintenance wave"
        parser = _add_publishing_command(
            waves, action.value, fleet_commands.wave, help_text
        )
        parser.set_defaults(action=action.value)
        parser.add_argument("name")
        if action is WaveAction.START:
            parser.add_argument("pools", nargs="+", metavar="POOL")


def _add_claim_commands(commands) -> None:
    claims = _add_command_group(
        commands, "claims", "list claimed requests and settle unknown outcomes"
    )
    listing = _add_command(
        claims, "list", fleet_commands.claims_list, "list claimed requests"
    )
    listing.add_argument("--state", choices=[state.value for state in ClaimState])
    help_text = "record the outcome of a claim whose outcome is unknown"
    settle = _add_publishing_command(
        claims, "settle", fleet_commands.claims_settle, help_text
    )
    settle.add_argument("claim")
    settle.add_argument("outcome", choices=["done", "not_run"])
    settle.add_argument(
        "--detail", required=True, help="how the outcome was established"
    )
    settle.add_argument("--status", type=int, default=_OK_STATUS)
    settle.add_argument("--content-type", default="text/plain")
    settle.add_argument("--body-file", metavar="FILE", help="body of the answer")


def _add_node_commands(commands) -> None:
    help_text = "show the effective settings and their sources"
    settings = _add_command(commands, "settings", node_commands.settings, help_text)
    settings.add_argument("file", metavar="FILE")
    serve = commands.add_parser("serve", help="run a node until it is stopped")
    serve.set_defaults(run=node_commands.serve)
    serve.add_argument("file", metavar="FILE")
