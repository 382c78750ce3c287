"""Trail: the command that shows, checks and archives the audit trail."""

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
    after: Annotated[int, typer.Option(help="Show entries above this index.")] = 0,
    verify: Annotated[
        bool,
        typer.Option(
            "--verify", help="Check the chain, and that all control hosts agree."
        ),
    ] = False,
    head: Annotated[
        str, typer.Option(help="Audit digest noted earlier that must be in the chain.")
    ] = "",
    archive: Annotated[
        Path, typer.Option(help="File to append the entries to that it lacks.")
    ] = NO_ARCHIVE,
    as_json: JsonOption = False,
) -> None:
    """Show the audit trail: who changed or was refused what, and when.

    The control hosts keep the latest 10,000 entries; --archive keeps all of them in
    a file of yours, and checks that each continues the chain.
    """
    client = create_client(control, token_file)
    if archive != NO_ARCHIVE:
        count = archive_entries(archive, partial(_fetch, client))
        typer.echo(f"{count} entries added to {archive}; its chain is whole.")
        return
    entries = _fetch(client, after)
    if verify or head:
        _verify(client, entries, after, head)
    if as_json:
        print_json(entries)
        return
    for entry in entries:
        _print_entry(entry)
    if verify or head:
        typer.echo(f"The chain of {len(entries)} entries is whole.")


def archive_entries(file: Path, fetch: Callable[[int], Sequence[AuditEntry]]) -> int:
    """Add to an archive what `fetch` gives after an index, and return how many."""
    kept = read_archive(file)
    if kept.is_error():
        fail(str(kept.error), EXIT_TAMPERED)
    entries = fetch(kept.ok[-1].index if kept.ok else 0)
    added = extend_archive(file, kept.ok, entries)
    if added.is_error():
        fail(str(added.error), EXIT_TAMPERED)
    return added.ok


def _fetch(client: ControlClient, after: int) -> list[AuditEntry]:
    entries: list[AuditEntry] = []
    page = client.ask("/audit", AuditReport, after=after).entries
    while page:
        entries += page
        page = client.ask("/audit", AuditReport, after=page[-1].index).entries
    return entries


def _verify(
    client: ControlClient, entries: list[AuditEntry], after: int, head: str
) -> None:
    broken = find_broken_link(entries)
    if broken is not None:
        fail(f"Entry {broken.index} breaks the chain: tampered with.", EXIT_TAMPERED)
    if head and head not in {entry.digest for entry in entries}:
        fail(f"No entry has the digest {head}: tampered with.", EXIT_TAMPERED)
    digests = {entry.index: entry.digest for entry in entries}
    for host in client.hosts:
        one = ControlClient([host], client.token)
        if one.try_asking("/audit", AuditReport, after=after).is_error():
            typer.echo(f"{host}: not compared, it gave no answer.", err=True)
            continue
        for entry in _fetch(one, after):
            if digests.get(entry.index, entry.digest) != entry.digest:
                fail(f"{host}: entry {entry.index} differs.", EXIT_TAMPERED)


def _print_entry(entry: AuditEntry) -> None:
    when = format_time(entry.at)
    typer.echo(
        f"{entry.index} {when} {entry.operator} {entry.action.value} "
        f"{entry.from_revision} -> {entry.to_revision} (change {entry.change})"
    )
    for line in entry.detail:
        typer.echo(f"    {line}")
