"""Command line: run a benchmark with `python -m benchmarks NAME [--quick]`."""

from __future__ import annotations

import importlib
from pathlib import Path
from typing import Annotated

import typer


def list_names() -> list[str]:
    """Return the names of the benchmark modules."""
    files = Path(__file__).parent.glob("[a-z]*.py")
    return sorted(file.stem for file in files)


def run(
    name: Annotated[str, typer.Argument(help="Name of the benchmark.")],
    quick: Annotated[bool, typer.Option(help="Finish in under 60 seconds.")] = False,
) -> None:
    """Run a benchmark, which prints its result as one line of JSON."""
    if name not in list_names():
        names = ", ".join(list_names())
        raise typer.BadParameter(f"unknown benchmark {name!r}; use one of {names}.")
    importlib.import_module(f"benchmarks.{name}").main(quick)


if __name__ == "__main__":
    typer.run(run)
