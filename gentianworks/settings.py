"""Settings: what one process learns of itself from its folder of INI files."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from attrs import NOTHING, evolve, field, fields, frozen, resolve_types
from expression import Error, Ok, Result

from gentianworks.core.cache.state import MOVE_RATE, MOVE_TIME
from gentianworks.core.types import Node, Role
from gentianworks.ini_folder import (
    FolderError,
    FolderErrors,
    Section,
    describe_type,
    fail_folder,
    read_folder,
    structure_section,
)
from gentianworks.limits import LimitSettings, PlatformSettings

LOG_FORMATS = ("text", "json")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def _set(help_text: str, default: Any = NOTHING) -> Any:
    return field(default=default, metadata={"help": help_text})


@frozen
class NodeSettings:
    """Hold a process's name, place and addresses."""

    name: str = _set("Name of this process, unique in the fleet.")
    region: str = _set("Region of this host.")
    availability_zone: str = _set("Availability zone of this host.")
    http_address: str = _set("IP:PORT to serve HTTP on.")
    peer_address: str = _set("tcp://IP:PORT for messages of other processes.")
    key_file: str = _set("File with the key that all processes share (mode 600).")
    data_folder: str = _set("Folder for files that last (control hosts only).", "")
    peer_listen_address: str = _set(
        "tcp://IP:PORT to listen on, where others reach it at another.", ""
    )


@frozen
class ControlSettings:
    """Hold where the control hosts are met, and through whom else."""

    peer_addresses: str = _set(
        "Peer addresses of all control hosts, separated by spaces.", ""
    )
    relay_addresses: str = _set(
        "Peer addresses of processes to ask where no control host is reached, "
        "separated by spaces.",
        "",
    )
    region_addresses: str = _set(
        "Peer addresses of the control hosts of other regions, separated by spaces "
        "(control hosts only).",
        "",
    )
    store_rate: float = _set(
        "Bytes a second at which the store gives weights; loads are spaced by it.", 1e9
    )
    checks_invariants: bool = _set(
        "Whether the process checks its safety rules at each event.", False
    )


@frozen
class AgentSettings:
    """Hold the endpoint that an agent stands beside."""

    endpoint: str = _set("Name of the endpoint beside this agent.", "")
    engine_address: str = _set("IP:PORT of its model engine or plain service.", "")
    cache_move_time: float = _set(
        "Longest time for which a leaving endpoint's cached prompts are moved to "
        "others, in seconds; 0 moves none.",
        MOVE_TIME,
    )
    cache_move_rate: float = _set(
        "Most bytes a second at which they are moved, from 1e6.", MOVE_RATE
    )


@frozen
class LogSettings:
    """Hold the form of the log."""

    format: str = _set("Form of the log: text for people or json.", "text")
    level: str = _set("Least level written: DEBUG, INFO, WARNING or ERROR.", "INFO")


@frozen
class OperatorSettings:
    """Hold the name of an operator and the salted digest of its token."""

    name: str = _set("Name of the operator, from the section's name.")
    digest: str = _set("SALT$DIGEST as `gentianworks token` prints it.")


@frozen
class Settings:
    """Hold all settings of one process."""

    node: NodeSettings
    control: ControlSettings = field(factory=ControlSettings)
    agent: AgentSettings = field(factory=AgentSettings)
    log: LogSettings = field(factory=LogSettings)
    operators: tuple[OperatorSettings, ...] = ()
    limits: LimitSettings = field(factory=LimitSettings)
    platform: PlatformSettings = field(factory=PlatformSettings)

    def build_node(self, role: Role) -> Node:
        """Return the identity of the process in a role."""
        return Node(
            name=self.node.name,
            role=role,
            region=self.node.region,
            availability_zone=self.node.availability_zone,
            peer_address=self.node.peer_address,
            http_address=self.node.http_address,
        )


SECTIONS: dict[str, type] = {
    "node": NodeSettings,
    "control": ControlSettings,
    "agent": AgentSettings,
    "log": LogSettings,
    "limits": LimitSettings,
    "platform": PlatformSettings,
}
OPERATOR_SECTION = "operator"


def read_settings(folder: Path) -> Result[Settings, FolderErrors]:
    """Return the settings in a folder, or everything wrong with them."""
    sections = read_folder(folder)
    if sections.is_error():
        return Error(sections.error)
    parts: dict[str, Any] = {}
    operators: list[OperatorSettings] = []
    errors: list[FolderError] = []
    for section in sections.ok:
        match _structure(section):
            case Result(tag="ok", ok=OperatorSettings() as operator):
                operators.append(operator)
            case Result(tag="ok", ok=part):
                parts[section.name] = part
            case Result(error=wrong):
                errors += wrong.errors
    if errors:
        return Error(FolderErrors(tuple(errors)))
    node = parts.pop("node", None)
    if node is None:
        return fail_folder(str(folder), "node", "", "is missing; add it.")
    settings = evolve(Settings(node, operators=tuple(operators)), **parts)
    return _check_choices(settings, {item.name: item for item in sections.ok})


def _structure(section: Section) -> Result[Any, FolderErrors]:
    words = section.name.split()
    if len(words) == 2 and words[0] == OPERATOR_SECTION:
        return structure_section(section, OperatorSettings, {"name": words[1]})
    kind = SECTIONS.get(section.name)
    if kind is None:
        names = ", ".join(SECTIONS)
        detail = f"is no known section; use {names} or {OPERATOR_SECTION} NAME."
        error = FolderError(section.place, section.name, "", detail)
        return Error(FolderErrors((error,)))
    return structure_section(section, kind, {})


def _check_choices(
    settings: Settings, sections: dict[str, Section]
) -> Result[Settings, FolderErrors]:
    choices = {"format": LOG_FORMATS, "level": LOG_LEVELS}
    for key, allowed in choices.items():
        got = getattr(settings.log, key)
        if got not in allowed:
            detail = f"got {got!r}; use one of {', '.join(allowed)}."
            place = sections["log"].find_place(key)
            return Error(FolderErrors((FolderError(place, "log", key, detail),)))
    return Ok(settings)


def describe_settings() -> str:
    """Return every section and key with its meaning and default, as INI."""
    kinds = {**SECTIONS, f"{OPERATOR_SECTION} NAME": OperatorSettings}
    blocks = [describe_section(name, kind) for name, kind in kinds.items()]
    return "\n".join(blocks)


def describe_section(
    name: str, kind: type, meanings: dict[str, str] | None = None
) -> str:
    """Return the keys of one section with meanings and defaults, as INI."""
    known = meanings or {}
    lines = [f"[{name}]"]
    for item in fields(resolve_types(kind)):
        if item.name == "name" and " " in name:
            continue
        is_required = item.default is NOTHING
        help_text = item.metadata.get("help") or known.get(item.name)
        help_text = help_text or f"{describe_type(item.type).capitalize()}."
        lines.append(f"# {help_text}{' Required.' if is_required else ''}")
        default = "" if is_required else str(item.default)
        lines.append(f"{item.name} = {default}".rstrip())
    return "\n".join(lines) + "\n"
