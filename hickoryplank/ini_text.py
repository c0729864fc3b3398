"""Splitting of INI text into sections, with all syntax errors reported at once."""

import configparser
import re

import msgspec

__all__ = ["IniFault", "IniText", "Section", "read_sections"]

_MAX_SYNTAX_FAULTS = 50
_NUL = "\x00"
_DUPLICATE_HEADER = f"{_NUL}duplicate"


class IniFault(msgspec.Struct, frozen=True):
    """An error in an INI file, with the expected form in the message.

    :param file: path of the file as given, or another source such as the command
        line.
    :param section: section header without brackets; empty if none is concerned.
    :param key: key within the section; empty if none is concerned.
    :param message: the error, and what is expected instead.
    """

    file: str
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        section = f"[{self.section}]" if self.section else ""
        location = " ".join(part for part in (section, self.key) if part)
        return ": ".join(part for part in (self.file, location, self.message) if part)


class Section(msgspec.Struct, frozen=True):
    """One section, with its keys in file order."""

    header: str
    values: dict[str, str]


class IniText(msgspec.Struct, frozen=True):
    """The sections that were parsed, and the faults of all rejected lines."""

    sections: tuple[Section, ...]
    faults: tuple[IniFault, ...]


class _Parser(configparser.RawConfigParser):
    SECTCRE = re.compile(r"\[(?P<header>[^\]]+)\]\s*$")

    def __init__(self) -> None:
        super().__init__(
            strict=True,
            interpolation=None,
            delimiters=("=",),
            comment_prefixes=("#", ";"),
            empty_lines_in_values=False,
            default_section="",
        )

    def optionxform(self, optionstr: str) -> str:
        return optionstr


def read_sections(text: str, file: str) -> IniText:
    """Return the sections of ``text``, skipping and reporting malformed lines.

    ``configparser`` stops at the first error of most kinds, so a rejected line is
    blanked out and the text parsed again.

    :param file: name of the file in faults.
    """
    if _NUL in text:
        return IniText((), (IniFault(file, "", "", "contains a NUL character"),))
    lines = text.split("\n")
    faults: list[IniFault] = []
    while len(faults) < _MAX_SYNTAX_FAULTS:
        parser = _Parser()
        try:
            parser.read_string("\n".join(lines), file)
        except configparser.Error as exc:
            faults.extend(_reject_lines(exc, lines, file))
        else:
            return IniText(_sections(parser), tuple(faults))
    message = "too many faults, further ones are not listed; fix these first"
    return IniText((), (*faults, IniFault(file, "", "", message)))


def _sections(parser: _Parser) -> tuple[Section, ...]:
    return tuple(
        Section(header.strip(), dict(parser[header]))
        for header in parser.sections()
        if not header.startswith(_DUPLICATE_HEADER)
    )


def _reject_lines(
    exc: configparser.Error, lines: list[str], file: str
) -> list[IniFault]:
    """Blank out the lines that ``exc`` reports and return their faults."""
    match exc:
        case configparser.DuplicateSectionError():
            lines[exc.lineno - 1] = f"[{_DUPLICATE_HEADER}{exc.lineno}]"
            message = f"line {exc.lineno}: duplicate section; keep one"
            return [IniFault(file, exc.section, "", message)]
        case configparser.DuplicateOptionError():
            lines[exc.lineno - 1] = ""
            message = f"line {exc.lineno}: duplicate key; keep one"
            return [IniFault(file, exc.section, exc.option, message)]
        case configparser.MissingSectionHeaderError():
            lines[exc.lineno - 1] = ""
            message = f"line {exc.lineno}: text before the first [section]"
            return [IniFault(file, "", "", message)]
        case configparser.ParsingError():
            return [_reject_line(lineno, lines, file) for lineno, _ in exc.errors]
        case _:
            raise exc


def _reject_line(lineno: int, lines: list[str], file: str) -> IniFault:
    lines[lineno - 1] = ""
    message = f"line {lineno}: neither '[section]' nor 'key = value'"
    return IniFault(file, "", "", message)
