"""Membership of a replicated group and its quorum rules."""

import dataclasses
from collections.abc import Iterable
from typing import final

from turmericmast.ids import Incarnation, MemberId
from turmericmast.replica.seat import Seat


@final
@dataclasses.dataclass(frozen=True)
class Membership:
    """The voting members of a group; without any, there is no quorum."""

    seats: tuple[Seat, ...] = ()

    def has_voter(self, member: MemberId, incarnation: Incarnation) -> bool:
        """Tell whether this incarnation of the member may vote."""
        return any(
            seat.member == member and seat.incarnation == incarnation
            for seat in self.seats
        )

    def is_quorum(self, members: Iterable[MemberId]) -> bool:
        """Tell whether the members hold more than half of the seats."""
        present = {seat.member for seat in self.seats} & set(members)
        return 2 * len(present) > len(self.seats)

    def quorum_value(self, value_by_member: dict[MemberId, float]) -> float:
        """Return the highest value that a quorum has reached.

        A member without a value counts as 0.
        """
        reached = sorted(
            (value_by_member.get(seat.member, 0) for seat in self.seats),
            reverse=True,
        )
        return reached[len(reached) // 2]

    def full_members(self) -> tuple[MemberId, ...]:
        """Return the members that store payloads, all but the witnesses."""
        return tuple(seat.member for seat in self.seats if not seat.witness)

    def is_witness(self, member: MemberId) -> bool:
        """Tell whether the member stores entries without their payloads."""
        return any(seat.witness for seat in self.seats if seat.member == member)

    def has_seat(self, member: MemberId) -> bool:
        """Tell whether any incarnation of the member has a seat."""
        return any(seat.member == member for seat in self.seats)

    def with_incarnation(
        self,
        member: MemberId,
        incarnation: Incarnation,
    ) -> 'Membership':
        """Return the membership with another incarnation of one member."""
        return Membership(
            tuple(
                dataclasses.replace(seat, incarnation=incarnation)
                if seat.member == member
                else seat
                for seat in self.seats
            ),
        )

    def with_seat(self, seat: Seat) -> 'Membership':
        """Return the membership with one more voting member."""
        return Membership((*self.seats, seat))

    def without_member(self, member: MemberId) -> 'Membership':
        """Return the membership without one member."""
        remaining_seats = (seat for seat in self.seats if seat.member != member)
        return Membership(tuple(remaining_seats))

    def domain_peers(self, seat: Seat) -> tuple[MemberId, ...]:
        """Return the other members in the failure domain of a seat."""
        return tuple(
            other.member
            for other in self.seats
            if other.domain == seat.domain and other.member != seat.member
        )
