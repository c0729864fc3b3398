"""Loading of the settings of the ``serve`` command from INI files."""

import re
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from hickoryplank.core.ids import OperatorId
from hickoryplank.ini_text import IniFault, Section, read_sections
from hickoryplank.ini_values import build_struct
from hickoryplank.settings import (
    OPERATOR_KEY_PREFIX,
    LimitSettings,
    LogSettings,
    MaintenanceSettings,
    MoveSettings,
    NodeSettings,
    PlatformSettings,
    Secret,
    SecuritySettings,
    Settings,
)

__all__ = ["load_settings", "parse_settings"]

_MIN_SECRET_BYTES = 16
_ADDRESS = re.compile(r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_OPERATOR_NAME = re.compile(r"[a-z0-9._-]{1,63}")
_WILDCARD_BINDS = ("0.0.0.0:", "[::]:")
_MAX_PORT = 65_535
#: Port 0 is a free one of the listener's choice.
_MIN_PORTS = {"api_bind": 0, "peer_bind": 0, "api_address": 1, "peer_address": 1}
_OPERATOR_FORM_MESSAGE = (
    "must be operator.NAME = SHA-256 of the operator's token in 64 lower-case"
    " hexadecimal digits; NAME consists of lower-case letters, digits, '.', '_', '-'"
)


class _SecuritySection(msgspec.Struct, frozen=True, kw_only=True):
    """The keys of ``[security]`` except those of operators."""

    cluster_secret: str | None = None
    cluster_secret_file: str | None = None
    tls_cert_file: str | None = None
    tls_key_file: str | None = None
    tls_ca_file: str | None = None


_SECTIONS: dict[str, type[msgspec.Struct]] = {
    "node": NodeSettings,
    "platform": PlatformSettings,
    "security": _SecuritySection,
    "limits": LimitSettings,
    "log": LogSettings,
    "moves": MoveSettings,
    "maintenance": MaintenanceSettings,
}


def load_settings(path: Path) -> Result[Settings, tuple[IniFault, ...]]:
    """Load the settings file at ``path``, or return all its faults."""
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Err((IniFault(str(path), "", "", f"cannot be read: {exc}"),))
    return parse_settings(text, str(path))


def parse_settings(text: str, file: str) -> Result[Settings, tuple[IniFault, ...]]:
    """Parse settings, or return all faults.

    Relative paths in the settings are resolved against the working directory.

    :param text: content of the settings file.
    :param file: name of the file in faults.
    """
    read = read_sections(text, file)
    faults = list(read.faults)
    sections = {section.header: section for section in read.sections}
    for header in sections:
        if header not in _SECTIONS:
            message = f"unknown section; must be one of {', '.join(_SECTIONS)}"
            faults.append(IniFault(file, header, "", message))
    built: dict[str, Any] = {}
    for header in _SECTIONS:
        section = sections.get(header, Section(header, {}))
        match _build(section, file):
            case Ok(value):
                built[header] = value
            case Err(found):
                faults.extend(found)
    if faults:
        return Err(tuple(faults))
    given = frozenset(
        (section.header, key) for section in read.sections for key in section.values
    )
    return Ok(Settings(**built, given=given))


def _build(section: Section, file: str) -> Result[Any, tuple[IniFault, ...]]:
    if section.header == "security":
        return _build_security(section, file)
    cls = _SECTIONS[section.header]
    built = build_struct(cls, section.values, file, section.header)
    return built.and_then(lambda value: _check(value, section.header, file))


def _check(
    value: msgspec.Struct, header: str, file: str
) -> Result[Any, tuple[IniFault, ...]]:
    match value:
        case NodeSettings():
            return _check_node(value, file)
        case PlatformSettings():
            found = _check_urls(value, file)
        case MoveSettings(fill=fill) if not 0 < fill <= 1:
            found = [IniFault(file, header, "fill", "must be above 0 and up to 1")]
        case LogSettings(trace_ratio=ratio) if not 0 <= ratio <= 1:
            message = "must be between 0 and 1"
            found = [IniFault(file, header, "trace_ratio", message)]
        case _:
            found = _check_positive(value, header, file)
    return Err(tuple(found)) if found else Ok(value)


def _is_address(text: str, min_port: int) -> bool:
    match = _ADDRESS.fullmatch(text)
    return match is not None and min_port <= int(match[3]) <= _MAX_PORT


def _address_message(text: str) -> str:
    return f"must be an IP address and a port, such as 192.0.2.7:8080, not {text!r}"


def _check_node(
    node: NodeSettings, file: str
) -> Result[NodeSettings, tuple[IniFault, ...]]:
    faults = []
    for key, min_port in _MIN_PORTS.items():
        text = getattr(node, key)
        if text and not _is_address(text, min_port):
            faults.append(IniFault(file, "node", key, _address_message(text)))
    for key, bind in (("api_address", node.api_bind), ("peer_address", node.peer_bind)):
        if not getattr(node, key) and bind.startswith(_WILDCARD_BINDS):
            message = f"is missing; others cannot connect to {bind}, so set an address"
            faults.append(IniFault(file, "node", key, message))
    if faults:
        return Err(tuple(faults))
    advertised = msgspec.structs.replace(
        node,
        api_address=node.api_address or node.api_bind,
        peer_address=node.peer_address or node.peer_bind,
    )
    return Ok(advertised)


def _check_urls(platform: PlatformSettings, file: str) -> list[IniFault]:
    return [
        IniFault(file, "platform", key, "must start with http:// or https://")
        for key in ("log_url", "vms_url")
        if not getattr(platform, key).startswith(("http://", "https://"))
    ]


def _check_positive(value: msgspec.Struct, header: str, file: str) -> list[IniFault]:
    return [
        IniFault(file, header, key, "must be 0 or more")
        for key in value.__struct_fields__
        if isinstance(number := getattr(value, key), int | float) and number < 0
    ]


def _build_security(
    section: Section, file: str
) -> Result[SecuritySettings, tuple[IniFault, ...]]:
    values = section.values
    operators = {
        OperatorId(key.removeprefix(OPERATOR_KEY_PREFIX)): digest
        for key, digest in values.items()
        if key.startswith(OPERATOR_KEY_PREFIX)
    }
    other_values = {
        k: v for k, v in values.items() if not k.startswith(OPERATOR_KEY_PREFIX)
    }
    faults = [
        IniFault(
            file, "security", f"{OPERATOR_KEY_PREFIX}{name}", _OPERATOR_FORM_MESSAGE
        )
        for name, digest in operators.items()
        if not (_OPERATOR_NAME.fullmatch(name) and _DIGEST.fullmatch(digest))
    ]
    match build_struct(_SecuritySection, other_values, file, "security"):
        case Err(found):
            return Err((*faults, *found))
        case Ok(keys):
            return _build_security_settings(keys, operators, faults, file)


def _build_security_settings(
    keys: _SecuritySection,
    operators: dict[OperatorId, str],
    faults: list[IniFault],
    file: str,
) -> Result[SecuritySettings, tuple[IniFault, ...]]:
    if (keys.tls_cert_file is None) != (keys.tls_key_file is None):
        message = "requires both tls_cert_file and tls_key_file, or neither"
        faults.append(IniFault(file, "security", "tls_cert_file", message))
    match _read_secret(keys, file):
        case Err(fault):
            return Err((*faults, fault))
        case Ok(secret) if not faults:
            return Ok(
                SecuritySettings(
                    cluster_secret=secret,
                    operators=operators,
                    tls_cert_file=keys.tls_cert_file,
                    tls_key_file=keys.tls_key_file,
                    tls_ca_file=keys.tls_ca_file,
                )
            )
        case _:
            return Err(tuple(faults))


def _read_secret(keys: _SecuritySection, file: str) -> Result[Secret, IniFault]:
    if (keys.cluster_secret is None) == (keys.cluster_secret_file is None):
        message = "either cluster_secret or cluster_secret_file is required, not both"
        return Err(IniFault(file, "security", "cluster_secret", message))
    if keys.cluster_secret_file is None:
        secret = (keys.cluster_secret or "").encode()
        key = "cluster_secret"
    else:
        key = "cluster_secret_file"
        try:
            secret = Path(keys.cluster_secret_file).read_bytes().strip()
        except OSError as exc:
            message = f"cannot be read: {exc.strerror}"
            return Err(IniFault(file, "security", key, message))
    if len(secret) < _MIN_SECRET_BYTES:
        message = f"must contain at least {_MIN_SECRET_BYTES} bytes"
        return Err(IniFault(file, "security", key, message))
    return Ok(Secret(secret))
