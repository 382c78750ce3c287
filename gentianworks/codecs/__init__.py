"""Encodings of messages, requests and problems."""

from __future__ import annotations
