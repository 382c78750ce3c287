"""Log details: a call's state and the inputs of the decisions about it."""

from __future__ import annotations

from gentianworks.core.gateway.state import GatewayExchange, GatewayState

LogDetails = tuple[tuple[str, str], ...]


def describe_call(
    exchange: GatewayExchange, gateway: GatewayState, now: float
) -> LogDetails:
    """Return the log details of a call, with the age of the data behind its routing."""
    replica = exchange.replica
    table = gateway.table
    details: LogDetails = (
        ("request", exchange.call.request_id),
        ("route", exchange.route.name),
        ("workspace", exchange.workspace),
        ("rank", str(exchange.rank)),
        ("waited", f"{now - exchange.arrived_at:.3f}"),
        ("left", f"{exchange.deadline - now:.3f}"),
        ("attempts", str(exchange.attempt_count)),
        ("run_state", exchange.run_state.value),
        ("table", str(table.revision if table else 0)),
        ("list_age", f"{now - gateway.registry.current_at:.1f}"),
    )
    head = exchange.relayed_head
    if head is not None:
        details = (*details, ("status", str(head.status)))
    if replica is None:
        return details
    load = gateway.registry.get_load(replica.name)
    return (
        *details,
        ("replica", replica.name),
        ("load", str(load.estimate(now))),
        ("load_age", f"{now - load.reported_at:.1f}"),
    )
