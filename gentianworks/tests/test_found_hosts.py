"""Tests of control hosts that find one another by a few seeds."""

from __future__ import annotations

from gentianworks.core.replication.members import (
    ControlMember,
    FoundHosts,
    Membership,
    plan_change,
)
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
