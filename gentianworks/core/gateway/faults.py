"""Faults: what makes a table of routes invalid."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from gentianworks.core.gateway.tables import RouteTable


def find_faults(table: RouteTable) -> tuple[str, ...]:
    """Return everything that is wrong with a table, each with its remedy."""
    return (
        *_check_services(table),
        *_check_places(table),
        *_check_routes(table),
        *_check_keys(table),
    )


def _check_services(table: RouteTable) -> Iterator[str]:
    names = {item.name for item in table.services}
    for route in table.routes:
        for share in route.shares:
            if share.service not in names:
                yield (
                    f"Route {route.name!r} names the service {share.service!r}, which "
                    f"is not declared; declare it or name another."
                )


def _check_places(table: RouteTable) -> Iterator[str]:
    places = Counter((item.host, item.path_prefix) for item in table.routes)
    for (host, prefix), count in places.items():
        if count > 1:
            yield (
                f"{count} routes share host {host!r} and prefix {prefix!r}; "
                f"keep one of them."
            )


def _check_routes(table: RouteTable) -> Iterator[str]:
    for route in table.routes:
        if route.timeout <= 0:
            yield f"Route {route.name!r} has no timeout; set one over 0."
        weights = [share.weight for share in route.shares]
        if sum(weights) <= 0 or min(weights) < 0:
            yield (
                f"The weights of route {route.name!r} are {weights}; set weights "
                f"from 0 of which one at least is over 0."
            )


def _check_keys(table: RouteTable) -> Iterator[str]:
    holders: dict[str, str] = {}
    for holder in table.workspaces:
        for key in set(holder.keys):
            other = holders.setdefault(key, holder.name)
            if other != holder.name:
                yield (
                    f"Workspaces {other!r} and {holder.name!r} share an API key; "
                    f"give each its own."
                )
