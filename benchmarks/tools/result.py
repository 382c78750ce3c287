"""Result: the JSON line that a benchmark prints."""

from __future__ import annotations

import json

import typer
from attrs import asdict, field, frozen


@frozen
class Result:
    """Figure of a benchmark, with its bound, its baselines and further details."""

    benchmark: str
    figure: float
    unit: str
    bound: float
    holds: bool  # whether all bounds of the benchmark are met
    baselines: dict[str, float] = field(factory=dict)
    details: dict[str, object] = field(factory=dict)

    def print(self) -> None:
        """Print the result as one line of JSON."""
        typer.echo(json.dumps(asdict(self)))
