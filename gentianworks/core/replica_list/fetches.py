"""List fetches: when a process fetches the list of replicas from the platform.

The platform limits the requests of the whole fleet. The leading control host fetches
the list for all routers; a router fetches it itself only while no current list arrives
from a leader.
"""

from __future__ import annotations

from attrs import define

from gentianworks.core.delays import double_delay
from gentianworks.core.ticks import MAX_EARLINESS

RETRY_INTERVAL = 0.3  # seconds; repeats a failed fetch well within the drain time
MAX_RETRY_INTERVAL = 1.0  # seconds; a platform that is back is noticed soon
MAX_THROTTLED_INTERVAL = 8.0  # seconds; a throttled fleet halves its rate down to this
LEADER_RATE_SHARE = 0.25  # of the permitted rate
ROUTERS_RATE_SHARE = 0.5  # of the permitted rate, for all routers together
INTERVAL_JITTER = 0.2  # of an interval; spreads the fetches of the routers
MAX_FETCH_TIME = 5.0  # seconds for which a fetch in progress keeps out the next one


@define
class ListFetches:
    """Fetches of the list by this process; times are in seconds."""

    interval: float = 1.0
    permitted_rate: float = float("inf")  # requests per second of the whole fleet
    page_count: int = 1  # requests of one fetch
    requested_at: float = float("-inf")
    next_at: float = float("-inf")
    failure_count: int = 0  # since the last success
    success_total: int = 0
    failure_total: int = 0
    is_alone: bool = False  # a router that receives no current list from a leader

    def begin(self, now: float) -> None:
        """Record that a fetch is in progress."""
        self.requested_at = now
        self.next_at = now + MAX_FETCH_TIME

    def record_success(self, page_count: int) -> None:
        """Record a list that took `page_count` requests."""
        self.page_count = max(1, page_count)
        self.failure_count = 0
        self.success_total += 1

    def record_failure(self) -> None:
        """Record a fetch that gave no list."""
        self.failure_count += 1
        self.failure_total += 1

    def compute_interval(self, router_count: int = 0) -> float:
        """Return the interval of a leader, or of each of several routers."""
        share = ROUTERS_RATE_SHARE if router_count else LEADER_RATE_SHARE
        requests = max(1, router_count) * self.page_count
        return max(self.interval, requests / (share * self.permitted_rate))

    def compute_retry_delay(self, is_throttled: bool, interval: float) -> float:
        """Return the time until the next fetch after a failed one.

        It is no shorter than an interval that the permitted rate has stretched.
        """
        doublings = max(0, self.failure_count - 1)
        if is_throttled:
            delay = double_delay(interval, doublings + 1, MAX_THROTTLED_INTERVAL)
        else:
            delay = double_delay(RETRY_INTERVAL, doublings, MAX_RETRY_INTERVAL)
        return max(delay, interval) if interval > self.interval else delay

    def is_due(self, now: float) -> bool:
        """Return whether the next fetch is due and none is in progress."""
        return now >= self.next_at - MAX_EARLINESS
