"""Evacuations: the command that evacuates an availability zone or reopens it."""

from __future__ import annotations

from typing import Annotated

import typer

from gentianworks.commandline.client import create_client
from gentianworks.commandline.options import ControlOption, JsonOption, TokenOption
from gentianworks.commandline.output import print_json
from gentianworks.core.operators.reports import EvacuationReport

app = typer.Typer()


@app.command(rich_help_panel="Fleet")
def evacuate(
    zone: Annotated[str, typer.Argument(help="Name of the availability zone.")],
    control: ControlOption,
    token_file: TokenOption,
    withdraw: Annotated[
        bool, typer.Option("--withdraw", help="Let the zone get calls again.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Send no new calls to the endpoints of an availability zone.

    Calls that are running there go on. An order that is sent again changes nothing.
    """
    client = create_client(control, token_file)
    order = {"zone": zone, "is_evacuated": not withdraw}
    report = client.submit("/evacuations", order, EvacuationReport)
    if as_json:
        print_json(report)
        return
    state = "is open" if withdraw else "gets no new calls"
    typer.echo(f"Zone {zone} {state} as of evacuation revision {report.revision}.")
