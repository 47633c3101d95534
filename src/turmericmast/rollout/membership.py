"""Which members of the group can apply the entries of rollouts."""

from collections.abc import Mapping
from typing import Final, final

from turmericmast.clock import LONG_AGO
from turmericmast.ids import MemberId, Seconds

CONTACT_WINDOW: Final = Seconds(2)
"""Seconds for which a member counts as in contact, and as of a known build.

Members tell the leader what they are every 0.25 s."""


@final
class KnowingMembers:
    """Members that have told the leader that they know rollouts."""

    def __init__(self) -> None:
        """Begin without any."""
        self._told_at_by_member: dict[MemberId, Seconds] = {}

    def record(self, member: MemberId, now: Seconds) -> None:
        """Record that a member knows rollouts; older builds tell nothing."""
        if member:
            self._told_at_by_member[member] = now

    def older(
        self, contact_at_by_member: Mapping[MemberId, float], now: Seconds
    ) -> tuple[MemberId, ...]:
        """Return the members in contact that may not know rollouts.

        ``contact_at_by_member`` has the last contact to each other member.
        """
        since = now - CONTACT_WINDOW
        return tuple(
            member
            for member, contact_at in sorted(contact_at_by_member.items())
            if contact_at > since
            if self._told_at_by_member.get(member, LONG_AGO) <= since
        )
