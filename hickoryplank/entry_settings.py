"""Settings of an entry on the users' platform, read from INI."""

import configparser
from pathlib import Path

import msgspec
from result import Err, Ok, Result

__all__ = ["EntrySettings", "load_entry_settings"]


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one entry.

    :param name: name of the entry, unique in the deployment.
    :param callers: address that callers reach, as ``host:port``.
    :param readiness: address at which readiness is asked for.
    :param peers: address that other entries reach.
    :param metrics: address that shows the metrics.
    :param cpu_share: part of each second for which the VM's processor works.
    :param core_speed: speed of that processor, in times of a usual core.
    :param link_mbps: the VM's link, in Mbit/s.
    :param store: address of the platform's store.
    :param vms: address of the platform's list of VMs.
    :param advice: address of the service for advice; empty for none.
    :param grace_s: time from the order to stop until the process is killed.
    :param lease_max_ms: longest lease that endpoints grant.
    :param move_s: time that a VM's move takes.
    :param maintenance_s: time that a VM's maintenance takes.
    :param status_s: how long callers may ask for the state of a job that has ended.
    :param orders_apart_ms: least time between orders for one VM by two holders.
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
    status_s: float = 120.0
    cpu_share: float = 1.0
    core_speed: float = 1.0
    link_mbps: float = 1000.0
    advice: str = ""
    log_level: str = "info"


_SECTIONS = {
    "node": ("name",),
    "listen": ("callers", "readiness", "peers", "metrics"),
    "vm": ("cpu_share", "core_speed", "link_mbps"),
    "platform": ("store", "vms", "advice"),
    "bounds": (
        "grace_s",
        "lease_max_ms",
        "move_s",
        "maintenance_s",
        "orders_apart_ms",
        "status_s",
    ),
    "log": ("log_level",),
}


def load_entry_settings(path: Path) -> Result[EntrySettings, str]:
    """Read and check a settings file; the error names section and key."""
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
