"""Startup queue: calls that arrive before the routes and the replicas are known.

When all processes of a fleet restart at once, a caller that is refused finds no other
router that could serve it, so each router queues calls for up to a second.
"""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.gateway.calls import Call

MAX_QUEUED_CALLS = 2000  # some 40 MB with prompts of 20 KB
MAX_QUEUE_TIME = 1.0  # seconds; an election and the first table take less
MAX_QUEUE_FRACTION = 0.5  # of a call's timeout; the rest allows a try at another router


@frozen
class QueuedCall:
    """Call that waits for the first route table and list of replicas."""

    call: Call
    arrived_at: float  # seconds


def compute_queue_deadline(call: Call, now: float) -> float:
    """Return the time in seconds until which a call may stay in the queue."""
    return now + min(MAX_QUEUE_TIME, MAX_QUEUE_FRACTION * call.timeout)
