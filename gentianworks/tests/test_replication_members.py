"""Tests of the members of a control group and of the related log events."""

from __future__ import annotations

import copy

from attrs import evolve

from gentianworks.core.effects.lifecycle import LogEvent
from gentianworks.core.events.replication import JournalLoaded
from gentianworks.core.handlers import reduce
from gentianworks.core.replication.formation import CAUGHT_UP_TIMEOUT, change_members
from gentianworks.core.replication.leader import (
    advance_commit_index,
    get_progress,
)
from gentianworks.core.replication.members import ControlMember, Membership
from gentianworks.core.replication.peer_messages import get_replication
from gentianworks.core.replication.warnings import (
    GROWTH_TIME,
    SILENCE_TIMEOUT,
    WARNING_INTERVAL,
    warn_of_missing_leader,
    warn_of_small_group,
)
from gentianworks.tests.control_groups import (
    form_group,
    get_host_id,
    get_leader,
    mark_all_synced,
    wait_for,
    wait_for_leader,
)
from properties.control_group import SimulatedGroup, list_items


class TestWarnings:
    def test_a_waiting_host_logs_which_hosts_block_the_formation(
        self,
    ) -> None:
        group = SimulatedGroup(3, 1)
        group.crash(2)
        group.run(SILENCE_TIMEOUT + 1.0)
        host = group.hosts[1]
        host.replication.warned_at = float("-inf")
        (log,) = warn_of_missing_leader(host.state, group.now)
        assert isinstance(log, LogEvent)
        assert log.code == "GW2006"
        assert log.details == (
            ("waits_for", f"{group.hosts[2].address} (has not answered)"),
        )

    def test_a_host_without_peer_addresses_logs_that_it_waits(self) -> None:
        group = SimulatedGroup(1, 1)
        host = group.hosts[0]
        host.state.control_addresses = ()
        group.run(SILENCE_TIMEOUT + 1.0)
        assert not host.replication.is_formed
        host.replication.warned_at = float("-inf")
        (log,) = warn_of_missing_leader(host.state, group.now)
        assert isinstance(log, LogEvent)
        assert log.code == "GW2006"
        assert "peer_addresses" in log.details[0][1]

    def test_an_isolated_host_logs_the_missing_leader_at_intervals(self) -> None:
        group = form_group()
        follower = (get_leader(group) + 1) % 3
        group.isolate(follower)
        group.run(2 * WARNING_INTERVAL)
        host = group.hosts[follower]
        assert warn_of_missing_leader(host.state, group.now) == []
        (log,) = warn_of_missing_leader(host.state, group.now + WARNING_INTERVAL)
        assert isinstance(log, LogEvent)
        assert log.code == "GW2007"

    def test_a_host_without_a_majority_logs_who_voted_for_it(self) -> None:
        group = form_group()
        survivor = group.hosts[0]
        group.crash(1)
        group.crash(2)
        group.run(WARNING_INTERVAL)
        survivor.replication.warned_at = float("-inf")
        (log,) = warn_of_missing_leader(survivor.state, group.now)
        assert isinstance(log, LogEvent)
        details = dict(log.details)
        assert details["granted"] == survivor.replication.host
        assert details["needed"] == "2"
        assert all(host.address in details["voters"] for host in group.hosts)

    def test_a_host_that_lost_its_disk_is_not_said_to_have_data(self) -> None:
        group = SimulatedGroup(3, 1, seed_host_count=3)
        wait_for(group, group.has_full_membership)
        for number in range(3):
            group.crash(number)
        group.wipe_disk(1)
        group.wipe_disk(2)
        group.start(0)
        group.run(SILENCE_TIMEOUT + 1.0)
        waiting = group.hosts[2]
        waiting.replication.warned_at = float("-inf")
        (log,) = warn_of_missing_leader(waiting.state, group.now)
        assert isinstance(log, LogEvent)
        obstacles = log.details[0][1]
        holder, empty = group.hosts[0].address, group.hosts[1].address
        assert f"{holder} (has data up to entry " in obstacles
        assert f"{empty} (has no data" in obstacles

    def test_a_host_logs_what_its_data_folder_contained(self) -> None:
        group = form_group()
        host = group.hosts[1]
        contents = copy.deepcopy(host.disk.contents)
        effects = reduce(JournalLoaded(contents, 1), host.state, group.now)
        (log,) = [item for item in effects if isinstance(item, LogEvent)]
        details = dict(log.details)
        assert log.code == "GW2015"
        assert int(details["index"]) > 0
        assert all(item.address in details["voters"] for item in group.hosts)


class TestSmallGroups:
    def list_warnings(self, tolerated_losses: int) -> list[LogEvent]:
        """Return the warnings of the leader of a group of three."""
        group = SimulatedGroup(
            3, 1, seed_host_count=3, tolerated_losses=tolerated_losses
        )
        wait_for_leader(group)
        group.run(GROWTH_TIME + 1.0)
        host = group.hosts[get_leader(group)]
        now = group.now + WARNING_INTERVAL
        effects = warn_of_small_group(host.state, now)
        return [item for item in effects if isinstance(item, LogEvent)]

    def test_a_leader_warns_of_too_few_voters(self) -> None:
        (log,) = self.list_warnings(tolerated_losses=2)
        details = dict(log.details)
        assert log.code == "GW2016"
        assert (details["voters"], details["required"]) == ("3", "5")
        assert details["borne_losses"] == "1"

    def test_a_leader_of_enough_voters_does_not_warn(self) -> None:
        assert self.list_warnings(tolerated_losses=1) == []


class TestMembers:
    def test_a_host_with_a_lost_disk_rejoins_as_a_new_member(self) -> None:
        group = form_group()
        leader = get_leader(group)
        lost = (leader + 1) % 3
        former = get_host_id(group, lost)
        group.wipe_disk(lost)
        wait_for(group, group.has_full_membership)
        assert get_host_id(group, lost) != former
        voters = group.hosts[leader].replication.membership.list_voters()
        assert former not in voters

    def test_a_second_failure_after_a_repair_loses_no_items(self) -> None:
        group = form_group()
        leader = get_leader(group)
        items = [group.propose_item(leader) for _ in range(40)]
        wait_for(group, lambda: set(items) <= set(group.acknowledged_items))
        group.wipe_disk((leader + 1) % 3)
        wait_for(group, group.has_full_membership)
        group.wipe_disk(get_leader(group))
        wait_for(group, group.has_full_membership)
        group.crash((leader + 2) % 3)
        group.recover()
        assert set(items) <= set(list_items(group.hosts[leader].state))

    def test_a_new_address_replaces_an_old_one_by_single_changes(self) -> None:
        group = SimulatedGroup(4, 2)
        group.crash(3)
        before = tuple(host.address for host in group.hosts[:3])
        for host in group.hosts[:3]:
            host.state.control_addresses = before
        wait_for_leader(group)
        leader = get_leader(group)
        removed = next(number for number in (1, 2) if number != leader)
        after = tuple(
            host.address for number, host in enumerate(group.hosts) if number != removed
        )
        group.crash(removed)
        group.start(3)
        for host in group.hosts:
            host.state.control_addresses = after
        wanted = {get_host_id(group, item) for item in {0, 1, 2, 3} - {removed}}
        replication = group.hosts[leader].replication
        wait_for(group, lambda: set(replication.membership.list_voters()) == wanted)

    def test_a_change_waits_until_the_previous_one_is_committed(self) -> None:
        group = form_group()
        leader = get_leader(group)
        state = group.hosts[leader].state
        replication = get_replication(state)
        first, second = (
            host.address for number, host in enumerate(group.hosts) if number != leader
        )
        replication.joining_hosts = {first: ControlMember("new-1", first, True)}
        assert change_members(state, group.now)
        replication.joining_hosts = {second: ControlMember("new-2", second, True)}
        assert change_members(state, group.now) == []
        mark_all_synced(replication)
        advance_commit_index(state, group.now)
        assert change_members(state, group.now)

    def test_no_change_begins_before_a_commit_in_the_leaders_term(self) -> None:
        group = form_group()
        leader = get_leader(group)
        state = group.hosts[leader].state
        replication = get_replication(state)
        replication.vote = evolve(replication.vote, term=replication.vote.term + 1)
        address = group.hosts[(leader + 1) % 3].address
        replication.joining_hosts = {address: ControlMember("new", address, True)}
        assert change_members(state, group.now) == []

    def test_a_learner_does_not_count_towards_a_quorum(self) -> None:
        members = (ControlMember("a", ""), ControlMember("b", ""))
        learner = ControlMember("c", "", is_learner=True)
        membership = Membership("group", (*members, learner))
        assert not membership.has_quorum({"a", "c"})
        assert membership.has_quorum({"a", "b"})

    def test_a_learner_becomes_a_voter_only_with_a_complete_log(self) -> None:
        group = form_group()
        leader = get_leader(group)
        state = group.hosts[leader].state
        replication = get_replication(state)
        address = group.hosts[(leader + 1) % 3].address
        replication.joining_hosts = {address: ControlMember("new", address, True)}
        assert change_members(state, group.now)
        mark_all_synced(replication)
        advance_commit_index(state, group.now)
        progress = get_progress("new", replication)
        progress.contact_at = group.now
        for missing in (replication.commit_index, 1):
            progress.match_index = replication.commit_index - missing
            assert change_members(state, group.now) == []
        progress.match_index = replication.commit_index
        progress.contact_at = group.now - CAUGHT_UP_TIMEOUT
        assert change_members(state, group.now) == []
        progress.contact_at = group.now
        assert change_members(state, group.now)
