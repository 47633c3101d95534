"""Membership changes under dynamic membership."""

from collections.abc import Callable, Iterator
from typing import final

from turmericmast.ids import Incarnation, MemberId, Seconds
from turmericmast.replica.membership import Membership
from turmericmast.replica.messages import (
    Join,
)
from turmericmast.replica.seat import Seat
from turmericmast.replica.state import ReplicaState

JOIN_EXPIRY = 5.0
"""Seconds for which a join request stays pending unless it is sent again."""
REPLACEMENT_TIMEOUT = 2.0
"""Seconds of silence after which a replaced member loses its seat.

Longer than a restart of the process, which must not cost the seat."""


@final
class PendingJoins:
    """Join requests that the leader has received and not yet granted."""

    def __init__(self, state: ReplicaState) -> None:
        """Start without join requests."""
        self._state = state
        self._seat_by_member: dict[MemberId, Seat] = {}
        self._asked_at_by_member: dict[MemberId, Seconds] = {}

    @property
    def members(self) -> tuple[MemberId, ...]:
        """Return the members that asked to join and have no seat yet."""
        membership = self._state.membership
        return tuple(
            member
            for member in self._seat_by_member
            if not membership.has_seat(member)
        )

    def record(self, join: Join, now: Seconds) -> None:
        """Record a join request, under dynamic membership only."""
        if (
            self._state.config.has_dynamic_membership
            and join.member != self._state.config.own_id
        ):
            self._asked_at_by_member[join.member] = now
            self._seat_by_member[join.member] = Seat(
                join.member,
                join.incarnation,
                witness=False,
                domain=join.domain,
            )

    def expire(self, now: Seconds) -> None:
        """Drop the requests of members that stopped asking."""
        expired = [
            member
            for member, asked_at in self._asked_at_by_member.items()
            if now - asked_at > JOIN_EXPIRY
        ]
        for member in expired:
            self._asked_at_by_member.pop(member)
            self._seat_by_member.pop(member)

    def with_member(
        self,
        member: MemberId,
        incarnation: Incarnation,
    ) -> Membership | None:
        """Return the membership with a seat for this incarnation.

        ``None`` if the member has no seat and this incarnation did not ask
        to join.
        """
        membership = self._state.membership
        if membership.has_seat(member):
            return membership.with_incarnation(member, incarnation)
        seat = self._seat_by_member.get(member)
        if seat is None or seat.incarnation != incarnation:
            return None
        return membership.with_seat(seat)


def without_replaced_member(
    state: ReplicaState,
    last_contact_at: Callable[[MemberId], float],
    now: Seconds,
) -> Membership | None:
    """Return the membership without a member whose host was replaced.

    A silent member is removed only if another member in its failure domain
    has a seat and answers; ``None`` if there is none. ``last_contact_at``
    returns when a member last answered.
    """
    return next(_without_replaced_members(state, last_contact_at, now), None)


def _without_replaced_members(
    state: ReplicaState,
    last_contact_at: Callable[[MemberId], float],
    now: Seconds,
) -> Iterator[Membership]:
    membership = state.membership
    contact_since = now - REPLACEMENT_TIMEOUT
    for seat in membership.seats if state.config.has_dynamic_membership else ():
        is_silent = seat.member != state.config.own_id and (
            last_contact_at(seat.member) < contact_since
        )
        is_replaced = any(
            member == state.config.own_id
            or last_contact_at(member) >= contact_since
            for member in membership.domain_peers(seat)
        )
        if is_silent and is_replaced:
            yield membership.without_member(seat.member)
