"""Conversion between the text of INI keys and typed field values."""

import math
import re
from collections.abc import Mapping
from enum import Enum
from typing import Any

import msgspec
from msgspec import inspect
from result import Err, Ok, Result

from hickoryplank.ini_text import IniFault

__all__ = ["build_struct", "format_value", "parse_value"]

_INTEGER = re.compile(r"[+-]?[0-9]{1,15}")
_TRUE = ("true", "yes", "on")
_FALSE = ("false", "no", "off")

Value = str | int | float | bool | Enum | tuple | None


def build_struct(
    cls: type[msgspec.Struct],
    values: Mapping[str, str],
    file: str,
    section: str,
    header_fields: Mapping[str, str] | None = None,
) -> Result[Any, tuple[IniFault, ...]]:
    """Return a ``cls`` built from the keys of one section, or all faults.

    :param cls: struct whose fields are the keys that the section accepts.
    :param values: text of each key in the section.
    :param file: name of the file in faults.
    :param section: section header in faults.
    :param header_fields: fields taken from the section header; not accepted as keys.
    """
    header_fields = header_fields or {}
    fields = {field.name: field for field in inspect.type_info(cls).fields}
    keys = [name for name in fields if name not in header_fields]
    faults = []
    built: dict[str, Value] = dict(header_fields)
    for key, text in values.items():
        if key not in keys:
            message = f"unknown key; this section takes: {', '.join(keys) or 'no keys'}"
            faults.append(IniFault(file, section, key, message))
            continue
        match parse_value(fields[key].type, text):
            case Ok(value):
                built[key] = value
            case Err(message):
                faults.append(IniFault(file, section, key, f"must be {message}"))
    for key in keys:
        if fields[key].required and key not in values:
            message = f"is missing; must be {_describe(fields[key].type)}"
            faults.append(IniFault(file, section, key, message))
    return Err(tuple(faults)) if faults else Ok(cls(**built))


def parse_value(kind: inspect.Type, text: str) -> Result[Value, str]:
    """Return the value of ``text``, or a description of the expected form."""
    parsed = _parse(kind, text)
    return Err(_describe(kind)) if parsed is _INVALID else Ok(parsed)


_INVALID = object()


def _parse(kind: inspect.Type, text: str) -> Any:
    match kind:
        case inspect.BoolType():
            return _parse_bool(text)
        case inspect.IntType():
            return int(text) if _INTEGER.fullmatch(text) else _INVALID
        case inspect.FloatType():
            return _parse_float(text)
        case inspect.EnumType(cls=cls):
            values = {member.value: member for member in cls}
            return values.get(text, _INVALID)
        case inspect.VarTupleType(item_type=item):
            parts = tuple(_parse(item, part) for part in _split(text))
            return _INVALID if _INVALID in parts else parts
        case inspect.UnionType():
            return _parse(_non_none_type(kind), text)
        case _:
            return text if text and "\n" not in text else _INVALID


def _parse_bool(text: str) -> Any:
    if text.lower() in _TRUE:
        return True
    return False if text.lower() in _FALSE else _INVALID


def _parse_float(text: str) -> Any:
    try:
        number = float(text)
    except ValueError:
        return _INVALID
    return number if math.isfinite(number) and "_" not in text else _INVALID


def _split(text: str) -> list[str]:
    return text.replace(",", " ").split()


def _non_none_type(kind: inspect.UnionType) -> inspect.Type:
    """Return the non-``None`` type of an optional field."""
    return next(t for t in kind.types if not isinstance(t, inspect.NoneType))


def _describe(kind: inspect.Type) -> str:
    match kind:
        case inspect.BoolType():
            return "true or false"
        case inspect.IntType():
            return "a whole number"
        case inspect.FloatType():
            return "a number"
        case inspect.EnumType(cls=cls):
            return " or ".join(member.value for member in cls)
        case inspect.VarTupleType():
            return "names separated by commas"
        case inspect.UnionType():
            return _describe(_non_none_type(kind))
        case _:
            return "a non-empty text on one line"


def format_value(value: Value) -> str:
    """Return the text that ``parse_value`` parses into ``value``."""
    match value:
        case bool():
            return "true" if value else "false"
        case float():
            return f"{value:g}" if float(f"{value:g}") == value else repr(value)
        case Enum():
            return value.value
        case tuple():
            return ", ".join(format_value(item) for item in value)
        case _:
            return str(value)
