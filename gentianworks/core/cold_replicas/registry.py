"""Registry: the cold replicas that a router knows, and how they return to service.

A replica of a service with a cold rate counts as limited while the list says that it is
cold. Afterwards its subjects return to it stepwise.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from gentianworks.core.gateway.replicas import Replica, ReplicaName
from gentianworks.core.hashing import hash_to_fraction
from gentianworks.core.types import ServiceName

# Of the cold rate; a full bucket and one second's refill of all shares stay within the
# 1.5 times that a replica tolerates.
LENT_PART = 0.75
BURST_TIME = 0.25  # seconds of a share that may be used at once, if over one request
RAMP_TIME = 2.0  # seconds in which the subjects of a replica that is warm return
TURN_TIME = 0.15  # seconds; a longer turn makes more routers' turns meet in one second
# Of the lent part, while no host leads. Routers that are cut off use it besides the
# shares that a leader lends to the others; with 25 of 28 cut off, a whole part gave 21
# to 23 requests in a second, of 23 allowed.
EVEN_PART = 0.75
# Seconds without requests in which others end theirs, when a share moves.
HANDOVER_TIME = 1.0
COUNT_LIFETIME = 30.0  # seconds; a new leader knows few routers at first
UNTOLD_ROUTERS = 16  # routers assumed until a leader has told their number


@frozen
class ColdRate:
    """Requests a second that a cold replica of a service tolerates."""

    service: ServiceName
    rate: float


@frozen
class ColdRates:
    """Cold rates of all services in one revision of the route table."""

    revision: int = 0
    rates: tuple[ColdRate, ...] = ()


def list_cold_limits(
    replicas: Iterable[Replica], rates: Mapping[ServiceName, float]
) -> dict[ReplicaName, float]:
    """Return the limits in requests a second of the replicas that are cold."""
    if not rates:
        return {}
    return {
        item.name: LENT_PART * rates[item.service]
        for item in replicas
        if item.is_cold and item.service in rates
    }


@define
class ColdReplicas:
    """Cold replicas and their limits in requests a second, as a router knows them.

    While no host leads, each router takes one request in its turn, which comes once in
    the time in which its even share allows one. `router_count` divides the shares; it
    is the highest number that a leader told lately.
    """

    limits: dict[ReplicaName, float] = field(factory=dict)
    router_count: int = UNTOLD_ROUTERS
    # Times in seconds at which replicas became warm, while their subjects return.
    _warmed_at: dict[ReplicaName, float] = field(factory=dict)
    _counted_at: float = float("-inf")  # seconds
    _turns_from: float = float("-inf")  # seconds
    _last_turns: dict[ReplicaName, int] = field(factory=dict)

    def update(
        self,
        limits: dict[ReplicaName, float],
        listed: Mapping[ReplicaName, Replica],
        now: float,
    ) -> tuple[list[ReplicaName], list[ReplicaName]]:
        """Replace the limits; return the replicas that became cold, and warm."""
        cold = [name for name in limits if name not in self.limits]
        warm = [name for name in self.limits if name not in limits and name in listed]
        self.limits = limits
        self._warmed_at = {
            name: at
            for name, at in self._warmed_at.items()
            if now - at < RAMP_TIME and name in listed and name not in limits
        }
        self._warmed_at.update(dict.fromkeys(warm, now))
        self._last_turns = {
            name: turn for name, turn in self._last_turns.items() if name in limits
        }
        return cold, warm

    def is_anyone_ramping(self, now: float) -> bool:
        """Return whether the subjects of some replica may not have returned yet."""
        if self._warmed_at and now - max(self._warmed_at.values()) >= RAMP_TIME:
            self._warmed_at.clear()
        return bool(self._warmed_at)

    def is_ramping(self, name: ReplicaName, key: str, now: float) -> bool:
        """Return whether the calls with a key have not returned to a replica yet."""
        warmed_at = self._warmed_at.get(name)
        if warmed_at is None:
            return False
        returned = (now - warmed_at) / RAMP_TIME
        return returned < 1 and hash_to_fraction(f"{name}/{key}") >= returned

    def record_router_count(self, count: int, now: float) -> None:
        """Record the number of routers that a leader told."""
        if count >= self.router_count or now - self._counted_at > COUNT_LIFETIME:
            self.router_count = count
            self._counted_at = now

    def begin_turns(self, now: float) -> None:
        """Record that the shares of the leader end, and the turns begin."""
        self._turns_from = now + HANDOVER_TIME

    def compute_even_rate(self, limit: float) -> float:
        """Return the rate of this router's turns, in requests a second."""
        return EVEN_PART * limit / self.router_count

    def may_take_turn(
        self, router: str, name: ReplicaName, limit: float, now: float
    ) -> bool:
        """Return whether a router may send a replica its request of this turn."""
        if now < self._turns_from:
            return False
        turn, elapsed = self._find_turn(router, name, limit, now)
        return elapsed < TURN_TIME and turn != self._last_turns.get(name)

    def record_turn(
        self, router: str, name: ReplicaName, limit: float, now: float
    ) -> None:
        """Use the request of this turn."""
        self._last_turns[name] = self._find_turn(router, name, limit, now)[0]

    def compute_turn_wait(
        self, router: str, name: ReplicaName, limit: float, now: float
    ) -> float:
        """Return the seconds until a router's next turn at a replica."""
        if self.may_take_turn(router, name, limit, now):
            return 0.0
        elapsed = self._find_turn(router, name, limit, now)[1]
        return 1 / self.compute_even_rate(limit) - elapsed

    def _find_turn(
        self, router: str, name: ReplicaName, limit: float, now: float
    ) -> tuple[int, float]:
        """Return the number of the present turn and the seconds since it began.

        Saved shares of all routers would be a burst of one request each, so the turns
        begin at different times, and what is not used in a turn is lost.
        """
        period = 1 / self.compute_even_rate(limit)
        position = now / period + hash_to_fraction(f"{router}/{name}")
        turn = int(position)
        return turn, (position - turn) * period
