"""Orders: commands that release quarantined requests and order engines."""

from __future__ import annotations

import uuid
from typing import Annotated

import typer

from gentianworks.commandline.client import create_client
from gentianworks.commandline.options import ControlOption, JsonOption, TokenOption
from gentianworks.commandline.output import format_time, print_json
from gentianworks.core.operators.reports import OrderReport, ReleaseReport
from gentianworks.core.orders.fencing import OrderKind

app = typer.Typer()


@app.command(rich_help_panel="Fleet")
def release(
    fingerprint: Annotated[
        str, typer.Argument(help="Fingerprint of the request, from status.")
    ],
    control: ControlOption,
    token_file: TokenOption,
    as_json: JsonOption = False,
) -> None:
    """Release a request that was quarantined for crashing engines."""
    client = create_client(control, token_file)
    report = client.submit("/release", {"fingerprint": fingerprint}, ReleaseReport)
    if as_json:
        print_json(report)
        return
    if report.was_known:
        typer.echo(f"{fingerprint} was released.")
    else:
        typer.echo(f"{fingerprint} was not in quarantine; nothing has changed.")


@app.command(rich_help_panel="Fleet")
def order(
    endpoint: Annotated[str, typer.Argument(help="Name of the endpoint.")],
    kind: Annotated[OrderKind, typer.Argument(help="Action of the endpoint's engine.")],
    value: Annotated[
        str, typer.Argument(help="Model, adapter or version to load, or new role.")
    ],
    control: ControlOption,
    token_file: TokenOption,
    size: Annotated[int, typer.Option(help="Size of the weights, in bytes.")] = 0,
    request: Annotated[
        str,
        typer.Option(help="Id of an order to resend after a lost response."),
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """Order an endpoint's engine to load weights or to change its role.

    An order that is resent with its id gets its first response and the same number.
    """
    request = request or uuid.uuid4().hex
    typer.echo(
        f"If there is no response, resend the order with: --request {request}", err=True
    )
    client = create_client(control, token_file)
    document = {
        "request": request,
        "endpoint": endpoint,
        "kind": kind.value,
        "value": value,
        "size": size,
    }
    report = client.submit("/orders", document, OrderReport)
    if as_json:
        print_json(report)
        return
    starts_at = format_time(report.order.starts_at)
    repeated = " (as first answered)" if report.is_repeated else ""
    typer.echo(
        f"Order {report.order.number} goes to {endpoint} from {starts_at}{repeated}."
    )
