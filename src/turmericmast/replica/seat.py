"""The right of a member to vote in its group.

Instances outside of a group know its seats, but none of its messages.
"""

import dataclasses
from typing import final

from turmericmast.ids import DomainId, Incarnation, MemberId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Seat:
    """Voting membership of one incarnation of a member.

    A member that lost its disk comes back under a new incarnation and has no
    vote until the leader has updated its seat.
    """

    member: MemberId
    incarnation: Incarnation
    witness: bool
    """Whether the member stores entries without their payloads."""
    domain: DomainId = DomainId('')
    """Failure domain, empty under static membership."""
