"""Who gets and who loses a seat in an open group."""

from collections.abc import Callable, Iterator
from typing import final

from turmericmast.ids import Incarnation, MemberId, Seconds
from turmericmast.replica.core import Core
from turmericmast.replica.membership import Membership
from turmericmast.replica.messages import Join, Seat

JOIN_PATIENCE = 5.0
"""Seconds after its last request at which a newcomer is forgotten."""
SEAT_PATIENCE = 2.0
"""Seconds of silence after which a seat goes to its domain's newcomer.

Longer than a process takes to restart, so that a restart costs no seat."""


@final
class Newcomers:
    """The members without a seat that asked for one, as the leader knows."""

    def __init__(self, core: Core) -> None:
        """Start without newcomers."""
        self._core = core
        self._seat_by_member: dict[MemberId, Seat] = {}
        self._asked_by_member: dict[MemberId, Seconds] = {}

    @property
    def members(self) -> tuple[MemberId, ...]:
        """Return the newcomers that have no seat yet."""
        membership = self._core.membership
        return tuple(
            member
            for member in self._seat_by_member
            if not membership.has_seat(member)
        )

    def ask(self, join: Join, now: Seconds) -> None:
        """Note a request."""
        if self._core.seating.is_open and join.member != self._core.seating.me:
            self._asked_by_member[join.member] = now
            self._seat_by_member[join.member] = Seat(
                join.member,
                join.incarnation,
                witness=False,
                domain=join.domain,
            )

    def expire(self, now: Seconds) -> None:
        """Forget newcomers that stopped asking."""
        expired = [
            member
            for member, asked_at in self._asked_by_member.items()
            if now - asked_at > JOIN_PATIENCE
        ]
        for member in expired:
            self._asked_by_member.pop(member)
            self._seat_by_member.pop(member)

    def seated(
        self,
        member: MemberId,
        incarnation: Incarnation,
    ) -> Membership | None:
        """Return the membership that gives a member a seat, if it may."""
        membership = self._core.membership
        if membership.has_seat(member):
            return membership.replace(member, incarnation)
        seat = self._seat_by_member.get(member)
        if seat is None or seat.incarnation != incarnation:
            return None
        return membership.add(seat)


def vacated(
    core: Core,
    heard_at: Callable[[MemberId], float],
    now: Seconds,
) -> Membership | None:
    """Return the membership without a seat whose machine was replaced.

    A seat is given up only when another member of the same failure domain
    has one and answers. ``heard_at`` returns when a member last answered.
    """
    return next(_vacancies(core, heard_at, now), None)


def _vacancies(
    core: Core,
    heard_at: Callable[[MemberId], float],
    now: Seconds,
) -> Iterator[Membership]:
    membership = core.membership
    oldest = now - SEAT_PATIENCE
    for seat in membership.seats if core.seating.is_open else ():
        is_silent = seat.member != core.seating.me and (
            heard_at(seat.member) < oldest
        )
        is_replaced = any(
            member == core.seating.me or heard_at(member) >= oldest
            for member in membership.successors(seat)
        )
        if is_silent and is_replaced:
            yield membership.remove(seat.member)
