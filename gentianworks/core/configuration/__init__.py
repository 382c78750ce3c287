"""Configuration: changes and their way to every process."""

from __future__ import annotations
