"""Long isolation of the leader: python -m properties.long_isolation."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Annotated

import typer

from standins.control import isolate_leader, start_proxied_controls
from standins.fleet import Fleet


def main(
    seconds: Annotated[float, typer.Option(help="Seconds of isolation.")] = 60.0,
) -> None:
    """Isolate the leader of three real control hosts in both directions for a time."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(Path(folder) / "fleet") as fleet,
    ):
        start_proxied_controls(fleet)
        isolated = isolate_leader(fleet, seconds)
    typer.echo(
        f"Leader isolated for {seconds:g} s: it answered {sorted(isolated.revisions)}; "
        f"the others committed {isolated.change_count} changes, and all hosts "
        "applied them."
    )
    if isolated.revisions:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
