"""Inspection: the command that reads the data folder of a control host that is down."""

from __future__ import annotations

import shutil
import tempfile
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer
from attrs import frozen

from gentianworks.commandline.options import JsonOption, SettingsOption
from gentianworks.commandline.output import (
    EXIT_BAD_INPUT,
    fail,
    format_time,
    print_json,
)
from gentianworks.commandline.questions import print_explanation
from gentianworks.commandline.trail import archive_entries
from gentianworks.core import handlers
from gentianworks.core.events.operators import KeyRequested
from gentianworks.core.events.replication import JournalContents
from gentianworks.core.operators.audit import MAX_AUDIT_ENTRIES
from gentianworks.core.operators.read_requests import build_report
from gentianworks.core.operators.reports import KeyReport, Report
from gentianworks.core.replication.control import ControlState
from gentianworks.core.replication.replay import replay
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State
from gentianworks.core.types import Role
from gentianworks.settings import Settings, read_settings
from gentianworks.storage.journal import JOURNAL_FILE, Journal

__all__ = ["app", "handlers"]

NO_FILE = Path()
WARNING = (
    "This is what one host holds: its last entries may never have been accepted, and "
    "what the others accepted after them is not here."
)

app = typer.Typer()


@frozen
class FolderReport(Report):
    """Tell what a data folder holds; `written_at` is in seconds since the epoch."""

    host: str
    group: str
    members: tuple[str, ...]
    term: int
    index: int
    written_at: float
    revision: int
    audit_digest: str
    keys: dict[str, int]


@app.command(rich_help_panel="Processes")
def inspect(
    settings: SettingsOption,
    workspace: Annotated[str, typer.Option(help="Workspace of the key.")] = "",
    key: Annotated[str, typer.Option(help="An idempotency key.")] = "",
    archive: Annotated[
        Path, typer.Option(help="File to add the entries of the audit trail to.")
    ] = NO_FILE,
    as_json: JsonOption = False,
) -> None:
    """Show what the data folder of a stopped control host holds, and change nothing.

    For the day on which a majority of the control hosts has lost its disks. With
    --workspace and --key it shows what became of a key.
    """
    if bool(key) != bool(workspace):
        fail("Give --workspace and --key together.", EXIT_BAD_INPUT)
    found = read_settings(settings)
    if found.is_error():
        fail(str(found.error), EXIT_BAD_INPUT)
    contents = _read_folder(Path(found.ok.node.data_folder))
    replicated = replay(contents)
    if archive != NO_FILE:
        trail = replicated.audit
        count = archive_entries(
            archive, lambda last: trail.list_after(last, MAX_AUDIT_ENTRIES)
        )
        typer.echo(f"{count} entries added to {archive}.", err=True)
    told = (
        _explain(workspace, key, replicated, found.ok)
        if key
        else _describe(contents, replicated)
    )
    typer.echo(WARNING, err=True)
    if as_json:
        print_json(told)
    else:
        print_explanation(told)


def _read_folder(folder: Path) -> JournalContents:
    """Return what a folder holds, read from a copy, since reading cuts a torn end."""
    if not (folder / JOURNAL_FILE).exists():
        fail(f"{folder}: holds no journal; name a control host's.", EXIT_BAD_INPUT)
    with tempfile.TemporaryDirectory() as scratch:
        copy = Path(scratch) / "data"
        shutil.copytree(folder, copy)
        journal = Journal(copy)
        loaded = journal.load("")
        journal.close()
    if loaded.is_error():
        fail(str(loaded.error), EXIT_BAD_INPUT)
    return loaded.ok


def _describe(contents: JournalContents, replicated: ReplicatedState) -> FolderReport:
    entries = contents.entries
    last = entries[-1].position if entries else contents.base
    members = replicated.membership.members
    ledger = replicated.ledger
    keys = Counter(record.status.value for record in ledger.records.values())
    return FolderReport(
        host=contents.host,
        group=replicated.membership.group,
        members=tuple(f"{item.host} {item.peer_address}" for item in members),
        term=last.term,
        index=last.index,
        written_at=entries[-1].command.proposed_at if entries else 0.0,
        revision=replicated.configuration.revision,
        audit_digest=replicated.audit.head,
        keys=dict(keys),
    )


def _explain(
    workspace: str, key: str, replicated: ReplicatedState, settings: Settings
) -> KeyReport:
    state = State(settings.build_node(Role.CONTROL))
    state.control = ControlState(replicated=replicated)
    told = build_report(KeyRequested("", "", workspace, key), state, 0.0)
    assert isinstance(told, KeyReport)
    return told


@print_explanation.register
def _(told: FolderReport) -> None:
    written = format_time(told.written_at) if told.written_at else "at a time unknown"
    keys = ", ".join(f"{count} {name}" for name, count in sorted(told.keys.items()))
    typer.echo(f"Host {told.host} of group {told.group}, with the members:")
    for member in told.members:
        typer.echo(f"  {member}")
    typer.echo(f"Last entry {told.index} of term {told.term}, written {written}.")
    typer.echo(f"Revision {told.revision}, audit digest {told.audit_digest}.")
    typer.echo(f"Idempotency keys: {keys or 'none'}.")
