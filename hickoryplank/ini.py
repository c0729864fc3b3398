"""Sets of objects in INI: parsed with every fault at once, and written back."""

import msgspec
from result import Err, Ok, Result

from hickoryplank.core.objects import (
    ConfigObject,
    Endpoint,
    Key,
    Kind,
    Limit,
    Pool,
    Queue,
    Ref,
    Share,
    Team,
    ref_of,
)
from hickoryplank.core.records import Delete, Put
from hickoryplank.ini_text import IniFault, Section, read_sections
from hickoryplank.ini_values import build_struct, format_value

__all__ = [
    "IniFault",
    "ObjectFile",
    "ObjectSet",
    "format_objects",
    "parse_files",
    "parse_objects",
]

_CLASSES = {
    Kind.POOL: Pool,
    Kind.TEAM: Team,
    Kind.KEY: Key,
    Kind.QUEUE: Queue,
    Kind.SHARE: Share,
    Kind.LIMIT: Limit,
    Kind.ENDPOINT: Endpoint,
}
_KINDS = {kind.value: kind for kind in Kind}
_DELETE = "delete"
_KIND_NAMES = ", ".join(kind.value for kind in Kind)
_SECTION_FORM = (
    f"unknown section; must be [KIND NAME] or [delete KIND NAME], KIND one of"
    f" {_KIND_NAMES}"
)

Edit = Put | Delete


class ObjectFile(msgspec.Struct, frozen=True):
    """One file of objects: the name it was given under, and its text."""

    name: str
    text: str


class ObjectSet(msgspec.Struct, frozen=True):
    """The edits of one or more files, and the file that holds each."""

    edits: tuple[Edit, ...]
    files: dict[Ref, str]


def parse_objects(text: str, file: str) -> Result[ObjectSet, tuple[IniFault, ...]]:
    """Return the edits that the text of one file asks for, or every fault."""
    return parse_files((ObjectFile(file, text),))


def parse_files(
    files: tuple[ObjectFile, ...],
) -> Result[ObjectSet, tuple[IniFault, ...]]:
    """Return the edits of several files as one set, or every fault of all files."""
    edits: list[Edit] = []
    faults: list[IniFault] = []
    homes: dict[Ref, str] = {}
    for file in files:
        read = read_sections(file.text, file.name)
        faults.extend(read.faults)
        for section in read.sections:
            match _parse_section(section, file.name):
                case Err(found):
                    faults.extend(found)
                case Ok(edit):
                    faults.extend(_note_home(homes, edit, section.header, file.name))
                    edits.append(edit)
    return Err(tuple(faults)) if faults else Ok(ObjectSet(tuple(edits), homes))


def _note_home(
    homes: dict[Ref, str], edit: Edit, header: str, file: str
) -> list[IniFault]:
    ref = edit.ref if isinstance(edit, Delete) else ref_of(edit.obj)
    if ref in homes:
        message = f"{ref} is edited in {homes[ref]} already; keep one"
        return [IniFault(file, header, "", message)]
    homes[ref] = file
    return []


def _parse_section(section: Section, file: str) -> Result[Edit, tuple[IniFault, ...]]:
    header = section.header
    match header.split():
        case [kind, name] if kind in _KINDS:
            return _parse_put(_KINDS[kind], name, section, file)
        case [word, kind, name] if word == _DELETE and kind in _KINDS:
            return _parse_delete(Ref(_KINDS[kind], name), section, file)
        case _:
            return Err((IniFault(file, header, "", _SECTION_FORM),))


def _parse_put(
    kind: Kind, name: str, section: Section, file: str
) -> Result[Edit, tuple[IniFault, ...]]:
    fixed = {"name": name}
    built = build_struct(_CLASSES[kind], section.values, file, section.header, fixed)
    return built.map(Put)


def _parse_delete(
    ref: Ref, section: Section, file: str
) -> Result[Edit, tuple[IniFault, ...]]:
    faults = tuple(
        IniFault(file, section.header, key, "a [delete ...] section takes no key")
        for key in section.values
    )
    return Err(faults) if faults else Ok(Delete(ref))


def format_objects(edits: tuple[Edit, ...]) -> str:
    """Return the INI text that ``parse_objects`` reads as ``edits``."""
    return "\n".join(_format_edit(edit) for edit in edits)


def _format_edit(edit: Edit) -> str:
    match edit:
        case Put(obj):
            return f"[{ref_of(obj)}]\n{_format_keys(obj)}"
        case Delete(ref):
            return f"[{_DELETE} {ref}]\n"


def _format_keys(obj: ConfigObject) -> str:
    values = {key: getattr(obj, key) for key in obj.__struct_fields__ if key != "name"}
    return "".join(
        f"{key} = {format_value(value)}\n"
        for key, value in values.items()
        if value is not None and value != ()
    )
