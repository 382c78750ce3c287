"""Changes: commands that check, compare and apply declarations."""

from __future__ import annotations

import sys
import uuid
from pathlib import Path
from typing import Annotated

import cattrs
import typer
from attrs import frozen

from gentianworks.commandline.client import ControlClient, create_client
from gentianworks.commandline.options import (
    ControlOption,
    FolderArgument,
    JsonOption,
    TokenOption,
)
from gentianworks.commandline.output import (
    EXIT_BAD_INPUT,
    EXIT_DIFFERENT,
    fail,
    print_json,
)
from gentianworks.core.configuration.deltas import (
    compute_delta,
    describe_delta,
    is_empty,
)
from gentianworks.core.operators.reports import ChangeReport, ConfigurationReport
from gentianworks.core.types import Configuration
from gentianworks.declarations import read_declarations

app = typer.Typer()
CURRENT_REVISION = -1  # default of --expect


@frozen
class ConfigurationDiff:
    """Changes that a folder would make to the revision in force."""

    revision: int
    lines: tuple[str, ...]
    is_empty: bool


@app.command(rich_help_panel="Configuration")
def check(folder: FolderArgument) -> None:
    """Check a folder of declarations without applying it."""
    declared = _read_folder(folder)
    counts = (
        f"{len(declared.services)} services, {len(declared.endpoints)} endpoints, "
        f"{len(declared.workspaces)} workspaces, {len(declared.ranks)} ranks"
    )
    typer.echo(f"The declarations are valid: {counts}.")


@app.command(rich_help_panel="Configuration")
def diff(
    folder: FolderArgument,
    control: ControlOption,
    token_file: TokenOption,
    as_json: JsonOption = False,
) -> None:
    """Show what a folder would change in the configuration in force.

    Exits with 0 if there are no differences and with 1 otherwise.
    """
    client = create_client(control, token_file)
    difference = _compare(client, _read_folder(folder))
    if as_json:
        print_json(difference)
    else:
        _print_difference(difference)
    if not difference.is_empty:
        raise typer.Exit(EXIT_DIFFERENT)


@app.command(rich_help_panel="Configuration")
def apply(
    folder: FolderArgument,
    control: ControlOption,
    token_file: TokenOption,
    expect: Annotated[
        int,
        typer.Option(
            help="Revision that the folder is based on; defaults to the one in force, "
            "after showing the differences."
        ),
    ] = CURRENT_REVISION,
    change: Annotated[
        str,
        typer.Option(help="Id of a change to resend after a lost response."),
    ] = "",
    yes: Annotated[
        bool, typer.Option("--yes", help="Apply without confirmation.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Apply a folder of declarations as the next revision.

    If several operators apply changes to the same revision, exactly one succeeds;
    the others get the id of that change, and run diff and apply again. A change that
    is resent with its id gets its first response and is never applied twice.
    """
    declared = _read_folder(folder)
    client = create_client(control, token_file)
    if change and expect == CURRENT_REVISION:
        fail(
            "--change requires the --expect value of the first attempt.", EXIT_BAD_INPUT
        )
    if expect == CURRENT_REVISION:
        difference = _compare(client, declared)
        if difference.is_empty and as_json:
            print_json(difference)
            return
        _confirm(difference, yes or as_json)
        expect = difference.revision
    change = change or uuid.uuid4().hex
    resend_command = f"gentianworks apply {folder} --expect {expect} --change {change}"
    typer.echo(
        f"If there is no response, resend the change with: {resend_command}",
        err=True,
    )
    report = _submit(client, declared, expect, change)
    if as_json:
        print_json(report)
        return
    repeated = " (as first answered)" if report.is_repeated else ""
    typer.echo(f"Revision {report.revision} is accepted{repeated}.")
    typer.echo(f"Audit digest: {report.audit_digest}")


def _submit(
    client: ControlClient, declared: Configuration, expect: int, change: str
) -> ChangeReport:
    document = {
        "change": change,
        "expected_revision": expect,
        "configuration": cattrs.unstructure(declared),
    }
    return client.submit("/changes", document, ChangeReport)


def _read_folder(folder: Path) -> Configuration:
    declared = read_declarations(folder)
    if declared.is_error():
        fail(str(declared.error), EXIT_BAD_INPUT)
    return declared.ok


def _compare(client: ControlClient, declared: Configuration) -> ConfigurationDiff:
    current = client.fetch("/configuration", ConfigurationReport).configuration
    delta = compute_delta(current, declared)
    lines = describe_delta(current, delta)
    return ConfigurationDiff(current.revision, lines, is_empty(delta))


def _print_difference(difference: ConfigurationDiff) -> None:
    typer.echo(f"Revision {difference.revision} is in force.")
    for line in difference.lines:
        typer.echo(f"  {line}")
    if difference.is_empty:
        typer.echo("No differences.")


def _confirm(difference: ConfigurationDiff, is_confirmed: bool) -> None:
    if difference.is_empty:
        typer.echo(f"No differences from revision {difference.revision}.")
        raise typer.Exit(0)
    if is_confirmed:
        return
    _print_difference(difference)
    if sys.stdin.isatty():
        typer.confirm("Apply these changes?", abort=True)
