"""Join requests of a member under dynamic membership."""

from typing import final

from turmericmast.ids import Seconds
from turmericmast.replica.messages import Join
from turmericmast.replica.state import ReplicaState

JOIN_INTERVAL = 0.5
"""Seconds between two rounds of join requests."""


@final
class JoinRequester:
    """Sends join requests of this member, and forwards those of others."""

    def __init__(self, state: ReplicaState) -> None:
        """Start so that the first tick sends join requests."""
        self._state = state
        self._next_at = float(0)

    def tick(self, now: Seconds) -> None:
        """Send join requests at each interval without contact to a leader."""
        state = self._state
        has_leader_contact = state.leader and (
            now - state.leader_heard_at < state.timing.election_min
        )
        if (
            not state.config.has_dynamic_membership
            or has_leader_contact
            or now < self._next_at
        ):
            return
        self._next_at = now + JOIN_INTERVAL
        join = Join(
            state.config.own_id,
            state.vote.incarnation,
            state.config.domain,
        )
        contacts = dict.fromkeys((*state.peers, *state.config.members))
        for member in contacts:
            if member != state.config.own_id:
                state.send(member, join)

    def forward(self, join: Join) -> None:
        """Forward a join request to the leader, if one is known."""
        if self._state.leader:
            self._state.send(self._state.leader, join)
