"""Roles: commands that run a process of the fleet."""

from __future__ import annotations

from pathlib import Path

import anyio
import typer

from gentianworks.commandline.options import SettingsOption
from gentianworks.commandline.output import EXIT_BAD_INPUT, fail
from gentianworks.core.types import Role
from gentianworks.runner import run_role
from gentianworks.settings import read_settings

app = typer.Typer()


@app.command(rich_help_panel="Processes")
def router(settings: SettingsOption) -> None:
    """Run a router, the front end for callers."""
    _run(Role.ROUTER, settings)


@app.command(rich_help_panel="Processes")
def agent(settings: SettingsOption) -> None:
    """Run an agent on the same host as its endpoint."""
    _run(Role.AGENT, settings)


@app.command(rich_help_panel="Processes")
def control(settings: SettingsOption) -> None:
    """Run a control host; requires a host with a disk."""
    _run(Role.CONTROL, settings)


def _run(role: Role, folder: Path) -> None:
    settings = read_settings(folder)
    if settings.is_error():
        fail(str(settings.error), EXIT_BAD_INPUT)
    anyio.run(run_role, role, settings.ok)
