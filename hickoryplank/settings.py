"""Settings of the ``serve`` command."""

from enum import Enum

import msgspec

from hickoryplank.core.ids import NodeId, OperatorId, Rack, Region, Zone
from hickoryplank.ini_values import format_value

__all__ = [
    "OPERATOR_KEY_PREFIX",
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

OPERATOR_KEY_PREFIX = "operator."


class LogLevel(Enum):
    """Least severe level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Source(Enum):
    """Origin of the value of a setting."""

    DEFAULT = "default"
    FILE = "file"


class Secret:
    """Secret bytes, hidden in ``repr`` and ``str``."""

    __slots__ = ("_value",)

    def __init__(self, value: bytes) -> None:
        self._value = value

    def reveal(self) -> bytes:
        """Return the secret bytes."""
        return self._value

    def __repr__(self) -> str:
        return "Secret(hidden)"


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Identity and addresses of this node.

    :param api_bind: listen address for callers and operators, as ``host:port``;
        port 0 takes a free one.
    :param peer_bind: listen address for the other nodes, likewise.
    :param api_address: advertised address of the API; ``api_bind`` if empty.
    :param peer_address: advertised address for peers; ``peer_bind`` if empty.
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
    """Addresses of the platform's services.

    :param ca_file: PEM file of the CA certificates that the services are verified
        against; the system's if ``None``.
    """

    log_url: str
    vms_url: str
    ca_file: str | None = None


class SecuritySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Secrets and TLS files.

    :param cluster_secret: shared key with which the nodes of a deployment
        authenticate their messages.
    :param operators: SHA-256 digest of each operator's token, in hexadecimal.
    """

    cluster_secret: Secret
    operators: dict[OperatorId, str]
    tls_cert_file: str | None = None
    tls_key_file: str | None = None
    tls_ca_file: str | None = None


class LimitSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits per request and queue.

    :param body_bytes: largest request body.
    :param queue_length: most requests that wait in one queue.
    """

    body_bytes: int = 1_048_576
    queue_length: int = 1_000
    request_timeout_seconds: float = 30.0


class LogSettings(msgspec.Struct, frozen=True):
    """Logging and tracing.

    :param trace_ratio: fraction of the requests without a caller's trace context
        that are traced, from 0 to 1.
    """

    level: LogLevel = LogLevel.INFO
    trace_ratio: float = 0.0


class MoveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Moves of VMs between pools according to demand.

    :param buffer_vms: VMs kept drained in the spare pool.
    :param hysteresis_seconds: how long a pool keeps VMs after it last needed them.
    :param fill: utilization of a pool's slots above which the pool grows, above 0
        and up to 1.
    """

    enabled: bool = True
    buffer_vms: int = 4
    hysteresis_seconds: float = 10.0
    fill: float = 0.9


class MaintenanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Time-outs and limits of maintenance waves.

    :param drain_timeout_seconds: time that batch work is given to finish before it
        is checkpointed.
    :param reboot_timeout_seconds: time that a reboot may take before the VM is
        reported as failed.
    :param probe_timeout_seconds: time after which an unanswered probe has failed.
    :param max_reboots: failed reboots after which a VM is reported as failed.
    """

    drain_timeout_seconds: float = 30.0
    reboot_timeout_seconds: float = 600.0
    probe_timeout_seconds: float = 60.0
    max_reboots: int = 3


class EffectiveSetting(msgspec.Struct, frozen=True):
    """The effective value of a setting; secrets are hidden."""

    section: str
    key: str
    value: str
    source: Source


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one node.

    :param given: section and key of each setting that the file contains.
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
        """Return all settings with their sources, in section order."""
        return tuple(
            EffectiveSetting(section, key, value, self._source(section, key))
            for section in self.__struct_fields__
            if section != "given"
            for key, value in _printable_values(getattr(self, section))
        )

    def _source(self, section: str, key: str) -> Source:
        written = (section, key) in self.given
        from_file = (section, f"{key}_file") in self.given
        return Source.FILE if written or from_file else Source.DEFAULT


def _printable_values(section: msgspec.Struct) -> list[tuple[str, str]]:
    pairs = []
    for key in section.__struct_fields__:
        value = getattr(section, key)
        if isinstance(value, Secret):
            pairs.append((key, "(hidden)"))
        elif isinstance(value, dict):
            pairs.extend((f"{OPERATOR_KEY_PREFIX}{name}", "(hidden)") for name in value)
        else:
            pairs.append((key, "" if value is None else format_value(value)))
    return pairs
