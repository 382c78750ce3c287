"""Tests, one module for each subject, and the helpers that they share."""

from __future__ import annotations
