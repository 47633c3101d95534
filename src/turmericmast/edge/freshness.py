"""How recently an instance is known to have had all acknowledged changes."""

from typing import final

from turmericmast.clock import LONG_AGO
from turmericmast.ids import Seconds


@final
class Freshness:
    """The newest proof that an instance lacks no older change.

    A proof is the time at which an instance asked a core member, less the age
    of the member's own proof when it answered. All that was acknowledged before
    that time has been applied here. Times are on a clock that goes on while the
    process is frozen, so that a freeze ages the proof.
    """

    def __init__(self, *, is_wanted: bool = True) -> None:
        """Begin without a proof, as after a start."""
        self.is_wanted = is_wanted
        """Whether to ask core members for proofs."""
        self.proven_at: Seconds = LONG_AGO
        """Time before which all acknowledged changes are applied here."""

    def record_proof(
        self, asked_at: Seconds, member_age: Seconds, now: Seconds
    ) -> None:
        """Take the proof of an answer whose changes have been applied.

        ``asked_at`` is when the request was sent, ``member_age`` the age in
        seconds of the member's proof when it answered. Answers that cannot be
        meant prove nothing.
        """
        if asked_at <= now and member_age >= 0:
            self.proven_at = max(self.proven_at, Seconds(asked_at - member_age))

    def is_fresh(self, now: Seconds, within: Seconds) -> bool:
        """Tell whether the proof is younger than ``within`` seconds."""
        return now - self.proven_at < within
