"""Tests of control hosts that find one another by a few seeds."""

from __future__ import annotations

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage
from gentianworks.core.events.membership import ControlHostsTold, HeartbeatAnswer
from gentianworks.core.handlers import reduce
from gentianworks.core.membership.heartbeats import send_heartbeat
from gentianworks.core.replication.members import (
    ControlMember,
    FoundHosts,
    Membership,
    plan_change,
)
from gentianworks.core.state import State
from gentianworks.core.types import Node, Role
from gentianworks.tests.control_groups import get_leader, wait_for, wait_for_leader
from properties.control_group import Group


def form(size: int, seeds: int = 3) -> Group:
    """Return a group whose hosts have all found each other."""
    group = Group(size, 1, seeds=seeds)
    wait_for(group, group.is_whole)
    return group


def list_voters(group: Group) -> set[str]:
    """Return the voters as the leader knows them."""
    leader = group.hosts[get_leader(group)]
    return set(leader.replication.membership.list_voters())


class TestFinding:
    def test_a_host_that_is_no_seed_becomes_a_voter(self) -> None:
        group = form(5)
        assert len(list_voters(group)) == 5

    def test_a_host_with_a_new_disk_takes_the_place_of_its_former_self(self) -> None:
        group = form(3)
        former = group.hosts[2].replication.host
        group.wipe(2)
        wait_for(group, group.is_whole)
        assert former not in list_voters(group)

    def test_all_seeds_with_lost_disks_form_no_second_group(self) -> None:
        group = form(4)
        for number in range(3):
            group.wipe(number)
        group.run(10.0)
        groups = {
            host.replication.membership.group
            for host in group.hosts
            if host.replication.is_formed
        }
        assert len(groups) == 1

    def test_a_group_keeps_its_items_through_a_replaced_host(self) -> None:
        group = form(3)
        item = group.add(get_leader(group))
        group.run(1.0)
        assert item in group.acknowledged
        group.wipe(0)
        wait_for(group, group.is_whole)
        assert item in group.items


def list_sends(effects: list[Effect]) -> list[SendMessage]:
    """Return the messages that effects send."""
    return [item for item in effects if isinstance(item, SendMessage)]


class TestRouters:
    def build_router(self, group: Group) -> State:
        """Return a router whose seeds do not name the leader."""
        seeds = [
            host.address
            for number, host in enumerate(group.hosts)
            if number != get_leader(group)
        ]
        node = Node("router-1", Role.ROUTER, "r", "a", "tcp://10.9.9.9:1", "")
        return State(
            node=node, control_addresses=tuple(seeds), discovers_control_hosts=True
        )

    def test_a_router_finds_a_leader_that_is_no_seed(self) -> None:
        group = form(4)
        group.run(1.0)
        router, leader = self.build_router(group), group.hosts[get_leader(group)]
        asked = list_sends(send_heartbeat(router, group.now))
        assert leader.address not in [item.address for item in asked]
        follower = next(
            host for host in group.hosts if host.address == asked[0].address
        )
        told = list_sends(reduce(asked[0].message, follower.state, group.now))
        again = list_sends(reduce(told[0].message, router, group.now))
        assert leader.address in [item.address for item in again]
        (answer,) = [
            item.message
            for item in list_sends(reduce(again[0].message, leader.state, group.now))
            if isinstance(item.message, HeartbeatAnswer)
        ]
        reduce(answer, router, group.now)
        assert set(router.control_addresses) == {host.address for host in group.hosts}

    def test_what_a_router_is_told_twice_leads_to_no_second_question(self) -> None:
        group = form(4)
        router = self.build_router(group)
        told = ControlHostsTold("control-1", router.control_addresses)
        assert reduce(told, router, group.now) == []


class TestSilentVoters:
    def test_a_silent_voter_beyond_the_least_number_is_removed_and_comes_back(
        self,
    ) -> None:
        group = form(4)
        gone = group.hosts[3].replication.host
        group.crash(3)
        wait_for_leader(group)
        wait_for(group, lambda: gone not in list_voters(group))
        group.start(3)
        wait_for(group, group.is_whole)

    def test_of_the_least_number_none_is_removed_for_silence(self) -> None:
        group = form(3)
        group.crash(2)
        wait_for_leader(group)
        group.run(20.0)
        assert len(list_voters(group)) == 3

    def test_a_newcomer_takes_the_place_of_a_silent_voter(self) -> None:
        members = tuple(ControlMember(name, f"tcp://{name}") for name in "abc")
        learner = ControlMember("d", "tcp://d", is_learner=True)
        present = Membership("g", (*members, learner))
        policy = FoundHosts(frozenset({"c"}), 3)
        removed = plan_change(present, "a", policy, {}, {"d"})
        assert removed is not None
        assert removed.list_voters() == ("a", "b")
        admitted = plan_change(removed, "a", policy, {}, {"d"})
        assert admitted is not None
        assert admitted.list_voters() == ("a", "b", "d")
