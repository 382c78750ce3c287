"""A long absence of all control hosts: python -m properties.long_absence."""

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
    seconds: Annotated[float, typer.Option(help="How long they are away.")] = 120.0,
) -> None:
    """Freeze all control hosts of a fleet of real processes, and thaw them."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(Path(folder) / "fleet") as fleet,
    ):
        build_proxied_booking_fleet(fleet)
        absence = run_control_outage(fleet, seconds)
        runs = count_runs(fleet.folder, "absent")
    typer.echo(
        f"Away for {seconds:g} s: calls were answered {sorted(absence.statuses)}, "
        f"a payment was told {absence.state_during}, its repeat {absence.state_after}, "
        f"{runs} runs; the next change was in force {absence.apply_delay:.1f} s later."
    )
    if absence.statuses != {200} or runs != 1:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
