"""Long absence of all control hosts: python -m properties.long_absence.

Measures how a fleet serves without control hosts and recovers when they resume.
"""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Annotated

import typer

from standins.fleet import Fleet
from standins.payments import (
    build_proxied_booking_fleet,
    count_runs,
    run_control_outage,
)


def main(
    seconds: Annotated[
        float, typer.Option(help="Seconds for which they are frozen.")
    ] = 120.0,
) -> None:
    """Freeze all control hosts of a fleet of real processes, then resume them."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(Path(folder) / "fleet") as fleet,
    ):
        build_proxied_booking_fleet(fleet)
        absence = run_control_outage(fleet, seconds)
        runs = count_runs(fleet.folder, "absent")
    typer.echo(
        f"Control hosts frozen for {seconds:g} s: calls returned "
        f"{sorted(absence.statuses)}, a payment {absence.state_during}, its repeat "
        f"{absence.state_after} ({runs} runs); the next configuration change was "
        f"in force {absence.apply_delay:.1f} s after its submission."
    )
    if absence.statuses != {200} or runs != 1:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
