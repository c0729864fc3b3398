"""Parsing and formatting of object sets in INI files."""

from collections.abc import Mapping

import msgspec
from msgspec import inspect
from result import Err, Ok, Result

from hickoryplank.core.ids import Revision
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
from hickoryplank.ini_values import build_struct, format_value, parse_value

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
_REVISION = "revision"
_REVISION_TYPE = inspect.IntType()
_KIND_NAMES = ", ".join(kind.value for kind in Kind)
_SECTION_FORM_MESSAGE = (
    f"unknown section; must be [KIND NAME] or [delete KIND NAME], KIND one of"
    f" {_KIND_NAMES}"
)

Edit = Put | Delete


class ObjectFile(msgspec.Struct, frozen=True):
    """An INI file of objects.

    :param name: path as given, used in error messages.
    :param text: content of the file.
    """

    name: str
    text: str


class ObjectSet(msgspec.Struct, frozen=True):
    """The edits of one or more files.

    :param edits: edits in the order of the files.
    :param files: name of the file that contains the edit of each object.
    :param revisions: base revisions of the objects for which the files state one.
    """

    edits: tuple[Edit, ...]
    files: dict[Ref, str]
    revisions: dict[Ref, Revision]


class _ParsedEdit(msgspec.Struct, frozen=True):
    edit: Edit
    revision: Revision | None

    @property
    def ref(self) -> Ref:
        return self.edit.ref if isinstance(self.edit, Delete) else ref_of(self.edit.obj)


def parse_objects(text: str, file: str) -> Result[ObjectSet, tuple[IniFault, ...]]:
    """Parse one file and return its edits, or all faults.

    :param text: content of the file.
    :param file: name of the file in faults.
    """
    return parse_files((ObjectFile(file, text),))


def parse_files(
    files: tuple[ObjectFile, ...],
) -> Result[ObjectSet, tuple[IniFault, ...]]:
    """Parse several files into one set of edits, or return the faults of all files."""
    parsed: dict[Ref, _ParsedEdit] = {}
    files_by_ref: dict[Ref, str] = {}
    faults: list[IniFault] = []
    for file in files:
        read = read_sections(file.text, file.name)
        faults.extend(read.faults)
        for section in read.sections:
            match _parse_section(section, file.name):
                case Err(found):
                    faults.extend(found)
                case Ok(one) if one.ref in files_by_ref:
                    message = f"{one.ref} is already edited in {files_by_ref[one.ref]};"
                    message += " remove one of the two"
                    faults.append(IniFault(file.name, section.header, "", message))
                case Ok(one):
                    parsed[one.ref] = one
                    files_by_ref[one.ref] = file.name
    return Err(tuple(faults)) if faults else Ok(_object_set(parsed, files_by_ref))


def _object_set(
    parsed: dict[Ref, _ParsedEdit], files_by_ref: dict[Ref, str]
) -> ObjectSet:
    return ObjectSet(
        edits=tuple(one.edit for one in parsed.values()),
        files=files_by_ref,
        revisions={
            ref: one.revision for ref, one in parsed.items() if one.revision is not None
        },
    )


def _parse_section(
    section: Section, file: str
) -> Result[_ParsedEdit, tuple[IniFault, ...]]:
    values = dict(section.values)
    revision = parse_value(_REVISION_TYPE, values.pop(_REVISION, "0"))
    edit = _parse_edit(Section(section.header, values), file)
    if revision.is_err() or revision.unwrap() < 0:
        message = "must be the revision at which the object was read, 0 if it is new"
        fault = IniFault(file, section.header, _REVISION, message)
        return Err((fault, *(edit.err() or ())))
    stated_revision = revision.unwrap() if _REVISION in section.values else None
    return edit.map(lambda one: _ParsedEdit(one, stated_revision))


def _parse_edit(section: Section, file: str) -> Result[Edit, tuple[IniFault, ...]]:
    header = section.header
    match header.split():
        case [kind, name] if kind in _KINDS:
            return _parse_put(_KINDS[kind], name, section, file)
        case [word, kind, name] if word == _DELETE and kind in _KINDS:
            return _parse_delete(Ref(_KINDS[kind], name), section, file)
        case _:
            return Err((IniFault(file, header, "", _SECTION_FORM_MESSAGE),))


def _parse_put(
    kind: Kind, name: str, section: Section, file: str
) -> Result[Edit, tuple[IniFault, ...]]:
    header_fields = {"name": name}
    built = build_struct(
        _CLASSES[kind], section.values, file, section.header, header_fields
    )
    return built.map(Put)


def _parse_delete(
    ref: Ref, section: Section, file: str
) -> Result[Edit, tuple[IniFault, ...]]:
    message = f"a [{_DELETE} ...] section takes no key except {_REVISION}"
    faults = tuple(
        IniFault(file, section.header, key, message) for key in section.values
    )
    return Err(faults) if faults else Ok(Delete(ref))


def format_objects(
    edits: tuple[Edit, ...], revisions: Mapping[Ref, Revision] | None = None
) -> str:
    """Return the INI text that ``parse_objects`` parses into ``edits``.

    :param revisions: base revisions to write, by object.
    """
    return "\n".join(_format_edit(edit, revisions or {}) for edit in edits)


def _format_edit(edit: Edit, revisions: Mapping[Ref, Revision]) -> str:
    match edit:
        case Put(obj):
            ref = ref_of(obj)
            text = f"[{ref}]\n{_format_keys(obj)}"
        case Delete(ref):
            text = f"[{_DELETE} {ref}]\n"
    return text + (f"{_REVISION} = {revisions[ref]}\n" if ref in revisions else "")


def _format_keys(obj: ConfigObject) -> str:
    values = {key: getattr(obj, key) for key in obj.__struct_fields__ if key != "name"}
    return "".join(
        f"{key} = {format_value(value)}\n"
        for key, value in values.items()
        if value is not None and value != ()
    )
