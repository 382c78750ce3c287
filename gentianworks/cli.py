"""Command line: the one program of the fleet."""

from __future__ import annotations

import typer

from gentianworks.commandline import (
    changes,
    following,
    inspection,
    orders,
    preparation,
    questions,
    roles,
    trail,
)
from gentianworks.commandline.output import EXIT_HELP

app = typer.Typer(
    no_args_is_help=True,
    help=f"Run and manage a fleet of routers.\n\n{EXIT_HELP}",
)
for part in (
    roles,
    changes,
    questions,
    orders,
    trail,
    preparation,
    inspection,
    following,
):
    app.add_typer(part.app)
