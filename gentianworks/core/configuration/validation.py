"""Validation: rules for a configuration and for each declared item."""

from __future__ import annotations

import ipaddress
import re
from collections import Counter
from collections.abc import Iterable, Iterator
from functools import singledispatch

from attrs import frozen

from gentianworks.core.types import Configuration, Endpoint, Rank, Service, Workspace

PEER_SCHEME = "tcp://"
MAX_PORT = 65535
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
MAX_SHARE_SUM = 0.9
SHARE_TOLERANCE = 1e-9

Item = Rank | Workspace | Service | Endpoint


@frozen
class Fault:
    """Fault in one key of a declared item, and how to correct it."""

    kind: str
    name: str
    key: str
    detail: str

    def __str__(self) -> str:
        """Return the message for an operator."""
        key = f" {self.key}:" if self.key else ""
        return f"[{self.kind} {self.name}]{key} {self.detail}"


def validate_configuration(configuration: Configuration) -> list[Fault]:
    """Return all faults of a configuration."""
    faults: list[Fault] = []
    for item in list_items(configuration):
        faults += _check_name(item)
        faults += check_item(item, configuration)
    faults += _find_duplicate_names(configuration)
    faults += _check_ranks(configuration.ranks)
    faults += _check_addresses(configuration.endpoints)
    return faults


def list_items(configuration: Configuration) -> Iterator[Item]:
    """Yield all items that a configuration declares."""
    yield from configuration.ranks
    yield from configuration.workspaces
    yield from configuration.services
    yield from configuration.endpoints


def get_kind(item: Item) -> str:
    """Return the kind of an item as declarations write it."""
    return type(item).__name__.lower()


def is_ip_address(text: str) -> bool:
    """Return whether `text` is an IP address and a port, such as 10.0.0.1:8000."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return 0 < int(port) <= MAX_PORT
    except ValueError:
        return False


def is_peer_address(text: str) -> bool:
    """Return whether `text` is a peer address, such as tcp://10.0.0.1:9000."""
    is_tcp = text.startswith(PEER_SCHEME)
    return is_tcp and is_ip_address(text.removeprefix(PEER_SCHEME))


@singledispatch
def check_item(item: Item, configuration: Configuration) -> list[Fault]:
    """Return the faults of one declared item."""
    raise NotImplementedError(
        f"No check for {type(item).__name__}; "
        f"register a function with check_item.register."
    )


@check_item.register
def _(item: Rank, configuration: Configuration) -> list[Fault]:
    faults = _check_minimum(item, "queue_timeout", 0.001, "seconds")
    faults += _check_minimum(item, "priority", 0, "(0 is the most urgent)")
    faults += _check_minimum(item, "worth", 0.0, "")
    if not 0 <= item.guaranteed_share <= 1:
        detail = f"got {item.guaranteed_share:g}; give a fraction from 0 to 1."
        faults.append(_build_fault(item, "guaranteed_share", detail))
    return faults


@check_item.register
def _(item: Workspace, configuration: Configuration) -> list[Fault]:
    return _check_minimum(item, "weight", 0.001, "")


@check_item.register
def _(item: Service, configuration: Configuration) -> list[Fault]:
    faults = _check_minimum(item, "load_multiple", 1.0, "times the mean")
    faults += _check_minimum(item, "load_floor", 1, "request")
    faults += _check_minimum(item, "max_output_tokens", 1, "token")
    if item.default_rank and configuration.find_rank(item.default_rank) is None:
        names = ", ".join(rank.name for rank in configuration.ranks)
        detail = f"got {item.default_rank!r}, no rank; use one of {names or 'none'}."
        faults.append(_build_fault(item, "default_rank", detail))
    if not configuration.list_endpoints(item.name):
        detail = f"has no endpoint; declare one with 'service = {item.name}'."
        faults.append(_build_fault(item, "", detail))
    return faults


@check_item.register
def _(item: Endpoint, configuration: Configuration) -> list[Fault]:
    faults = _check_minimum(item, "capacity", 1, "request")
    if configuration.find_service(item.service) is None:
        names = ", ".join(service.name for service in configuration.services)
        detail = f"got {item.service!r}, no service; use one of {names or 'none'}."
        faults.append(_build_fault(item, "service", detail))
    if not item.availability_zone:
        faults.append(_build_fault(item, "availability_zone", "is empty; name one."))
    if not is_ip_address(item.http_address):
        detail = f"got {item.http_address!r}; give IP:PORT."
        faults.append(_build_fault(item, "http_address", detail))
    if not is_peer_address(item.peer_address):
        detail = f"got {item.peer_address!r}; give tcp://IP:PORT."
        faults.append(_build_fault(item, "peer_address", detail))
    return faults


def _build_fault(item: Item, key: str, detail: str) -> Fault:
    return Fault(get_kind(item), item.name, key, detail)


def _check_minimum(item: Item, key: str, minimum: float, unit: str) -> list[Fault]:
    value = getattr(item, key)
    if value >= minimum:
        return []
    detail = f"got {value:g}; give at least {minimum:g} {unit}".rstrip()
    return [_build_fault(item, key, f"{detail}.")]


def _check_name(item: Item) -> list[Fault]:
    if NAME_PATTERN.fullmatch(item.name):
        return []
    detail = "use a name of up to 63 letters, digits, dots, dashes and underscores."
    return [_build_fault(item, "", detail)]


def _find_duplicate_names(configuration: Configuration) -> list[Fault]:
    items = list(list_items(configuration))
    counts = Counter((get_kind(item), item.name) for item in items)
    detail = "is declared more than once; keep one."
    return [
        Fault(kind, name, "", detail) for (kind, name), n in counts.items() if n > 1
    ]


def _check_ranks(ranks: tuple[Rank, ...]) -> list[Fault]:
    faults: list[Fault] = []
    counts = Counter(rank.priority for rank in ranks)
    for rank in ranks:
        if counts[rank.priority] > 1:
            detail = f"got {rank.priority}, which two ranks have; give each its own."
            faults.append(_build_fault(rank, "priority", detail))
    total = sum(rank.guaranteed_share for rank in ranks)
    if total > MAX_SHARE_SUM + SHARE_TOLERANCE:
        detail = (
            f"brings the shares of all ranks to {total:g}; keep their sum to "
            f"{MAX_SHARE_SUM:g}, since each is served with a margin of a tenth."
        )
        faults.append(_build_fault(ranks[-1], "guaranteed_share", detail))
    return faults


def _check_addresses(endpoints: tuple[Endpoint, ...]) -> list[Fault]:
    faults: list[Fault] = []
    for key in ("http_address", "peer_address"):
        faults += _find_duplicate_addresses(endpoints, key)
    return faults


def _find_duplicate_addresses(endpoints: Iterable[Endpoint], key: str) -> list[Fault]:
    first: dict[str, str] = {}
    faults: list[Fault] = []
    for endpoint in endpoints:
        address = getattr(endpoint, key)
        other = first.setdefault(address, endpoint.name)
        if other != endpoint.name:
            detail = f"got {address}, which {other} has; give each its own."
            faults.append(_build_fault(endpoint, key, detail))
    return faults
