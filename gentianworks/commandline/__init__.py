"""Command line: the commands of the program, grouped by subject."""

from __future__ import annotations
