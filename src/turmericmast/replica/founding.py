"""How a group is founded, and how a member finds out that it was."""

from typing import final

from turmericmast.ids import (
    DomainId,
    Incarnation,
    Index,
    MemberId,
    Seconds,
    Term,
)
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
        self._virgin_by_member: dict[MemberId, tuple[Seat, float]] = {}
        self._next_probe = float(0)

    def tick(self, now: Seconds) -> None:
        """Ask again from time to time while this member has no state."""
        may_found = self._core.seating.may_found and self._core.log.is_empty
        if not may_found or now < self._next_probe:
            return
        self._next_probe = now + PROBE_INTERVAL
        for member in self._core.others:
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
        seat = self._seat(probe.member, probe.incarnation, probe.domain)
        self._virgin_by_member[probe.member] = (seat, now)
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
            domain=core.seating.domain,
        )

    def _seat(
        self,
        member: MemberId,
        incarnation: Incarnation,
        domain: DomainId,
    ) -> Seat:
        is_witness = member in self._core.seating.witnesses
        return Seat(member, incarnation, is_witness, domain)

    def _adopt(self, probe: Probe) -> None:
        me = (self._core.seating.me, self._core.vote.incarnation)
        if Membership(probe.seats).lists(*me):
            self._write(probe.seats)

    def _found(self, now: Seconds) -> None:
        core = self._core
        seating = core.seating
        oldest = now - 2 * PROBE_INTERVAL
        fresh = {
            member: seat
            for member, (seat, at) in self._virgin_by_member.items()
            if at >= oldest and member in seating.members
        }
        fresh[seating.me] = self._seat(
            seating.me,
            core.vote.incarnation,
            seating.domain,
        )
        is_first = seating.me == min(seating.members, default=MemberId(''))
        if seating.may_found and is_first:
            if set(fresh) == set(seating.members):
                self._write(tuple(fresh[member] for member in sorted(fresh)))

    def _write(self, seats: tuple[Seat, ...]) -> None:
        self._core.append(
            [Entry(Index(1), Term(0), EntryKind.membership, seats=seats)],
        )
