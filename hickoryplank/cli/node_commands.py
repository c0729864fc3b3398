"""Commands that run on a node: settings and serve."""

from argparse import Namespace
from pathlib import Path

from result import Err, Ok

from hickoryplank.cli.output import ExitCode, Reply, Table, ini_reply, show
from hickoryplank.settings import Settings
from hickoryplank.settings_file import load_settings

__all__ = ["serve", "settings"]


def settings(args: Namespace) -> Reply:
    """Show the effective settings and their sources."""
    match load_settings(Path(args.file)):
        case Err(faults):
            return ini_reply(faults)
        case Ok(cfg):
            effective = cfg.effective()
            return Reply(ExitCode.OK, show(args.format, effective, [_table(cfg)]))


def _table(cfg: Settings) -> Table:
    rows = tuple(
        (f"[{one.section}]", one.key, one.value, one.source.value)
        for one in cfg.effective()
    )
    return Table(("SECTION", "KEY", "VALUE", "SOURCE"), rows)


def serve(args: Namespace) -> Reply:
    """Run a node until it is stopped."""
    match load_settings(Path(args.file)):
        case Err(faults):
            return ini_reply(faults)
        case Ok(cfg):
            from hickoryplank.shell.serve import run

            run(cfg)
            return Reply(ExitCode.OK)
