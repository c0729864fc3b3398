"""Settings of an entry on the users' platform, read from an INI file."""

import configparser
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from hickoryplank.jobs.shortage import ShortageOrder

__all__ = ["EntrySettings", "load_entry_settings"]


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one entry.

    :param name: name of the entry, unique in the deployment.
    :param callers: listen address for callers, as ``host:port``; port 0 of this and
        the other listen addresses takes a free one.
    :param readiness: listen address for readiness checks.
    :param peers: listen address for the other entries.
    :param metrics: listen address for the metrics page.
    :param store: address of the platform's store.
    :param vms: address of the platform's VM list.
    :param grace_s: grace period from SIGTERM until the process is killed, in
        seconds.
    :param lease_max_ms: longest lease that endpoints grant, in ms.
    :param stop_grace_ms: longest time from a stop order until the run has ended, in ms.
    :param restore_ms: least time that a run takes which resumes from a checkpoint, in
        ms.
    :param move_s: duration of the move of a VM, in seconds.
    :param maintenance_s: duration of the maintenance of a VM, in seconds.
    :param orders_apart_ms: minimum time between orders for one VM by two
        successive coordinators, in ms.
    :param orders_per_s: orders for VMs that the platform accepts per second.
    :param status_s: how long callers may query the state of an ended job, in
        seconds.
    :param cpu_share: fraction of CPU time available to the VM, from 0 to 1.
    :param core_speed: speed of the VM's cores relative to the reference core.
    :param link_mbps: speed of the VM's network link, in Mbit/s.
    :param record_bytes: largest record that the platform's store takes, in bytes.
    :param call_bytes: largest total size of the records of one call to it, in bytes.
    :param advice: address of the platform's advice service; empty for none.
    :param shortage_order: order of service while a pool has too little room:
        ``deadline``, which holds if it isn't set, or ``least-cost``.
    :param log_level: least severe level that is logged.
    """

    name: str
    callers: str
    readiness: str
    peers: str
    metrics: str
    store: str
    vms: str
    grace_s: float
    lease_max_ms: int
    move_s: float
    maintenance_s: float
    orders_apart_ms: int
    stop_grace_ms: int = 1000
    orders_per_s: float = 64.0
    status_s: float = 120.0
    cpu_share: float = 1.0
    core_speed: float = 1.0
    link_mbps: float = 1000.0
    advice: str = ""
    shortage_order: ShortageOrder | msgspec.UnsetType = msgspec.UNSET
    restore_ms: int | msgspec.UnsetType = msgspec.UNSET
    log_level: str = "info"
    record_bytes: int | msgspec.UnsetType = msgspec.UNSET
    call_bytes: int | msgspec.UnsetType = msgspec.UNSET


_SECTIONS = {
    "node": ("name",),
    "listen": ("callers", "readiness", "peers", "metrics"),
    "vm": ("cpu_share", "core_speed", "link_mbps"),
    "platform": ("store", "vms", "advice"),
    "bounds": (
        "grace_s",
        "lease_max_ms",
        "stop_grace_ms",
        "restore_ms",
        "move_s",
        "maintenance_s",
        "orders_apart_ms",
        "orders_per_s",
        "status_s",
        "record_bytes",
        "call_bytes",
    ),
    "scheduling": ("shortage_order",),
    "log": ("log_level",),
}


def load_entry_settings(path: Path) -> Result[EntrySettings, str]:
    """Read and validate a settings file; the error names the section and key."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        return Err(f"{path}: {exc}")
    values: dict[str, str] = {}
    for section in parser.sections():
        known = _SECTIONS.get(section)
        if known is None:
            return Err(f"{path}: unknown section [{section}]")
        for key, value in parser.items(section):
            if key not in known:
                return Err(f"{path}: unknown key {key} in [{section}]")
            values[key] = value
    try:
        return Ok(msgspec.convert(values, EntrySettings, strict=False))
    except msgspec.ValidationError as exc:
        return Err(f"{path}: {exc}")
