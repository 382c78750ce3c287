"""Setup: commands that check settings and create tokens."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

import typer

from gentianworks.commandline.output import EXIT_BAD_INPUT, fail
from gentianworks.settings import describe_settings, read_settings
from gentianworks.tokens import create_token, digest_token

app = typer.Typer()
SECRET_MODE = 0o600
NO_FOLDER = Path()


@app.command(rich_help_panel="Settings")
def settings(
    folder: Annotated[
        Path, typer.Argument(help="Folder of settings to check.")
    ] = NO_FOLDER,
    defaults: Annotated[
        bool, typer.Option("--defaults", help="Print every key with its default.")
    ] = False,
) -> None:
    """Check a process's folder of settings, or print every key with its default."""
    if defaults:
        typer.echo(describe_settings(), nl=False)
        return
    found = read_settings(folder)
    if found.is_error():
        fail(str(found.error), EXIT_BAD_INPUT)
    typer.echo(f"The settings of {found.ok.node.name} are valid.")


@app.command(rich_help_panel="Settings")
def token(
    name: Annotated[str, typer.Argument(help="Name of the operator.")],
    file: Annotated[Path, typer.Option("--file", help="New file for the token.")],
) -> None:
    """Create a token for an operator and print its section for control hosts.

    The token is written to a new file that only you can read; the settings of the
    control hosts get its salted digest.
    """
    secret = create_token()
    try:
        handle = os.open(file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, SECRET_MODE)
    except OSError as error:
        fail(f"{file}: {error.strerror}; specify a new file.", EXIT_BAD_INPUT)
    with os.fdopen(handle, "w") as stream:
        stream.write(f"{secret}\n")
    typer.echo(f"[operator {name}]\ndigest = {digest_token(secret)}")
