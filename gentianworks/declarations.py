"""Declarations: reads the folder that declares ranks, workspaces and services."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from gentianworks.core.configuration.validation import Fault, validate_configuration
from gentianworks.core.types import Configuration, Endpoint, Rank, Service, Workspace
from gentianworks.ini_folder import (
    FolderError,
    FolderErrors,
    Section,
    SourceLocation,
    read_folder,
    structure_section,
)

DECLARATION_TYPES: dict[str, type] = {
    "rank": Rank,
    "workspace": Workspace,
    "service": Service,
    "endpoint": Endpoint,
}


KEY_DESCRIPTIONS = {
    "priority": "Order of the ranks, unique to each: 0 is the most urgent.",
    "guaranteed_share": "Fraction of capacity reserved for the rank, 0 to 1.",
    "queue_timeout": "Longest wait in a queue, in seconds.",
    "worth": "Weight of the rank in the scores of benchmarks.",
    "weight": "Share of the workspace relative to others within a rank.",
    "kind": "Type of the endpoints: model or plain.",
    "load_multiple": "Maximum load of an endpoint, as a multiple of the mean.",
    "load_floor": "Requests that an endpoint may run regardless of the mean load.",
    "default_rank": "Rank of requests that specify none.",
    "max_output_tokens": "Tokens counted for a request that sets no limit.",
    "service": "Name of the service that the endpoint serves.",
    "availability_zone": "Availability zone of the endpoint.",
    "http_address": "IP:PORT of the endpoint's agent, for routers.",
    "peer_address": "tcp://IP:PORT of the endpoint's agent, for peer messages.",
    "capacity": "Requests that the endpoint runs concurrently.",
}


def read_declarations(folder: Path) -> Result[Configuration, FolderErrors]:
    """Return the configuration that a folder declares, or all errors found in it."""
    sections = read_folder(folder)
    if sections.is_error():
        return Error(sections.error)
    declared: dict[str, list[Any]] = {kind: [] for kind in DECLARATION_TYPES}
    errors: list[FolderError] = []
    for section in sections.ok:
        match _structure_declaration(section):
            case Result(tag="ok", ok=item):
                declared[section.name.split()[0]].append(item)
            case Result(error=failure):
                errors += failure.errors
    if errors:
        return Error(FolderErrors(tuple(errors)))
    configuration = _build_configuration(declared)
    faults = validate_configuration(configuration)
    if faults:
        return Error(_locate_faults(faults, sections.ok))
    return Ok(configuration)


def _build_configuration(declared: dict[str, list[Any]]) -> Configuration:
    return Configuration(
        ranks=tuple(sorted(declared["rank"], key=lambda rank: rank.priority)),
        workspaces=_sort_by_name(declared["workspace"]),
        services=_sort_by_name(declared["service"]),
        endpoints=_sort_by_name(declared["endpoint"]),
    )


def _sort_by_name(items: list[Any]) -> tuple[Any, ...]:
    return tuple(sorted(items, key=lambda item: item.name))


def _structure_declaration(section: Section) -> Result[Any, FolderErrors]:
    words = section.name.split()
    if len(words) != 2 or words[0] not in DECLARATION_TYPES:
        detail = (
            f"is not a known section; use '{' NAME, '.join(DECLARATION_TYPES)} NAME'."
        )
        error = FolderError(section.location, section.name, "", detail)
        return Error(FolderErrors((error,)))
    return structure_section(section, DECLARATION_TYPES[words[0]], {"name": words[1]})


def _locate_faults(faults: list[Fault], sections: list[Section]) -> FolderErrors:
    """Return the faults with the locations of the declarations they refer to."""
    by_kind_and_name = {tuple(section.name.split()): section for section in sections}
    errors = []
    for fault in faults:
        section = by_kind_and_name.get((fault.kind, fault.name))
        location = (
            section.get_location(fault.key) if section else SourceLocation("(merged)")
        )
        name = f"{fault.kind} {fault.name}"
        errors.append(FolderError(location, name, fault.key, fault.detail))
    return FolderErrors(tuple(errors))
