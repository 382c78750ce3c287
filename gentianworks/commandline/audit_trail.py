"""Audit trail: the command that shows, verifies and archives the audit trail."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Annotated

import typer

from gentianworks.commandline.archive import extend_archive, read_archive
from gentianworks.commandline.client import ControlClient, create_client
from gentianworks.commandline.options import ControlOption, JsonOption, TokenOption
from gentianworks.commandline.output import EXIT_TAMPERED, fail, format_time, print_json
from gentianworks.core.operators.audit import AuditEntry, find_broken_link
from gentianworks.core.operators.reports import AuditReport

app = typer.Typer()
NO_ARCHIVE = Path()


@app.command(rich_help_panel="Audit")
def audit(
    control: ControlOption,
    token_file: TokenOption,
    after: Annotated[int, typer.Option(help="Show entries after this index.")] = 0,
    verify: Annotated[
        bool,
        typer.Option(
            "--verify", help="Verify the chain and that all control hosts agree."
        ),
    ] = False,
    head: Annotated[
        str,
        typer.Option(help="Audit digest recorded earlier that must be in the chain."),
    ] = "",
    archive: Annotated[
        Path, typer.Option(help="File to append new entries to.")
    ] = NO_ARCHIVE,
    as_json: JsonOption = False,
) -> None:
    """Show the audit trail: accepted and rejected changes with operator and time.

    The control hosts keep the latest 10,000 entries; --archive collects all of them
    in your own file, and verifies that each entry continues the chain.
    """
    client = create_client(control, token_file)
    if archive != NO_ARCHIVE:
        count = archive_entries(archive, partial(_fetch_entries, client))
        typer.echo(f"{count} entries appended to {archive}; its chain is intact.")
        return
    entries = _fetch_entries(client, after)
    if verify or head:
        _verify(client, entries, after, head)
    if as_json:
        print_json(entries)
        return
    for entry in entries:
        _print_entry(entry)
    if verify or head:
        typer.echo(f"The chain of {len(entries)} entries is intact.")


def archive_entries(file: Path, fetch: Callable[[int], Sequence[AuditEntry]]) -> int:
    """Append the entries that follow an archive, and return their number.

    `fetch` returns the entries after an index. Raises typer.Exit if the archive or the
    new entries are inconsistent.
    """
    archived = read_archive(file)
    if archived.is_error():
        fail(str(archived.error), EXIT_TAMPERED)
    entries = fetch(archived.ok[-1].index if archived.ok else 0)
    added = extend_archive(file, archived.ok, entries)
    if added.is_error():
        fail(str(added.error), EXIT_TAMPERED)
    return added.ok


def _fetch_entries(client: ControlClient, after: int) -> list[AuditEntry]:
    entries: list[AuditEntry] = []
    page = client.fetch("/audit", AuditReport, after=after).entries
    while page:
        entries += page
        page = client.fetch("/audit", AuditReport, after=page[-1].index).entries
    return entries


def _verify(
    client: ControlClient, entries: list[AuditEntry], after: int, head: str
) -> None:
    broken = find_broken_link(entries)
    if broken is not None:
        fail(
            f"Entry {broken.index} breaks the chain; the trail was altered.",
            EXIT_TAMPERED,
        )
    if head and head not in {entry.digest for entry in entries}:
        fail(f"No entry has the digest {head}; the trail was altered.", EXIT_TAMPERED)
    digests = {entry.index: entry.digest for entry in entries}
    for host in client.hosts:
        host_client = ControlClient([host], client.token)
        if host_client.try_fetch("/audit", AuditReport, after=after).is_error():
            typer.echo(f"{host}: not compared, no response.", err=True)
            continue
        for entry in _fetch_entries(host_client, after):
            if digests.get(entry.index, entry.digest) != entry.digest:
                fail(
                    f"{host}: entry {entry.index} differs from other hosts.",
                    EXIT_TAMPERED,
                )


def _print_entry(entry: AuditEntry) -> None:
    recorded_at = format_time(entry.at)
    typer.echo(
        f"{entry.index} {recorded_at} {entry.operator} {entry.action.value} "
        f"{entry.from_revision} -> {entry.to_revision} (change {entry.change})"
    )
    for line in entry.detail:
        typer.echo(f"    {line}")
