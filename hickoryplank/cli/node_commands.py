"""Commands that run on a node: settings and serve."""

from argparse import Namespace
from pathlib import Path

from result import Err, Ok

from hickoryplank.cli.output import (
    CommandResult,
    ExitCode,
    Table,
    invalid_input_result,
    render,
)
from hickoryplank.settings import Settings
from hickoryplank.settings_file import load_settings

__all__ = ["serve", "settings"]


def settings(args: Namespace) -> CommandResult:
    """Show the effective settings and their sources."""
    match load_settings(Path(args.file)):
        case Err(faults):
            return invalid_input_result(faults)
        case Ok(cfg):
            effective = cfg.effective()
            return CommandResult(
                ExitCode.OK, render(args.format, effective, [_settings_table(cfg)])
            )


def _settings_table(cfg: Settings) -> Table:
    rows = tuple(
        (f"[{one.section}]", one.key, one.value, one.source.value)
        for one in cfg.effective()
    )
    return Table(("SECTION", "KEY", "VALUE", "SOURCE"), rows)


def serve(args: Namespace) -> CommandResult:
    """Run a node until it is stopped."""
    match load_settings(Path(args.file)):
        case Err(faults):
            return invalid_input_result(faults)
        case Ok(cfg):
            from hickoryplank.shell.serve import run

            run(cfg)
            return CommandResult(ExitCode.OK)
