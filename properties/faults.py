"""Faults: actions on a simulated control group, which tests combine at random."""

from __future__ import annotations

from collections.abc import Callable

from properties.control_group import SimulatedGroup

Action = Callable[[SimulatedGroup, int], None]


def propose_item(group: SimulatedGroup, number: int) -> None:
    """Propose an item at a running host."""
    if _is_running(group, number):
        group.propose_item(number)


def start_read(group: SimulatedGroup, number: int) -> None:
    """Start a linearizable read at a running host."""
    if _is_running(group, number):
        group.start_read(number)


def crash(group: SimulatedGroup, number: int) -> None:
    """Crash a host that is up."""
    if group.hosts[number].is_up:
        group.crash(number)


def crash_leader(group: SimulatedGroup, number: int) -> None:
    """Crash the leader."""
    leader = group.find_leader()
    if leader is not None:
        group.crash(leader)


def start(group: SimulatedGroup, number: int) -> None:
    """Start a host that is down."""
    if not group.hosts[number].is_up:
        group.start(number)


def freeze(group: SimulatedGroup, number: int) -> None:
    """Freeze a host's process while its clock advances."""
    group.freeze(number)


def thaw(group: SimulatedGroup, number: int) -> None:
    """Resume a frozen process."""
    if group.hosts[number].is_up:
        group.thaw(number)


def stop_clock(group: SimulatedGroup, number: int) -> None:
    """Stop a host's clock while its process runs."""
    group.hosts[number].is_clock_stopped = True


def start_clock(group: SimulatedGroup, number: int) -> None:
    """Start a host's stopped clock; it stays behind."""
    group.hosts[number].is_clock_stopped = False


def isolate(group: SimulatedGroup, number: int) -> None:
    """Cut the links between a host and all others."""
    group.isolate(number)


def isolate_leader(group: SimulatedGroup, number: int) -> None:
    """Cut the links between the leader and all others."""
    leader = group.find_leader()
    if leader is not None:
        group.isolate(leader)


def cut_link(group: SimulatedGroup, number: int) -> None:
    """Lose every message from a host to its neighbour, but not the replies."""
    neighbour = group.hosts[(number + 1) % group.size]
    group.cut_links.add((group.hosts[number].address, neighbour.address))


def isolate_pair(group: SimulatedGroup, number: int) -> None:
    """Partition a host and its neighbour from the others."""
    group.isolate(number)
    neighbour = (number + 1) % group.size
    group.isolate(neighbour)
    pair = {group.hosts[number].address, group.hosts[neighbour].address}
    group.cut_links = {link for link in group.cut_links if set(link) != pair}


def heal_network(group: SimulatedGroup, number: int) -> None:
    """Restore every cut link."""
    group.cut_links.clear()


def enable_message_loss(group: SimulatedGroup, number: int) -> None:
    """Make the network lose, duplicate and delay messages."""
    group.loss_rate = 0.2


def disable_message_loss(group: SimulatedGroup, number: int) -> None:
    """Make the network deliver every message once, without a long delay."""
    group.loss_rate = 0.0


def lose_power_everywhere(group: SimulatedGroup, number: int) -> None:
    """Crash every host at the same moment and restart all but the given one."""
    for host in range(group.size):
        group.crash(host)
    for host in range(group.size):
        if host != number:
            group.start(host)


def propose_with_bare_quorum(group: SimulatedGroup, number: int) -> None:
    """Propose an item at the leader while a minority is down, then crash every host.

    All but the leader restart; an item that was acknowledged has to survive.
    """
    leader = group.find_leader()
    if leader is None or not _is_running(group, leader):
        return
    minority = {
        (leader + 1 + item) % group.size for item in range((group.size - 1) // 2)
    }
    for host in minority:
        group.crash(host)
    group.propose_item(leader)
    group.run(group.rng.uniform(0.0, 0.1))
    lose_power_everywhere(group, leader)


def heal_and_isolate_leader(group: SimulatedGroup, number: int) -> None:
    """Heal the network, start every host and then isolate the leader."""
    heal_network(group, number)
    for host in range(group.size):
        start(group, host)
    isolate_leader(group, number)


def heal_all(group: SimulatedGroup, number: int) -> None:
    """Repair the network and the clocks and start or resume every host."""
    group.heal()


def restart_gracefully(group: SimulatedGroup, number: int) -> None:
    """Stop a host gracefully and start it again."""
    if _is_running(group, number):
        group.request_shutdown(number)
        group.run(1.0)
        group.crash(number)
        group.start(number)


def wipe_disk(group: SimulatedGroup, number: int) -> None:
    """Empty a host's disk unless the group still recovers from an earlier loss."""
    if group.has_full_membership():
        group.wipe_disk(number)


ACTIONS: tuple[Action, ...] = (
    propose_item,
    start_read,
    crash,
    crash_leader,
    start,
    freeze,
    thaw,
    stop_clock,
    start_clock,
    isolate,
    isolate_leader,
    cut_link,
    isolate_pair,
    heal_and_isolate_leader,
    heal_network,
    lose_power_everywhere,
    propose_with_bare_quorum,
    enable_message_loss,
    disable_message_loss,
    heal_all,
    restart_gracefully,
    wipe_disk,
)


def _is_running(group: SimulatedGroup, number: int) -> bool:
    host = group.hosts[number]
    return host.is_up and not host.is_frozen
