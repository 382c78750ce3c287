"""Property tests of the replicated log under faults of hosts, disks and network."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from properties.control_group import SimulatedGroup
from properties.faults import ACTIONS, Action


class ControlGroupMachine(RuleBasedStateMachine):
    """Random combinations of faults; the group checks its invariants at each step."""

    @initialize(size=st.integers(3, 5), seed=st.integers(0, 2**32))
    def form_group(self, size: int, seed: int) -> None:
        """Start a group with empty disks."""
        self.group = SimulatedGroup(size, seed)
        self.group.run(3.0)

    @rule(action=st.sampled_from(ACTIONS), number=st.integers(0, 4))
    def act(self, action: Action, number: int) -> None:
        """Apply an action to a host."""
        action(self.group, number % self.group.size)

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.5, 3.0)))
    def wait(self, seconds: float) -> None:
        """Advance virtual time."""
        self.group.run(seconds)

    def teardown(self) -> None:
        """Heal every fault; no acknowledged item may be missing."""
        if hasattr(self, "group"):
            self.group.recover()


TestControlGroup = ControlGroupMachine.TestCase
TestControlGroup.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
