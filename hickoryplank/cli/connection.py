"""Connection options of commands, from arguments or a client file."""

from argparse import Namespace
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from hickoryplank.client import Session
from hickoryplank.client_http import tls_context
from hickoryplank.ini import IniFault
from hickoryplank.ini_text import Section, read_sections
from hickoryplank.ini_values import build_struct

__all__ = ["open_session"]

_SECTION = "client"


class _ClientFile(msgspec.Struct, frozen=True, kw_only=True):
    """The keys of ``[client]``."""

    entries: tuple[str, ...] = ()
    token_file: str | None = None
    ca_file: str | None = None
    timeout_seconds: float = 10.0


def open_session(args: Namespace) -> Result[Session, tuple[IniFault, ...]]:
    """Return a session for the connection options of a command.

    Arguments take precedence over the client file.
    """
    match _read_client_file(args.client_file):
        case Err(faults):
            return Err(faults)
        case Ok(file):
            return _build_session(args, file)


def _build_session(
    args: Namespace, file: _ClientFile
) -> Result[Session, tuple[IniFault, ...]]:
    entries = tuple(args.entry or file.entries)
    token_file = args.token_file or file.token_file
    faults = [
        _missing_option(option, key)
        for option, key, value in (
            ("--entry", "entries", entries),
            ("--token-file", "token_file", token_file),
        )
        if not value
    ]
    faults.extend(_invalid_entry(entry) for entry in entries if not _is_url(entry))
    if faults:
        return Err(tuple(faults))
    try:
        token = Path(token_file).read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError):
        return Err((IniFault(token_file, "", "", "cannot read the token"),))
    if not (token.isascii() and token.isprintable() and token):
        return Err(
            (IniFault(token_file, "", "", "must contain one line with a token"),)
        )
    ca_file = args.ca_file or file.ca_file
    try:
        tls_context(ca_file)
    except OSError:
        message = "must contain PEM certificates"
        return Err((IniFault(ca_file or "", "", "", message),))
    return Ok(Session(entries, token, ca_file, file.timeout_seconds, args.transport))


def _missing_option(option: str, key: str) -> IniFault:
    message = f"required; give {option}, or --client-file with [{_SECTION}] {key}"
    return IniFault("command line", "", option, message)


def _is_url(entry: str) -> bool:
    return entry.startswith(("http://", "https://"))


def _invalid_entry(entry: str) -> IniFault:
    message = f"must be a URL such as http://192.0.2.7:8080, not {entry!r}"
    return IniFault("command line", "", "--entry", message)


def _read_client_file(
    path: str | None,
) -> Result[_ClientFile, tuple[IniFault, ...]]:
    if path is None:
        return Ok(_ClientFile())
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError):
        return Err((IniFault(path, "", "", "cannot be read as UTF-8 text"),))
    read = read_sections(text, path)
    unknown = [
        IniFault(path, section.header, "", f"unknown section; must be [{_SECTION}]")
        for section in read.sections
        if section.header != _SECTION
    ]
    faults = (*read.faults, *unknown)
    sections = {section.header: section for section in read.sections}
    section = sections.get(_SECTION, Section(_SECTION, {}))
    built = build_struct(_ClientFile, section.values, path, _SECTION)
    return Err((*faults, *(built.err() or ()))) if faults else built
