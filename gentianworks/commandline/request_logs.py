"""Request logs: the command that collects the log lines of one request."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any

import typer
from attrs import frozen

from gentianworks.commandline.output import EXIT_BAD_INPUT, fail

app = typer.Typer()
NON_DETAIL_KEYS = frozenset({"time", "level", "event", "text", "request"})


@frozen(order=True)
class LogLine:
    """One line of a log; `time` is in seconds since the epoch."""

    time: float
    process: str
    event: str
    details: tuple[tuple[str, str], ...] = ()


@app.command(rich_help_panel="Processes")
def follow(
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[list[Path], typer.Argument(help="Files with JSON log lines.")],
) -> None:
    """Print the log lines of a request from all processes, sorted by time."""
    found: list[LogLine] = []
    for path in logs:
        try:
            found += find_lines(request, path)
        except OSError as error:
            fail(f"{path} can't be read ({error}); specify a log file.", EXIT_BAD_INPUT)
    if not found:
        fail(
            f"No line of {request!r} found in {len(logs)} files; add the logs of the "
            f"other routers, or check whether the request reached any router.",
            EXIT_BAD_INPUT,
        )
    for line in sorted(found):
        typer.echo(format_line(line))


def find_lines(request: str, path: Path) -> Iterator[LogLine]:
    """Yield the lines of a request in a file, skipping text that isn't JSON."""
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            if request not in text:
                continue
            document = _parse_line(text)
            if document.get("request") == request:
                yield _build_line(document, path.stem)


def format_line(line: LogLine) -> str:
    """Return a log line as text."""
    details = " ".join(f"{name}={value}" for name, value in line.details)
    return f"{line.time:.3f} {line.process} {line.event} {details}".rstrip()


def _parse_line(text: str) -> dict[str, Any]:
    start = text.find("{")
    try:
        document = json.loads(text[start:]) if start >= 0 else {}
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def _build_line(document: dict[str, Any], process: str) -> LogLine:
    details = tuple(
        (name, str(value))
        for name, value in document.items()
        if name not in NON_DETAIL_KEYS
    )
    time = float(document.get("time", 0.0))
    return LogLine(time, process, str(document.get("text", "")), details)
