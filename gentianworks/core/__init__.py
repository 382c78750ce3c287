"""Core: a reducer over events that returns effects as data, without any I/O."""

from __future__ import annotations
