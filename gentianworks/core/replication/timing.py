"""Timing: heartbeat interval, election timeouts and leader lease."""

from __future__ import annotations

from attrs import frozen

HEARTBEAT_INTERVAL = 0.25  # seconds; three may be lost within the lease
ELECTION_TIMEOUT_MIN = 1.0  # seconds; bounds the time a group has no leader
ELECTION_TIMEOUT_MAX = 2.0  # seconds; twice the least, so that votes rarely split
LEASE = 0.9  # seconds; expires before any host may vote for another leader


@frozen
class Timing:
    """Intervals of a control group in seconds; all members need the same values.

    A short `heartbeat` costs processor time; a long one lengthens the time without a
    leader. `lease` must be shorter than `election_min`.
    """

    heartbeat: float = HEARTBEAT_INTERVAL
    election_min: float = ELECTION_TIMEOUT_MIN
    election_max: float = ELECTION_TIMEOUT_MAX
    lease: float = LEASE
