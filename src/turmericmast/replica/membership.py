"""Membership of a replication group and the rules for its quorums."""

import dataclasses
from collections.abc import Iterable
from typing import final

from turmericmast.ids import Incarnation, MemberId
from turmericmast.replica.messages import Seat


@final
@dataclasses.dataclass(frozen=True)
class Membership:
    """The seats of a group; an empty membership has no quorum."""

    seats: tuple[Seat, ...] = ()

    def has_voter(self, member: MemberId, incarnation: Incarnation) -> bool:
        """Tell whether this incarnation of the member may vote."""
        return any(
            seat.member == member and seat.incarnation == incarnation
            for seat in self.seats
        )

    def is_quorum(self, members: Iterable[MemberId]) -> bool:
        """Tell whether the members are more than half of the seats."""
        present = {seat.member for seat in self.seats} & set(members)
        return 2 * len(present) > len(self.seats)

    def quorum_value(self, value_by_member: dict[MemberId, float]) -> float:
        """Return the highest value that a quorum has reached."""
        reached = sorted(
            (value_by_member.get(seat.member, 0) for seat in self.seats),
            reverse=True,
        )
        return reached[len(reached) // 2]

    def full_members(self) -> tuple[MemberId, ...]:
        """Return the members that keep payloads."""
        return tuple(seat.member for seat in self.seats if not seat.witness)

    def is_witness(self, member: MemberId) -> bool:
        """Tell whether the member keeps positions only."""
        return any(seat.witness for seat in self.seats if seat.member == member)

    def has_seat(self, member: MemberId) -> bool:
        """Tell whether any incarnation of the member has a seat."""
        return any(seat.member == member for seat in self.seats)

    def with_incarnation(
        self,
        member: MemberId,
        incarnation: Incarnation,
    ) -> 'Membership':
        """Return the membership with a new incarnation in one seat."""
        return Membership(
            tuple(
                dataclasses.replace(seat, incarnation=incarnation)
                if seat.member == member
                else seat
                for seat in self.seats
            ),
        )

    def with_seat(self, seat: Seat) -> 'Membership':
        """Return the membership with one more seat."""
        return Membership((*self.seats, seat))

    def without_member(self, member: MemberId) -> 'Membership':
        """Return the membership without the seat of a member."""
        kept = (seat for seat in self.seats if seat.member != member)
        return Membership(tuple(kept))

    def domain_peers(self, seat: Seat) -> tuple[MemberId, ...]:
        """Return the other members in the failure domain of a seat."""
        return tuple(
            other.member
            for other in self.seats
            if other.domain == seat.domain and other.member != seat.member
        )
