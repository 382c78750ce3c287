"""Timing: how often a leader speaks, and when its silence leads to an election."""

from __future__ import annotations

from attrs import frozen

HEARTBEAT_INTERVAL = 0.25  # seconds; three may be lost within the lease
ELECTION_TIMEOUT_MIN = 1.0  # seconds; bounds how long a group is without a leader
ELECTION_TIMEOUT_MAX = 2.0  # seconds; twice the least, so that candidates rarely tie
LEASE = 0.9  # seconds; ends before any host may vote for another leader


@frozen
class Timing:
    """Hold a group's intervals in seconds; every member needs the same.

    A short `heartbeat` costs processor time, a long one lengthens the time without a
    leader; `lease` must stay under `election_min`.
    """

    heartbeat: float = HEARTBEAT_INTERVAL
    election_min: float = ELECTION_TIMEOUT_MIN
    election_max: float = ELECTION_TIMEOUT_MAX
    lease: float = LEASE
