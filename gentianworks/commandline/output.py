"""Output: the output formats and exit codes of commands."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from typing import Any, NoReturn

import cattrs
import typer

EXIT_DIFFERENT = 1
EXIT_BAD_INPUT = 2
EXIT_UNREACHABLE = 3
EXIT_REFUSED = 4
EXIT_TAMPERED = 5

EXIT_HELP = (
    "Exit codes: 0 success, 1 differences found, 2 invalid input, 3 no control host "
    "responded, 4 rejected by the control hosts, 5 audit trail was altered."
)


def fail(message: str, code: int) -> NoReturn:
    """Print an error and exit with a code."""
    typer.echo(message, err=True)
    raise typer.Exit(code)


def print_json(report: Any) -> None:
    """Print a report as one JSON document."""
    typer.echo(json.dumps(cattrs.unstructure(report), indent=2))


def format_time(seconds: float) -> str:
    """Return a time in seconds since the epoch as text in UTC."""
    return time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(seconds))


def print_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows under headings in aligned columns."""
    lines = [[str(cell) for cell in row] for row in (headings, *rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = zip(line, widths, strict=True)
        typer.echo("  ".join(cell.ljust(width) for cell, width in cells).rstrip())
