"""Command line: the entry point of the one program that all roles share."""

from __future__ import annotations

import typer

from gentianworks.commandline import (
    audit_trail,
    changes,
    evacuations,
    inspection,
    orders,
    queries,
    request_logs,
    roles,
    setup,
)
from gentianworks.commandline.output import EXIT_HELP

app = typer.Typer(
    no_args_is_help=True,
    help=f"Run and manage a fleet of routers.\n\n{EXIT_HELP}",
)
for module in (
    roles,
    changes,
    queries,
    orders,
    evacuations,
    audit_trail,
    setup,
    inspection,
    request_logs,
):
    app.add_typer(module.app)
