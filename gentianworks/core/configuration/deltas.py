"""Deltas: differences between the configurations of two revisions."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from attrs import evolve, fields, frozen

from gentianworks.core.gateway.documents import RouteDocument
from gentianworks.core.types import Configuration, Endpoint, Rank, Service, Workspace

COLLECTION_BY_KIND = {
    "rank": "ranks",
    "workspace": "workspaces",
    "service": "services",
    "endpoint": "endpoints",
}


@frozen
class ItemKey:
    """Kind and name of one declared item."""

    kind: str
    name: str


@frozen
class Delta:
    """Items that a change removes, and items that it adds or replaces.

    `routes` is None if the route table does not change.
    """

    from_revision: int
    to_revision: int
    removed: tuple[ItemKey, ...] = ()
    ranks: tuple[Rank, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    services: tuple[Service, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    routes: RouteDocument | None = None


def compute_delta(old: Configuration, new: Configuration) -> Delta:
    """Return the delta from `old` to the contents of `new`."""
    removed: list[ItemKey] = []
    changed: dict[str, Any] = {}
    for kind, collection in COLLECTION_BY_KIND.items():
        before = _index_by_name(getattr(old, collection))
        after = _index_by_name(getattr(new, collection))
        removed += [ItemKey(kind, name) for name in before if name not in after]
        changed[collection] = tuple(
            item for name, item in after.items() if before.get(name) != item
        )
    return Delta(old.revision, old.revision + 1, tuple(removed), **changed)


def apply_delta(configuration: Configuration, delta: Delta) -> Configuration:
    """Return the configuration that results from applying a delta."""
    collections: dict[str, tuple[Any, ...]] = {}
    for kind, collection in COLLECTION_BY_KIND.items():
        items = _index_by_name(getattr(configuration, collection))
        for key in delta.removed:
            if key.kind == kind:
                items.pop(key.name, None)
        items.update(_index_by_name(getattr(delta, collection)))
        collections[collection] = tuple(sorted(items.values(), key=_get_sort_key))
    return evolve(
        configuration,
        revision=delta.to_revision,
        routes=delta.routes or configuration.routes,
        **collections,
    )


def is_empty(delta: Delta) -> bool:
    """Return whether a delta changes nothing."""
    return not (delta.removed or delta.routes) and not any(
        getattr(delta, collection) for collection in COLLECTION_BY_KIND.values()
    )


def describe_delta(old: Configuration, delta: Delta) -> tuple[str, ...]:
    """Return the changes of a delta as readable lines."""
    lines = [f"- {key.kind} {key.name}" for key in delta.removed]
    for kind, collection in COLLECTION_BY_KIND.items():
        before = _index_by_name(getattr(old, collection))
        for item in getattr(delta, collection):
            lines += _describe_item(kind, before.get(item.name), item)
    return tuple(lines)


def _describe_item(kind: str, before: Any, after: Any) -> Iterator[str]:
    if before is None:
        values = ", ".join(f"{key} {value}" for key, value in _list_values(after))
        yield f"+ {kind} {after.name}: {values}"
        return
    earlier = dict(_list_values(before))
    for key, value in _list_values(after):
        if earlier[key] != value:
            yield f"~ {kind} {after.name}: {key} {earlier[key]} -> {value}"


def _list_values(item: Any) -> Iterator[tuple[str, object]]:
    for key in fields(type(item)):
        if key.name != "name":
            value = getattr(item, key.name)
            yield key.name, getattr(value, "value", value)


def _index_by_name(items: tuple[Any, ...]) -> dict[str, Any]:
    return {item.name: item for item in items}


def _get_sort_key(item: Any) -> tuple[int, str]:
    return getattr(item, "priority", 0), item.name
