"""Validation: checks a route table for errors."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from gentianworks.core.gateway.route_table import RouteTable


def validate_table(table: RouteTable) -> tuple[str, ...]:
    """Return a message for each error in a table, with how to correct it."""
    return (
        *_check_services(table),
        *_check_prefixes(table),
        *_check_routes(table),
        *_check_keys(table),
    )


def _check_services(table: RouteTable) -> Iterator[str]:
    names = {item.name for item in table.services}
    for route in table.routes:
        for share in route.shares:
            if share.service not in names:
                yield (
                    f"Route {route.name!r} refers to the service {share.service!r}, "
                    f"which is not declared; declare it or use another service."
                )


def _check_prefixes(table: RouteTable) -> Iterator[str]:
    prefixes = Counter((item.host, item.path_prefix) for item in table.routes)
    for (host, prefix), count in prefixes.items():
        if count > 1:
            yield (
                f"{count} routes share host {host!r} and prefix {prefix!r}; "
                f"remove all but one of them."
            )


def _check_routes(table: RouteTable) -> Iterator[str]:
    for route in table.routes:
        if route.timeout <= 0:
            yield f"Route {route.name!r} has no timeout; set one greater than 0."
        weights = [share.weight for share in route.shares]
        if sum(weights) <= 0 or min(weights) < 0:
            yield (
                f"Route {route.name!r} has the weights {weights}; no weight may be "
                f"negative and at least one must be greater than 0."
            )


def _check_keys(table: RouteTable) -> Iterator[str]:
    workspace_of_key: dict[str, str] = {}
    for workspace in table.workspaces or ():
        for key in set(workspace.key_digests):
            other = workspace_of_key.setdefault(key, workspace.name)
            if other != workspace.name:
                yield (
                    f"Workspaces {other!r} and {workspace.name!r} share an API key; "
                    f"use a different key for each."
                )
