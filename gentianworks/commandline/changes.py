"""Changes: the commands that check, compare and apply declarations."""

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
PRESENT = -1


@frozen
class Difference:
    """Hold the revision in force and what a folder would change in it."""

    revision: int
    lines: tuple[str, ...]
    is_empty: bool


@app.command(rich_help_panel="Configuration")
def check(folder: FolderArgument) -> None:
    """Check a folder of declarations without applying it."""
    found = _read(folder)
    counts = (
        f"{len(found.services)} services, {len(found.endpoints)} endpoints, "
        f"{len(found.workspaces)} workspaces, {len(found.ranks)} ranks"
    )
    typer.echo(f"The declarations are sound: {counts}.")


@app.command(rich_help_panel="Configuration")
def diff(
    folder: FolderArgument,
    control: ControlOption,
    token_file: TokenOption,
    as_json: JsonOption = False,
) -> None:
    """Show what a folder would change in the configuration in force.

    Exits with 0 where nothing differs and with 1 where something does.
    """
    client = create_client(control, token_file)
    difference = _compare(client, _read(folder))
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
            help="Revision that the folder was written against; without it, the one "
            "in force is taken once you have seen the differences."
        ),
    ] = PRESENT,
    change: Annotated[
        str,
        typer.Option(help="Id of a change whose answer was lost, to send it again."),
    ] = "",
    yes: Annotated[bool, typer.Option("--yes", help="Don't ask.")] = False,
    as_json: JsonOption = False,
) -> None:
    """Apply a folder of declarations as the next revision.

    Of several operators who apply against one revision exactly one wins; the
    others are told which change won, and run diff and apply again. A change sent
    again under its id gets its first answer and is never applied twice.
    """
    found = _read(folder)
    client = create_client(control, token_file)
    if change and expect == PRESENT:
        fail("--change needs the --expect of the first try as well.", EXIT_BAD_INPUT)
    if expect == PRESENT:
        difference = _compare(client, found)
        if difference.is_empty and as_json:
            print_json(difference)
            return
        _confirm(difference, yes or as_json)
        expect = difference.revision
    change = change or uuid.uuid4().hex
    resend = f"gentianworks apply {folder} --expect {expect} --change {change}"
    typer.echo(f"If no answer comes, send it again by: {resend}", err=True)
    report = _send(client, found, expect, change)
    if as_json:
        print_json(report)
        return
    repeated = " (as first answered)" if report.is_repeated else ""
    typer.echo(f"Revision {report.revision} is accepted{repeated}.")
    typer.echo(f"Audit digest: {report.audit_digest}")


def _send(
    client: ControlClient, found: Configuration, expect: int, change: str
) -> ChangeReport:
    document = {
        "change": change,
        "expected_revision": expect,
        "configuration": cattrs.unstructure(found),
    }
    return client.send("/changes", document, ChangeReport)


def _read(folder: Path) -> Configuration:
    declared = read_declarations(folder)
    if declared.is_error():
        fail(str(declared.error), EXIT_BAD_INPUT)
    return declared.ok


def _compare(client: ControlClient, found: Configuration) -> Difference:
    present = client.ask("/configuration", ConfigurationReport).configuration
    delta = compute_delta(present, found)
    lines = describe_delta(present, delta)
    return Difference(present.revision, lines, is_empty(delta))


def _print_difference(difference: Difference) -> None:
    typer.echo(f"Revision {difference.revision} is in force.")
    for line in difference.lines:
        typer.echo(f"  {line}")
    if difference.is_empty:
        typer.echo("Nothing differs.")


def _confirm(difference: Difference, is_sure: bool) -> None:
    if difference.is_empty:
        typer.echo(f"Nothing differs from revision {difference.revision}.")
        raise typer.Exit(0)
    if is_sure:
        return
    _print_difference(difference)
    if sys.stdin.isatty():
        typer.confirm("Apply this?", abort=True)
