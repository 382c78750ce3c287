"""Declarations: the operators' folder of workspaces, services and endpoints."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from gentianworks.core.configuration.validation import Fault, validate_configuration
from gentianworks.core.types import Configuration, Endpoint, Rank, Service, Workspace
from gentianworks.ini_folder import (
    FolderError,
    FolderErrors,
    Place,
    Section,
    read_folder,
    structure_section,
)

KINDS: dict[str, type] = {
    "rank": Rank,
    "workspace": Workspace,
    "service": Service,
    "endpoint": Endpoint,
}


MEANINGS = {
    "priority": "Order of the ranks: 0 is the most urgent, each has its own.",
    "guaranteed_share": "Fraction of capacity that other ranks can't take, 0 to 1.",
    "queue_timeout": "Longest wait in a queue, in seconds.",
    "worth": "Weight of the rank in the scores of benchmarks.",
    "weight": "Share of the workspace beside others of its rank.",
    "kind": "What the endpoints are: model or plain.",
    "load_multiple": "Most load of an endpoint, as a multiple of the mean.",
    "load_floor": "Requests that an endpoint may run whatever the mean is.",
    "default_rank": "Rank of requests that name none.",
    "max_output_tokens": "Tokens counted for a request that names no limit.",
    "service": "Name of the service that the endpoint serves.",
    "availability_zone": "Availability zone of the endpoint.",
    "http_address": "IP:PORT of the endpoint's agent, for routers.",
    "peer_address": "tcp://IP:PORT of the endpoint's agent, for messages.",
    "capacity": "Requests that the endpoint runs side by side.",
}


def read_declarations(folder: Path) -> Result[Configuration, FolderErrors]:
    """Return the configuration that a folder declares, or what is wrong with it."""
    sections = read_folder(folder)
    if sections.is_error():
        return Error(sections.error)
    found: dict[str, list[Any]] = {kind: [] for kind in KINDS}
    errors: list[FolderError] = []
    for section in sections.ok:
        match _structure(section):
            case Result(tag="ok", ok=item):
                found[section.name.split()[0]].append(item)
            case Result(error=wrong):
                errors += wrong.errors
    if errors:
        return Error(FolderErrors(tuple(errors)))
    configuration = _build(found)
    faults = validate_configuration(configuration)
    if faults:
        return Error(_locate(faults, sections.ok))
    return Ok(configuration)


def _build(found: dict[str, list[Any]]) -> Configuration:
    return Configuration(
        ranks=tuple(sorted(found["rank"], key=lambda rank: rank.priority)),
        workspaces=_sort(found["workspace"]),
        services=_sort(found["service"]),
        endpoints=_sort(found["endpoint"]),
    )


def _sort(items: list[Any]) -> tuple[Any, ...]:
    return tuple(sorted(items, key=lambda item: item.name))


def _structure(section: Section) -> Result[Any, FolderErrors]:
    words = section.name.split()
    if len(words) != 2 or words[0] not in KINDS:
        detail = f"is no known section; use '{' NAME, '.join(KINDS)} NAME'."
        error = FolderError(section.place, section.name, "", detail)
        return Error(FolderErrors((error,)))
    return structure_section(section, KINDS[words[0]], {"name": words[1]})


def _locate(faults: list[Fault], sections: list[Section]) -> FolderErrors:
    """Return the faults with the places of the declarations they speak of."""
    by_words = {tuple(section.name.split()): section for section in sections}
    errors = []
    for fault in faults:
        section = by_words.get((fault.kind, fault.name))
        place = section.find_place(fault.key) if section else Place("(merged)")
        name = f"{fault.kind} {fault.name}"
        errors.append(FolderError(place, name, fault.key, fault.detail))
    return FolderErrors(tuple(errors))
