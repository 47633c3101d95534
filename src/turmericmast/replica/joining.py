"""A member's way into an open group: ask whoever is known for a seat."""

from typing import final

from turmericmast.ids import Seconds
from turmericmast.replica.core import Core
from turmericmast.replica.messages import Join

JOIN_INTERVAL = 0.5
"""Seconds between two requests for a seat."""


@final
class Joining:
    """Asks for a seat while no leader is heard, and hands on requests."""

    def __init__(self, core: Core) -> None:
        """Ask at the first tick."""
        self._core = core
        self._next_at = float(0)

    def tick(self, now: Seconds) -> None:
        """Ask again from time to time."""
        core = self._core
        is_heard = core.leader and (
            now - core.heard_at < core.timing.election_min
        )
        if not core.seating.is_open or is_heard or now < self._next_at:
            return
        self._next_at = now + JOIN_INTERVAL
        join = Join(
            core.seating.me,
            core.vote.incarnation,
            core.seating.domain,
        )
        contacts = dict.fromkeys((*core.others, *core.seating.members))
        for member in contacts:
            if member != core.seating.me:
                core.send(member, join)

    def hand_on(self, join: Join) -> None:
        """Give a request to the leader, if one is known."""
        if self._core.leader:
            self._core.send(self._core.leader, join)
