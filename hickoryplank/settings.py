"""Settings of ``serve``, each with its source."""

from enum import Enum

import msgspec

from hickoryplank.core.ids import NodeId, OperatorId, Rack, Region, Zone
from hickoryplank.ini_values import format_value

__all__ = [
    "OPERATOR_PREFIX",
    "EffectiveSetting",
    "LimitSettings",
    "LogLevel",
    "LogSettings",
    "MaintenanceSettings",
    "MoveSettings",
    "NodeSettings",
    "PlatformSettings",
    "Secret",
    "SecuritySettings",
    "Settings",
    "Source",
]

OPERATOR_PREFIX = "operator."


class LogLevel(Enum):
    """The least severe level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Source(Enum):
    """Where the value of a setting comes from."""

    DEFAULT = "default"
    FILE = "file"


class Secret:
    """Bytes that are never printed."""

    __slots__ = ("_value",)

    def __init__(self, value: bytes) -> None:
        self._value = value

    def reveal(self) -> bytes:
        """Return the secret itself."""
        return self._value

    def __repr__(self) -> str:
        return "Secret(hidden)"


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Who this node is and where it listens.

    :param api_bind: address for callers and operators, as ``host:port``.
    :param peer_bind: address for the other nodes, as ``host:port``.
    :param api_address: ``api_bind`` as others reach it.
    :param peer_address: ``peer_bind`` as others reach it.
    """

    name: NodeId
    region: Region
    zone: Zone
    api_bind: str
    peer_bind: str
    rack: Rack | None = None
    api_address: str = ""
    peer_address: str = ""


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Where the platform's services are.

    :param ca_file: certificates that vouch for the platform, in PEM.
    """

    log_url: str
    vms_url: str
    ca_file: str | None = None


class SecuritySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Secrets and certificates.

    :param cluster_secret: proves that a peer belongs to this deployment.
    :param operators: SHA-256 of each operator's token, in hexadecimal.
    """

    cluster_secret: Secret
    operators: dict[OperatorId, str]
    tls_cert_file: str | None = None
    tls_key_file: str | None = None
    tls_ca_file: str | None = None


class LimitSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what one caller or queue may take."""

    body_bytes: int = 1_048_576
    queue_length: int = 1_000
    request_timeout_seconds: float = 30.0


class LogSettings(msgspec.Struct, frozen=True):
    """What the process logs.

    :param trace_ratio: part of the requests to trace that their callers do not.
    """

    level: LogLevel = LogLevel.INFO
    trace_ratio: float = 0.0


class MoveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How VMs follow demand between pools.

    :param buffer_vms: VMs that stand drained in the spare pool.
    :param hysteresis_seconds: how long a pool keeps what it has needed.
    :param fill: share of a pool's slots that demand may take before it grows,
        above 0 and up to 1.
    """

    enabled: bool = True
    buffer_vms: int = 4
    hysteresis_seconds: float = 10.0
    fill: float = 0.9


class MaintenanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How maintenance waves proceed.

    :param drain_timeout_seconds: how long batch work may finish by itself before
        it is checkpointed.
    :param reboot_timeout_seconds: how long a VM may stay away before it is
        reported as failed.
    :param probe_timeout_seconds: after which a missing answer is a failed probe.
    :param max_reboots: failed reboots after which a VM is reported as failed.
    """

    drain_timeout_seconds: float = 30.0
    reboot_timeout_seconds: float = 600.0
    probe_timeout_seconds: float = 60.0
    max_reboots: int = 3


class EffectiveSetting(msgspec.Struct, frozen=True):
    """One setting as it is in force; secrets are hidden."""

    section: str
    key: str
    value: str
    source: Source


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one node.

    :param given: section and key of each setting that the file gives.
    """

    node: NodeSettings
    platform: PlatformSettings
    security: SecuritySettings
    limits: LimitSettings
    log: LogSettings
    moves: MoveSettings
    maintenance: MaintenanceSettings
    given: frozenset[tuple[str, str]]

    def effective(self) -> tuple[EffectiveSetting, ...]:
        """Return every setting with its source, in the order of the sections."""
        return tuple(
            EffectiveSetting(section, key, value, self._source(section, key))
            for section in self.__struct_fields__
            if section != "given"
            for key, value in _printable(getattr(self, section))
        )

    def _source(self, section: str, key: str) -> Source:
        written = (section, key) in self.given
        from_file = (section, f"{key}_file") in self.given
        return Source.FILE if written or from_file else Source.DEFAULT


def _printable(section: msgspec.Struct) -> list[tuple[str, str]]:
    pairs = []
    for key in section.__struct_fields__:
        value = getattr(section, key)
        if isinstance(value, Secret):
            pairs.append((key, "(hidden)"))
        elif isinstance(value, dict):
            pairs.extend((f"{OPERATOR_PREFIX}{name}", "(hidden)") for name in value)
        else:
            pairs.append((key, "" if value is None else format_value(value)))
    return pairs
