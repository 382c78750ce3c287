"""Membership: requests of a control host to the platform and for its settings."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.effects.base import Effect


@frozen
class FetchHosts(Effect):
    """Fetch the platform's list of hosts from an HTTP address."""

    address: str


@frozen
class ReadSeeds(Effect):
    """Read the seeds of the settings again if these have changed."""
