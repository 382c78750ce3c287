"""Admission control: queue order, wait estimates, refusals and pre-emption."""

from __future__ import annotations
