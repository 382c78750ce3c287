"""Registry: the evacuated availability zones, agreed on and as a router knows them."""

from __future__ import annotations

from attrs import define, field

MAX_EVACUATED_ZONES = 256
MAX_ZONE_CHARACTERS = 256
MAX_RECENT_PROPOSALS = 256  # more than a group proposes until the last repeat arrives
LIST_LAG = 1.0  # seconds by which the list of replicas may be behind, and a margin


@define
class Evacuations:
    """Evacuated zones that the control hosts agree on.

    `revision` rises with each change. `recent_proposals` are the latest commands, since
    a command may be applied once more after a later one has taken effect.
    """

    revision: int = 0
    zones: list[str] = field(factory=list)
    recent_proposals: list[str] = field(factory=list)

    def set_evacuated(self, zone: str, is_evacuated: bool, proposal: str) -> bool:
        """Evacuate a zone or reopen it, and return whether anything has changed."""
        if proposal in self.recent_proposals:
            return False
        self.recent_proposals.append(proposal)
        del self.recent_proposals[:-MAX_RECENT_PROPOSALS]
        if (zone in self.zones) == is_evacuated or not self.has_room(
            zone, is_evacuated
        ):
            return False
        if is_evacuated:
            self.zones.append(zone)
        else:
            self.zones.remove(zone)
        self.revision += 1
        return True

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

    def end_wait(self, zone: str, withdrawn_at: float) -> None:
        """Reopen a zone without a newer list, unless it was evacuated again."""
        if self.withdrawn_at.get(zone) == withdrawn_at:
            del self.withdrawn_at[zone]


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
