"""Configuration: changes, and their distribution to every process."""

from __future__ import annotations
