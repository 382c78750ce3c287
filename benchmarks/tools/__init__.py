"""Workloads, baseline policies and measurements shared by the benchmarks."""

from __future__ import annotations
