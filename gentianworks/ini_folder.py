"""INI folders: reads INI files, merged in the order of their names."""

from __future__ import annotations

import re
from configparser import ConfigParser
from configparser import Error as ParserError
from enum import Enum
from pathlib import Path
from typing import Any

import cattrs
from attrs import NOTHING, Attribute, field, fields, frozen, resolve_types
from expression import Error, Ok, Result

SECTION_LINE = re.compile(r"\[(?P<name>[^]]+)\]")
KEY_LINE = re.compile(r"(?P<key>[^\s=:#;][^=:]*?)\s*[=:]")
BOOLEAN_WORDS = {"yes": True, "true": True, "no": False, "false": False}


@frozen
class SourceLocation:
    """File and line of a section or value; line 0 is unknown."""

    file: str
    line: int = 0


@frozen
class SectionValue:
    """Text of one value and the location that last set it."""

    text: str
    location: SourceLocation


@frozen
class Section:
    """Merged values of one section by key, and the location of its first header."""

    name: str
    location: SourceLocation
    values: dict[str, SectionValue] = field(factory=dict)

    def get_location(self, key: str) -> SourceLocation:
        """Return the location of a key, or of the section if the key is not set."""
        value = self.values.get(key)
        return value.location if value else self.location


@frozen
class FolderError:
    """Error at one location of a folder, with its remedy."""

    location: SourceLocation
    section: str
    key: str
    detail: str

    def __str__(self) -> str:
        """Return the message for an operator."""
        line = f":{self.location.line}" if self.location.line else ""
        section = f" [{self.section}]" if self.section else ""
        key = f" {self.key}:" if self.key else ""
        return f"{self.location.file}{line}:{section}{key} {self.detail}"


@frozen
class FolderErrors:
    """All errors found in a folder."""

    errors: tuple[FolderError, ...]

    def __str__(self) -> str:
        """Return the messages for an operator, one per line."""
        return "\n".join(str(error) for error in self.errors)


def build_folder_error(file: str, section: str, key: str, detail: str) -> Any:
    """Return a failed result with a single error."""
    return Error(
        FolderErrors((FolderError(SourceLocation(file), section, key, detail),))
    )


def read_folder(folder: Path) -> Result[list[Section], FolderErrors]:
    """Return the sections of all INI files in `folder`; later files take precedence."""
    merged: dict[str, Section] = {}
    files = sorted(folder.glob("*.ini"))
    if not files:
        return build_folder_error(
            str(folder), "", "", "contains no .ini file; add one."
        )
    for file in files:
        parser = ConfigParser(interpolation=None, default_section="")
        try:
            text = file.read_text()
            parser.read_string(text, source=file.name)
        except (ParserError, UnicodeDecodeError, OSError) as error:
            detail = f"{' '.join(str(error).split())}; correct the file."
            return build_folder_error(file.name, "", "", detail)
        _merge_file(parser, file.name, _find_lines(text), merged)
    return Ok(list(merged.values()))


def _merge_file(
    parser: ConfigParser,
    file: str,
    lines: dict[tuple[str, str], int],
    merged: dict[str, Section],
) -> None:
    for name in parser.sections():
        location = SourceLocation(file, lines.get((name, ""), 0))
        section = merged.setdefault(name, Section(name, location))
        for key, text in parser.items(name):
            location = SourceLocation(file, lines.get((name, key), 0))
            section.values[key] = SectionValue(text, location)


def _find_lines(text: str) -> dict[tuple[str, str], int]:
    """Return the line of each key by section, and of each section under the key ""."""
    lines: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header = SECTION_LINE.match(line)
        if header:
            section = header["name"]
            lines[section, ""] = number
            continue
        key = KEY_LINE.match(line)
        if key:
            lines[section, key["key"].lower()] = number
    return lines


def structure_section(
    section: Section, kind: type, preset: dict[str, object]
) -> Result[Any, FolderErrors]:
    """Return an object of `kind` built from the section and the `preset` values."""
    known = {
        item.name: item
        for item in fields(resolve_types(kind))
        if item.name not in preset
    }
    values: dict[str, object] = dict(preset)
    errors = _find_missing_keys(section, known)
    for key, value in section.values.items():
        match _convert_value(key, value, known):
            case Result(tag="ok", ok=converted):
                values[key] = converted
            case Result(error=detail):
                errors.append(FolderError(value.location, section.name, key, detail))
    if errors:
        return Error(FolderErrors(tuple(errors)))
    return Ok(kind(**values))


def _find_missing_keys(
    section: Section, known: dict[str, Attribute[Any]]
) -> list[FolderError]:
    return [
        FolderError(section.location, section.name, name, "is missing; set it.")
        for name, item in known.items()
        if item.default is NOTHING and name not in section.values
    ]


def _convert_value(
    key: str, value: SectionValue, known: dict[str, Attribute[Any]]
) -> Result[object, str]:
    if key not in known:
        return Error(f"is not a known key; use one of {', '.join(known)}.")
    return convert_text(value.text, known[key].type)


def convert_text(text: str, kind: type | None) -> Result[object, str]:
    """Return `text` as a value of `kind`, or a message that says what is valid."""
    try:
        return Ok(_CONVERTER.structure(text, kind or str))
    except Exception:
        return Error(f"got {text!r}; give {describe_type(kind)}.")


def describe_type(kind: Any) -> str:
    """Return the description of valid values of `kind` for an operator."""
    if isinstance(kind, type) and issubclass(kind, Enum):
        return f"one of {', '.join(member.value for member in kind)}"
    names = {int: "a whole number", float: "a number", bool: "yes or no", str: "text"}
    return names.get(kind, "a value that an INI file can hold")


def _structure_bool(text: object, _: type) -> bool:
    return BOOLEAN_WORDS[str(text).lower()]


_CONVERTER = cattrs.Converter()
_CONVERTER.register_structure_hook(bool, _structure_bool)
