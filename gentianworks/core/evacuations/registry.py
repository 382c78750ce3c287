"""Registry: the evacuated availability zones, agreed on and as a router knows them."""

from __future__ import annotations

from attrs import define, field

MAX_EVACUATED_ZONES = 256
MAX_ZONE_CHARACTERS = 256
# Zones whose last change is known; enough for all evacuated ones and as many reopened.
MAX_KNOWN_CHANGES = 2 * MAX_EVACUATED_ZONES
LIST_LAG = 1.0  # seconds by which the list of replicas may be behind, and a margin


@define
class Evacuations:
    """Evacuated zones that the control hosts agree on.

    `revision` rises with each change. `changed_in` maps zones to the revision of their
    last change, and `forgotten_revision` is the last of those that are not kept. They
    tell an order that was delayed on its way from one that the operator gave later.
    """

    revision: int = 0
    zones: list[str] = field(factory=list)
    changed_in: dict[str, int] = field(factory=dict)
    forgotten_revision: int = 0

    def set_evacuated(self, zone: str, is_evacuated: bool) -> bool:
        """Evacuate a zone or reopen it, and return whether anything has changed."""
        if (zone in self.zones) == is_evacuated:
            return False
        if is_evacuated:
            self.zones.append(zone)
        else:
            self.zones.remove(zone)
        self.revision += 1
        self.changed_in.pop(zone, None)
        self.changed_in[zone] = self.revision
        self._forget_oldest_change()
        return True

    def _forget_oldest_change(self) -> None:
        if len(self.changed_in) > MAX_KNOWN_CHANGES:
            oldest = next(iter(self.changed_in))
            self.forgotten_revision = self.changed_in.pop(oldest)

    def is_stale(self, zone: str, is_evacuated: bool, known_revision: int) -> bool:
        """Return whether an order would undo a change that its host did not know."""
        if (zone in self.zones) == is_evacuated:
            return False
        return self.changed_in.get(zone, self.forgotten_revision) > known_revision

    def has_room(self, zone: str, is_evacuated: bool) -> bool:
        """Return whether an order does not exceed the number of evacuated zones."""
        is_added = is_evacuated and zone not in self.zones
        return not is_added or len(self.zones) < MAX_EVACUATED_ZONES


@define
class KnownEvacuations:
    """Evacuated zones that a router last received from a control host.

    `withdrawn_at` maps a zone that was reopened to the time in seconds at which this
    router learned of it, until the list of replicas is known to be newer.
    """

    revision: int = 0
    zones: frozenset[str] = frozenset()
    withdrawn_at: dict[str, float] = field(factory=dict)

    def update(
        self, revision: int, zones: tuple[str, ...], awaits_list: bool, now: float
    ) -> frozenset[str]:
        """Replace the zones, unless `revision` is no newer, and return those reopened.

        With `awaits_list`, a reopened zone stays closed until there is a newer list.
        """
        if revision <= self.revision:
            return frozenset()
        reopened = self.zones - frozenset(zones)
        self.revision = revision
        self.zones = frozenset(zones)
        for zone in self.zones:
            self.withdrawn_at.pop(zone, None)
        if awaits_list:
            self.withdrawn_at.update(dict.fromkeys(reopened, now))
        return reopened

    def is_closed(self, zone: str, list_current_at: float) -> bool:
        """Return whether a zone gets no calls, with a list of that time in seconds."""
        if zone in self.zones:
            return True
        withdrawn_at = self.withdrawn_at.get(zone)
        return withdrawn_at is not None and list_current_at < withdrawn_at + LIST_LAG

    def end_wait(self, zone: str, withdrawn_at: float) -> bool:
        """End the wait of a zone that was reopened at a time, and return if it waited.

        A zone that was evacuated again meanwhile does not wait.
        """
        if self.withdrawn_at.get(zone) != withdrawn_at:
            return False
        del self.withdrawn_at[zone]
        return True


def describe_zone_fault(zone: str) -> str:
    """Return why a name can't be that of a zone, or an empty string."""
    if not zone:
        return "The name of the zone is empty; give the name of an availability zone."
    if len(zone) > MAX_ZONE_CHARACTERS:
        return (
            f"The name of the zone has {len(zone)} characters; "
            f"use at most {MAX_ZONE_CHARACTERS}."
        )
    if not zone.isprintable():
        return "The name of the zone has control characters; remove them."
    return ""
