"""Bootstrap of a group whose members have no state yet."""

from typing import final

from turmericmast.ids import (
    DomainId,
    Incarnation,
    Index,
    MemberId,
    Seconds,
    Term,
)
from turmericmast.replica.membership import Membership
from turmericmast.replica.messages import (
    Entry,
    EntryKind,
    Probe,
)
from turmericmast.replica.seat import Seat
from turmericmast.replica.state import ReplicaState

PROBE_INTERVAL = 0.3
"""Seconds between two rounds of probes."""


@final
class Bootstrap:
    """Probes the other members until the group exists.

    A group is bootstrapped only when all members of the settings report
    within a short time that they have no state; the one with the lowest id
    then writes the first membership entry. A single member that has state
    proves that the group exists, so a member that lost its disk never
    bootstraps a second group: it waits for the leader instead.
    """

    def __init__(self, state: ReplicaState) -> None:
        """Start without reports; the first tick sends probes."""
        self._state = state
        self._empty_seat_by_member: dict[MemberId, tuple[Seat, float]] = {}
        """Seat of each member without state, and the time of its report."""
        self._is_incarnation_stored = False
        self._next_probe = float(0)

    def tick(self, now: Seconds) -> None:
        """Probe at each interval while this member has no state.

        A member that may not bootstrap the group does so as well if it has
        reported its incarnation before: the group may have been formed then.
        """
        state = self._state
        may_probe = state.log.is_empty and (
            state.config.may_bootstrap or state.has_reported
        )
        if not may_probe or now < self._next_probe:
            return
        self._next_probe = now + PROBE_INTERVAL
        for member in self._state.peers:
            self._state.send(member, self._build_probe(question=True))
        # A group of one gets no answer that would trigger the bootstrap.
        self._bootstrap_if_complete(now)

    def on_probe(self, probe: Probe, now: Seconds) -> None:
        """Answer a question, and record what the sender reports of itself."""
        state = self._state
        if probe.question:
            state.send(probe.member, self._build_probe(question=False))
        if not state.log.is_empty:
            return
        if probe.formed:
            self._empty_seat_by_member.clear()
            self._adopt_bootstrap_entry(probe)
            return
        seat = self._build_seat(probe.member, probe.incarnation, probe.domain)
        self._empty_seat_by_member[probe.member] = (seat, now)
        self._bootstrap_if_complete(now)

    def _build_probe(self, *, question: bool) -> Probe:
        state = self._state
        if state.log.is_empty and not self._is_incarnation_stored:
            # The first entry of the group may name it, so it must be the same
            # after a restart. Messages are sent after the next sync.
            state.store.save_vote(state.vote)
            self._is_incarnation_stored = True
        bootstrap_entries = (
            state.log.between(1, 1) if state.log.snapshot_index == 0 else []
        )
        return Probe(
            member=state.config.own_id,
            incarnation=state.vote.incarnation,
            formed=not state.log.is_empty,
            question=question,
            seats=bootstrap_entries[0].seats if bootstrap_entries else (),
            domain=state.config.domain,
        )

    def _build_seat(
        self,
        member: MemberId,
        incarnation: Incarnation,
        domain: DomainId,
    ) -> Seat:
        is_witness = member in self._state.config.witnesses
        return Seat(member, incarnation, is_witness, domain)

    def _adopt_bootstrap_entry(self, probe: Probe) -> None:
        own_incarnation = (
            self._state.config.own_id,
            self._state.vote.incarnation,
        )
        if Membership(probe.seats).has_voter(*own_incarnation):
            self._append_bootstrap_entry(probe.seats)

    def _bootstrap_if_complete(self, now: Seconds) -> None:
        state = self._state
        config = state.config
        reported_since = now - 2 * PROBE_INTERVAL
        recent_seat_by_member = {
            member: seat
            for member, (
                seat,
                reported_at,
            ) in self._empty_seat_by_member.items()
            if reported_at >= reported_since and member in config.members
        }
        recent_seat_by_member[config.own_id] = self._build_seat(
            config.own_id,
            state.vote.incarnation,
            config.domain,
        )
        has_lowest_id = config.own_id == min(
            config.members, default=MemberId('')
        )
        if config.may_bootstrap and has_lowest_id:
            if set(recent_seat_by_member) == set(config.members):
                self._append_bootstrap_entry(
                    tuple(
                        recent_seat_by_member[member]
                        for member in sorted(recent_seat_by_member)
                    )
                )

    def _append_bootstrap_entry(self, seats: tuple[Seat, ...]) -> None:
        self._state.append(
            [Entry(Index(1), Term(0), EntryKind.membership, seats=seats)],
        )
