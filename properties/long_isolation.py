"""A long cut of the leading control host: python -m properties.long_isolation."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Annotated

import typer

from standins.control import isolate_leader, start_proxied_controls
from standins.fleet import Fleet


def main(
    seconds: Annotated[float, typer.Option(help="How long the cut lasts.")] = 60.0,
) -> None:
    """Cut the leader of three real control hosts off both ways for a time."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(Path(folder) / "fleet") as fleet,
    ):
        start_proxied_controls(fleet)
        isolated = isolate_leader(fleet, seconds)
    typer.echo(
        f"Cut for {seconds:g} s: the cut host answered {sorted(isolated.revisions)}, "
        f"the others took {isolated.change_count} changes, and all came to the last."
    )
    if isolated.revisions:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
