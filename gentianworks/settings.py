"""Settings: reads the settings of one process from a folder of INI files."""

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
    build_folder_error,
    describe_type,
    read_folder,
    structure_section,
)
from gentianworks.limits import LimitSettings, LogSettings, PlatformSettings

LOG_FORMATS = ("text", "json")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def _define_setting(help_text: str, default: Any = NOTHING) -> Any:
    return field(default=default, metadata={"help": help_text})


@frozen
class NodeSettings:
    """Name, location and addresses of a process."""

    name: str = _define_setting("Name of this process, unique in the fleet.")
    region: str = _define_setting("Region of this host.")
    availability_zone: str = _define_setting("Availability zone of this host.")
    http_address: str = _define_setting("IP:PORT to serve HTTP on.")
    peer_address: str = _define_setting(
        "tcp://IP:PORT at which other processes send messages to this one."
    )
    key_file: str = _define_setting(
        "File with the key that all processes share (mode 600)."
    )
    data_folder: str = _define_setting(
        "Folder for persistent data (control hosts only).", ""
    )
    peer_listen_address: str = _define_setting(
        "tcp://IP:PORT to listen on, if it differs from peer_address.", ""
    )


@frozen
class ControlSettings:
    """Addresses of the control hosts, of relays and of other regions."""

    peer_addresses: str = _define_setting(
        "Peer addresses of all control hosts, separated by spaces.", ""
    )
    relay_addresses: str = _define_setting(
        "Peer addresses of processes to query while no control host is reachable, "
        "separated by spaces.",
        "",
    )
    region_addresses: str = _define_setting(
        "Peer addresses of the control hosts of other regions, separated by spaces "
        "(control hosts only).",
        "",
    )
    store_rate: float = _define_setting(
        "Bytes per second at which the store delivers weights; paces loads.", 1e9
    )
    checks_invariants: bool = _define_setting(
        "Whether the process checks its safety invariants at each event.", False
    )


@frozen
class AgentSettings:
    """Settings of an agent: its endpoint and the moves of cached prompts."""

    endpoint: str = _define_setting("Name of the endpoint that this agent serves.", "")
    engine_address: str = _define_setting(
        "IP:PORT of its model engine or plain service.", ""
    )
    cache_move_time: float = _define_setting(
        "Longest time for which cached prompts are moved from a leaving endpoint to "
        "others, in seconds; 0 disables the moves.",
        MOVE_TIME,
    )
    cache_move_rate: float = _define_setting(
        "Maximum rate of these moves in bytes per second, at least 1e6.", MOVE_RATE
    )


@frozen
class OperatorSettings:
    """Name of an operator and the salted digest of its token."""

    name: str = _define_setting("Name of the operator, from the section header.")
    digest: str = _define_setting("SALT$DIGEST as printed by `gentianworks token`.")


@frozen
class Settings:
    """All settings of one process."""

    node: NodeSettings
    control: ControlSettings = field(factory=ControlSettings)
    agent: AgentSettings = field(factory=AgentSettings)
    log: LogSettings = field(factory=LogSettings)
    operators: tuple[OperatorSettings, ...] = ()
    limits: LimitSettings = field(factory=LimitSettings)
    platform: PlatformSettings = field(factory=PlatformSettings)

    def build_node(self, role: Role) -> Node:
        """Return the node that describes the process in a role."""
        return Node(
            name=self.node.name,
            role=role,
            region=self.node.region,
            availability_zone=self.node.availability_zone,
            peer_address=self.node.peer_address,
            http_address=self.node.http_address,
        )


SECTION_TYPES: dict[str, type] = {
    "node": NodeSettings,
    "control": ControlSettings,
    "agent": AgentSettings,
    "log": LogSettings,
    "limits": LimitSettings,
    "platform": PlatformSettings,
}
OPERATOR_SECTION = "operator"


def read_settings(folder: Path) -> Result[Settings, FolderErrors]:
    """Return the settings in a folder, or the errors found in them."""
    sections = read_folder(folder)
    if sections.is_error():
        return Error(sections.error)
    parts: dict[str, Any] = {}
    operators: list[OperatorSettings] = []
    errors: list[FolderError] = []
    for section in sections.ok:
        match _structure_section(section):
            case Result(tag="ok", ok=OperatorSettings() as operator):
                operators.append(operator)
            case Result(tag="ok", ok=part):
                parts[section.name] = part
            case Result(error=failure):
                errors += failure.errors
    if errors:
        return Error(FolderErrors(tuple(errors)))
    node = parts.pop("node", None)
    if node is None:
        return build_folder_error(str(folder), "node", "", "is missing; add it.")
    settings = evolve(Settings(node, operators=tuple(operators)), **parts)
    return _check_choices(settings, {item.name: item for item in sections.ok})


def _structure_section(section: Section) -> Result[Any, FolderErrors]:
    words = section.name.split()
    if len(words) == 2 and words[0] == OPERATOR_SECTION:
        return structure_section(section, OperatorSettings, {"name": words[1]})
    kind = SECTION_TYPES.get(section.name)
    if kind is None:
        names = ", ".join(SECTION_TYPES)
        detail = f"is not a known section; use {names} or {OPERATOR_SECTION} NAME."
        error = FolderError(section.location, section.name, "", detail)
        return Error(FolderErrors((error,)))
    return structure_section(section, kind, {})


def _check_choices(
    settings: Settings, sections: dict[str, Section]
) -> Result[Settings, FolderErrors]:
    choices = {"format": LOG_FORMATS, "level": LOG_LEVELS}
    for key, allowed in choices.items():
        value = getattr(settings.log, key)
        if value not in allowed:
            detail = f"got {value!r}; use one of {', '.join(allowed)}."
            location = sections["log"].get_location(key)
            return Error(FolderErrors((FolderError(location, "log", key, detail),)))
    return Ok(settings)


def describe_settings() -> str:
    """Return all sections and keys with descriptions and defaults, as INI."""
    kinds = {**SECTION_TYPES, f"{OPERATOR_SECTION} NAME": OperatorSettings}
    blocks = [describe_section(name, kind) for name, kind in kinds.items()]
    return "\n".join(blocks)


def describe_section(
    name: str, kind: type, descriptions: dict[str, str] | None = None
) -> str:
    """Return the keys of one section with descriptions and defaults, as INI."""
    fallbacks = descriptions or {}
    lines = [f"[{name}]"]
    for item in fields(resolve_types(kind)):
        if item.name == "name" and " " in name:
            continue
        is_required = item.default is NOTHING
        help_text = item.metadata.get("help") or fallbacks.get(item.name)
        help_text = help_text or f"{describe_type(item.type).capitalize()}."
        lines.append(f"# {help_text}{' Required.' if is_required else ''}")
        default = "" if is_required else str(item.default)
        lines.append(f"{item.name} = {default}".rstrip())
    return "\n".join(lines) + "\n"
