"""Details: what the log tells of a call, and of what its decisions rested on."""

from __future__ import annotations

from gentianworks.core.gateway.state import GatewayExchange, GatewayState

Details = tuple[tuple[str, str], ...]


def describe_call(
    exchange: GatewayExchange, gateway: GatewayState, now: float
) -> Details:
    """Return the details of a call, with the age and version of what decided it."""
    replica = exchange.replica
    table = gateway.table
    details = (
        ("request", exchange.call.request_id),
        ("route", exchange.route.name),
        ("workspace", exchange.workspace),
        ("rank", str(exchange.rank)),
        ("waited", f"{now - exchange.arrived_at:.3f}"),
        ("left", f"{exchange.deadline - now:.3f}"),
        ("attempts", str(exchange.attempts)),
        ("run_state", exchange.run_state.value),
        ("table", str(table.revision if table else 0)),
        ("list_age", f"{now - gateway.book.listed_at:.1f}"),
    )
    if replica is None:
        return details
    load = gateway.book.get_load(replica.name)
    return (
        *details,
        ("replica", replica.name),
        ("load", str(load.estimate(now))),
        ("load_age", f"{now - load.told_at:.1f}"),
    )
