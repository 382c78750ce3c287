"""Queries: commands that show the fleet, the placement of a chat or a key."""

from __future__ import annotations

from functools import singledispatch
from typing import Annotated

import typer

from gentianworks.commandline.client import create_client
from gentianworks.commandline.options import ControlOption, JsonOption, TokenOption
from gentianworks.commandline.output import (
    EXIT_BAD_INPUT,
    fail,
    format_time,
    print_json,
    print_table,
)
from gentianworks.core.operators.reports import (
    ControlReport,
    KeyReport,
    NodeReport,
    PlacementReport,
    Report,
    StatusReport,
)

app = typer.Typer()
KEY_OUTCOME_TEXTS = {
    "never-claimed": "never claimed; no request was run with it.",
    "claimed": "claimed; its request may be running.",
    "ran": "its request ran; a repeat gets the recorded response.",
    "not-run": "its request was not run and may be resent.",
    "unknown": "unknown whether its request ran; check the service itself.",
    "expired": "used before; its record has expired.",
}


@app.command(rich_help_panel="Fleet")
def status(
    control: ControlOption, token_file: TokenOption, as_json: JsonOption = False
) -> None:
    """Show hosts, endpoints, revisions, load and quarantined requests."""
    report = create_client(control, token_file).fetch("/status", StatusReport)
    if as_json:
        print_json(report)
        return
    confirmation = (
        "confirmed by a quorum"
        if report.is_confirmed
        else "NOT CONFIRMED: this control host has no quorum and may be out of date"
    )
    typer.echo(f"{report.host}: revision {report.revision}, {confirmation}.")
    _print_controls(report)
    _print_nodes(report)
    _print_services(report)
    _print_ranks(report)
    _print_quarantined(report)
    _print_orders(report)


def _print_controls(report: StatusReport) -> None:
    rows = [
        (
            item.peer_address,
            _describe_control_role(item),
            item.host,
        )
        for item in report.controls
    ]
    print_table(("control host", "part", "identity"), rows)
    typer.echo()


def _describe_control_role(item: ControlReport) -> str:
    if item.is_leader:
        return "leader"
    return "learner" if item.is_learner else "member"


def _print_nodes(report: StatusReport) -> None:
    rows = [
        (
            node.name,
            node.role.value,
            node.endpoint or "-",
            node.revision,
            _describe_node_state(node),
            f"{node.seconds_ago:g} s",
            node.requests,
            node.queued,
        )
        for node in report.nodes
    ]
    print_table(
        (
            "host",
            "role",
            "endpoint",
            "revision",
            "state",
            "heard",
            "running",
            "queued",
        ),
        rows,
    )
    typer.echo()


def _describe_node_state(node: NodeReport) -> str:
    if not node.is_live:
        return "silent"
    if node.is_leaving:
        return "leaving"
    return "held" if node.is_held else "live"


def _print_services(report: StatusReport) -> None:
    rows = [
        (
            item.service,
            f"{item.live} of {item.endpoints}",
            item.requests,
            item.queued,
            item.cost,
        )
        for item in report.services
    ]
    print_table(("service", "live", "running", "queued", "tokens"), rows)


def _print_ranks(report: StatusReport) -> None:
    rows = [(item.rank, item.requests, item.queued) for item in report.ranks]
    typer.echo()
    print_table(("rank", "running", "queued"), rows)


def _print_quarantined(report: StatusReport) -> None:
    for suspect in report.quarantined:
        until = format_time(suspect.expires_at)
        typer.echo(
            f"Quarantined: {suspect.fingerprint} of {suspect.service}, "
            f"{suspect.crashes} crashes, until {until}"
        )


def _print_orders(report: StatusReport) -> None:
    for order in report.orders:
        typer.echo(
            f"Order {order.number} to {order.endpoint}: {order.kind.value} "
            f"{order.value}, {order.status.value}"
        )


@app.command(rich_help_panel="Fleet")
def explain(
    workspace: Annotated[str, typer.Argument(help="Name of the workspace.")],
    control: ControlOption,
    token_file: TokenOption,
    service: Annotated[str, typer.Option(help="Name of the chat's service.")] = "",
    chat: Annotated[str, typer.Option(help="Id of a chat.")] = "",
    key: Annotated[str, typer.Option(help="An idempotency key.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Show the placement of a chat with its reasons, or the state of a key.

    Specify --service and --chat, or --key.
    """
    client = create_client(control, token_file)
    report: PlacementReport | KeyReport
    if key and not chat and not service:
        report = client.fetch("/key", KeyReport, workspace=workspace, key=key)
    elif chat and service and not key:
        values = {"service": service, "workspace": workspace, "chat": chat}
        report = client.fetch("/placement", PlacementReport, **values)
    else:
        fail("Specify either --service and --chat, or --key.", EXIT_BAD_INPUT)
    if as_json:
        print_json(report)
    else:
        print_explanation(report)


@singledispatch
def print_explanation(report: Report) -> None:
    """Print a report on a chat, a key or a data folder."""
    raise NotImplementedError(
        f"no function prints {type(report).__name__}; "
        f"register a function with print_explanation.register."
    )


@print_explanation.register
def _(report: PlacementReport) -> None:
    rows = [
        (
            number,
            item.endpoint,
            item.availability_zone,
            item.reason or "can serve",
        )
        for number, item in enumerate(report.candidates, start=1)
    ]
    typer.echo(f"Endpoints in placement order at revision {report.revision}:")
    print_table(("", "endpoint", "availability zone", "state"), rows)


@print_explanation.register
def _(report: KeyReport) -> None:
    typer.echo(f"{report.key}: {KEY_OUTCOME_TEXTS[report.outcome]}")
    if report.endpoint:
        changed_at = format_time(report.changed_at)
        status = f", response {report.status}" if report.status else ""
        typer.echo(f"At {report.endpoint} since {changed_at}{status}.")
