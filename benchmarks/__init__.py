"""Benchmarks of the system, run as modules; none is a test."""

from __future__ import annotations
