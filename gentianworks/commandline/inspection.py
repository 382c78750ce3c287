"""Inspection: the command that reads the data folder of a stopped control host."""

from __future__ import annotations

import shutil
import tempfile
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer
from attrs import frozen

from gentianworks.commandline.audit_trail import archive_entries
from gentianworks.commandline.options import JsonOption, SettingsOption
from gentianworks.commandline.output import (
    EXIT_BAD_INPUT,
    fail,
    format_time,
    print_json,
)
from gentianworks.commandline.queries import print_explanation
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
    "This is the data of one host: its last entries may never have been committed, and "
    "later entries that the other hosts committed are missing."
)

app = typer.Typer()


@frozen
class FolderReport(Report):
    """Summary of a data folder; `written_at` is in seconds since the epoch."""

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
        Path, typer.Option(help="File to append the entries of the audit trail to.")
    ] = NO_FILE,
    as_json: JsonOption = False,
) -> None:
    """Show the contents of a stopped control host's data folder, without changing it.

    For recovery after a majority of the control hosts has lost its disks. With
    --workspace and --key it shows the state of a key.
    """
    if bool(key) != bool(workspace):
        fail("Specify both --workspace and --key.", EXIT_BAD_INPUT)
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
        typer.echo(f"{count} entries appended to {archive}.", err=True)
    summary = (
        _build_key_report(workspace, key, replicated, found.ok)
        if key
        else _build_folder_report(contents, replicated)
    )
    typer.echo(WARNING, err=True)
    if as_json:
        print_json(summary)
    else:
        print_explanation(summary)


def _read_folder(folder: Path) -> JournalContents:
    """Return the contents of a folder.

    They are read from a copy, since loading a journal truncates an incomplete end.
    """
    if not (folder / JOURNAL_FILE).exists():
        fail(
            f"{folder}: contains no journal; specify the folder of a control host.",
            EXIT_BAD_INPUT,
        )
    with tempfile.TemporaryDirectory() as scratch:
        copy = Path(scratch) / "data"
        shutil.copytree(folder, copy)
        journal = Journal(copy)
        loaded = journal.load("")
        journal.close()
    if loaded.is_error():
        fail(str(loaded.error), EXIT_BAD_INPUT)
    return loaded.ok


def _build_folder_report(
    contents: JournalContents, replicated: ReplicatedState
) -> FolderReport:
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


def _build_key_report(
    workspace: str, key: str, replicated: ReplicatedState, settings: Settings
) -> KeyReport:
    state = State(settings.build_node(Role.CONTROL))
    state.control = ControlState(replicated=replicated)
    key_report = build_report(KeyRequested("", "", workspace, key), state, 0.0)
    assert isinstance(key_report, KeyReport)
    return key_report


@print_explanation.register
def _(summary: FolderReport) -> None:
    written_at = (
        format_time(summary.written_at) if summary.written_at else "at an unknown time"
    )
    keys = ", ".join(f"{count} {name}" for name, count in sorted(summary.keys.items()))
    typer.echo(f"Host {summary.host} of group {summary.group}, with the members:")
    for member in summary.members:
        typer.echo(f"  {member}")
    typer.echo(
        f"Last entry {summary.index} of term {summary.term}, written {written_at}."
    )
    typer.echo(f"Revision {summary.revision}, audit digest {summary.audit_digest}.")
    typer.echo(f"Idempotency keys: {keys or 'none'}.")
