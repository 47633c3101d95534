"""How a group is founded, and how a member finds out that it was."""

from typing import final

from turmericmast.ids import Incarnation, Index, MemberId, Seconds, Term
from turmericmast.replica.core import Core
from turmericmast.replica.membership import Membership
from turmericmast.replica.messages import Entry, EntryKind, Probe, Seat

PROBE_INTERVAL = 0.3
"""Seconds between two rounds of questions."""


@final
class Founding:
    """Asks the other members until a group exists.

    A group is founded only when every member answers that it has no state;
    the first member of the settings writes the founding record. A single
    member that has state proves that a group exists, so a member that lost
    its disk can never found a second one: it waits for the leader.
    """

    def __init__(self, core: Core) -> None:
        """Start without any answers."""
        self._core = core
        self._virgin_by_member: dict[MemberId, tuple[Incarnation, float]] = {}
        self._next_probe = float(0)

    def tick(self, now: Seconds) -> None:
        """Ask again from time to time while this member has no state."""
        if not self._core.log.is_empty or now < self._next_probe:
            return
        self._next_probe = now + PROBE_INTERVAL
        for member in self._core.seating.others:
            self._core.send(member, self._describe(question=True))
        # A group of one has nobody to wait for.
        self._found(now)

    def on_probe(self, probe: Probe, now: Seconds) -> None:
        """Answer a question, and learn from whatever was told."""
        core = self._core
        if probe.question:
            core.send(probe.member, self._describe(question=False))
        if not core.log.is_empty:
            return
        if probe.formed:
            self._virgin_by_member.clear()
            self._adopt(probe)
            return
        self._virgin_by_member[probe.member] = (probe.incarnation, now)
        self._found(now)

    def _describe(self, *, question: bool) -> Probe:
        core = self._core
        founding = core.log.between(1, 1) if core.log.base == 0 else []
        return Probe(
            member=core.seating.me,
            incarnation=core.vote.incarnation,
            formed=not core.log.is_empty,
            question=question,
            seats=founding[0].seats if founding else (),
        )

    def _adopt(self, probe: Probe) -> None:
        me = (self._core.seating.me, self._core.vote.incarnation)
        if Membership(probe.seats).lists(*me):
            self._write(probe.seats)

    def _found(self, now: Seconds) -> None:
        core = self._core
        oldest = now - 2 * PROBE_INTERVAL
        fresh = {
            member: incarnation
            for member, (incarnation, at) in self._virgin_by_member.items()
            if at >= oldest
        }
        fresh[core.seating.me] = core.vote.incarnation
        is_first = core.seating.me == min(core.seating.members)
        if is_first and set(fresh) == set(core.seating.members):
            self._write(
                tuple(
                    Seat(
                        member, fresh[member], member in core.seating.witnesses
                    )
                    for member in sorted(fresh)
                ),
            )

    def _write(self, seats: tuple[Seat, ...]) -> None:
        self._core.append(
            [Entry(Index(1), Term(0), EntryKind.membership, seats=seats)],
        )
