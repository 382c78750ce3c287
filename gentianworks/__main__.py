"""Run the command line with `python -m gentianworks`."""

from __future__ import annotations

from gentianworks.cli import app

app()
