"""A group of replicas in one process, over fakes for clock, net and disk."""

import dataclasses
import random
from collections.abc import Sequence
from typing import final

from turmericmast.ids import Incarnation, Index, MemberId, Seconds, Term
from turmericmast.replica.core import Role, Seating
from turmericmast.replica.messages import (
    Entry,
    EntryKind,
    Message,
    Snapshot,
)
from turmericmast.replica.replica import Replica
from turmericmast.replica.store import Recovered, Store, Vote

STEP = 0.05


@final
class FakeStore(Store):
    """A disk that loses what was not synced, or everything."""

    def __init__(self) -> None:
        """Start empty."""
        self._durable = Recovered(Vote(), None, ())
        self._written = self._durable

    def load(self) -> Recovered:
        """Return what survived."""
        return self._durable

    def save_vote(self, vote: Vote) -> None:
        """Replace the vote; as in the file store, at once."""
        self._written = dataclasses.replace(self._written, vote=vote)
        self._durable = dataclasses.replace(self._durable, vote=vote)

    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries, unsynced."""
        self._written = dataclasses.replace(
            self._written,
            entries=(*self._written.entries, *entries),
        )

    def save_commit(self, index: Index) -> None:
        """Note a committed index, unsynced."""
        self._written = dataclasses.replace(self._written, commit=index)

    def truncate(self, index: Index) -> None:
        """Drop a suffix, unsynced."""
        kept = tuple(one for one in self._written.entries if one.index < index)
        self._written = dataclasses.replace(self._written, entries=kept)

    def save_snapshot(
        self,
        snapshot: Snapshot,
        tail: Sequence[Entry],
    ) -> None:
        """Replace the snapshot; as in the file store, at once."""
        self._written = Recovered(
            self._written.vote,
            snapshot,
            tuple(tail),
            self._written.commit,
        )
        self._durable = self._written

    def sync(self) -> None:
        """Make everything durable."""
        self._durable = self._written

    def crash(self, *, torn: int) -> None:
        """Lose what was not synced, but for ``torn`` entries of it."""
        written = self._written.entries
        durable = self._durable.entries
        is_longer = written[: len(durable)] == durable
        if is_longer:
            kept = written[: len(durable) + torn]
            self._durable = dataclasses.replace(self._durable, entries=kept)
        self._written = self._durable

    def lose(self) -> None:
        """Lose everything."""
        self._durable = Recovered(Vote(), None, ())
        self._written = self._durable


@final
class Member:
    """One replica with its disk and what it applied."""

    def __init__(self, seating: Seating) -> None:
        """Start as a process that is not running."""
        self.seating = seating
        self.store = FakeStore()
        self.starts = 0
        self.replica: Replica | None = None
        self.applied: dict[int, Entry] = {}
        self.snapshots_taken = 0

    def start(self, now: Seconds) -> None:
        """Start the process."""
        self.starts += 1
        name = Incarnation(f'{self.seating.me}.{self.starts}')
        self.replica = Replica(self.seating, self.store, name, now)
        self.applied = {}

    @property
    def last_applied(self) -> int:
        """Return the highest index applied."""
        return max(self.applied, default=0)


@final
class World:
    """Members, a network and a clock, with a record of what must hold."""

    def __init__(
        self,
        full: int,
        witnesses: int,
        seatings: Sequence[Seating] = (),
    ) -> None:
        """Make and start the members, by ``seatings`` in an open group."""
        names = [MemberId(f'm{one}') for one in range(full + witnesses)]
        self.names = tuple(names)
        self.now = Seconds(100)
        self.in_flight: list[tuple[MemberId, MemberId, Message]] = []
        self.crashing = MemberId('')
        """A member that will crash in its next flush, before its sync."""
        self.cuts: set[tuple[MemberId, MemberId]] = set()
        self.committed: dict[int, tuple[Term, bytes]] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.proposed: dict[int, tuple[Term, bytes]] = {}
        self.leader_by_term: dict[Term, MemberId] = {}
        listed = seatings or [
            Seating(name, self.names, frozenset(names[full:])) for name in names
        ]
        self.member_by_name = {one.me: Member(one) for one in listed}
        for member in self.member_by_name.values():
            member.start(self.now)

    @property
    def running(self) -> list[Member]:
        """Return the members whose process runs."""
        return [one for one in self.member_by_name.values() if one.replica]

    def leader(self) -> Member | None:
        """Return a member that leads and has settled, if there is one."""
        return next(
            (
                member
                for member in self.running
                if member.replica and member.replica.is_ready
            ),
            None,
        )

    def tick(self, seconds: float = STEP) -> None:
        """Let time pass for every member."""
        self.now = Seconds(self.now + seconds)
        for member in self.running:
            if member.replica:
                member.replica.tick(self.now)
                self.flush(member)

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Deliver one message; it stays in the net when ``keep``.

        Its effects wait for the next flush, as they do in a process that
        works off several messages before one sync.
        """
        sender, receiver, message = self.in_flight[position]
        if not keep:
            self.in_flight.pop(position)
        member = self.member_by_name[receiver]
        if member.replica and (sender, receiver) not in self.cuts:
            member.replica.receive(message, self.now)

    def flush_all(self) -> None:
        """Let every member sync, and do what it decided."""
        for member in self.running:
            self.flush(member)

    def storm(self, seconds: float, source: random.Random) -> None:
        """Lose, repeat and reorder messages, and cut members off, at random."""
        until = self.now + seconds
        loss = source.choice([0, 0.1, 0.4])
        while self.now < until:
            self.now = Seconds(self.now + source.choice([0.01, STEP, 0.2]))
            for member in self.running:
                if member.replica and source.random() < 0.8:
                    member.replica.tick(self.now)
            self._storm_once(loss, source)
            self.check_leases()

    def _storm_once(self, loss: float, source: random.Random) -> None:
        source.shuffle(self.in_flight)
        for _ in range(len(self.in_flight)):
            draw = source.random()
            if draw < loss:
                self.in_flight.pop(0)
            else:
                self.deliver(0, keep=draw > 0.97)
            if source.random() < 0.1:
                self.flush(source.choice(list(self.member_by_name.values())))
        if source.random() < 0.5:
            self.propose(b'storm %d' % len(self.proposed), flush=False)
        for member in self.running:
            if source.random() < 0.7:
                self.flush(member)

    def run(self, seconds: float) -> None:
        """Deliver everything for a while, in order."""
        until = self.now + seconds
        while self.now < until:
            self.tick()
            self.deliver_all()

    def deliver_all(self) -> None:
        """Deliver what is in the net, and once more what that led to."""
        for _ in range(4):
            for _message in range(len(self.in_flight)):
                self.deliver(0)
            self.flush_all()

    def propose(self, payload: bytes, *, flush: bool = True) -> bool:
        """Propose at the present leader."""
        member = self.leader()
        if member is None or member.replica is None:
            return False
        proposed = member.replica.propose(payload, self.now).value_or(None)
        if proposed is None:
            return False
        self.proposed[proposed] = (member.replica.core.vote.term, payload)
        if flush:
            self.flush(member)
        return True

    def hand_over(self) -> None:
        """Let the present leader give up its lead."""
        member = self.leader()
        if member and member.replica:
            member.replica.hand_over()
            self.flush(member)

    def crash(self, name: MemberId, *, torn: int = 0) -> None:
        """Stop a process without warning."""
        member = self.member_by_name[name]
        member.replica = None
        member.store.crash(torn=torn)

    def lose_disk(self, name: MemberId) -> None:
        """Stop a process and empty its disk."""
        self.crash(name)
        self.member_by_name[name].store.lose()

    def restart(self, name: MemberId) -> None:
        """Start a process again."""
        member = self.member_by_name[name]
        if member.replica is None:
            member.start(self.now)
            self.flush(member)

    def add(self, seating: Seating) -> None:
        """Start a member on a new machine."""
        self.member_by_name[seating.me] = Member(seating)
        self.restart(seating.me)

    def compact(self, name: MemberId) -> None:
        """Take a snapshot of everything a member applied."""
        member = self.member_by_name[name]
        if member.replica and member.last_applied:
            index = Index(member.last_applied)
            member.replica.compact(index, b'state %d' % index)
            member.snapshots_taken += 1

    def is_whole(self) -> bool:
        """Tell whether a leader knows every member as it is now."""
        member = self.leader()
        if member is None or member.replica is None:
            return False
        core = member.replica.core
        settled = core.log.seats(core.commit)
        listed = {seat.member: seat.incarnation for seat in settled}
        return all(
            one.replica is not None
            and listed.get(name) == one.replica.core.vote.incarnation
            and one.last_applied >= member.last_applied - 1
            for name, one in self.member_by_name.items()
        )

    def flush(self, member: Member) -> None:
        """Do what a process does after each event."""
        replica = member.replica
        if replica is None:
            return
        self.in_flight.extend(
            (member.seating.me, receiver, message)
            for receiver, message in replica.take_appends()
        )
        if self.crashing == member.seating.me:
            # Others may have entries now that this disk never had.
            self.crashing = MemberId('')
            self.crash(member.seating.me)
            return
        member.store.sync()
        replica.synced(self.now)
        effects = replica.take_effects()
        self.in_flight.extend(
            (member.seating.me, receiver, message)
            for receiver, message in effects.messages
        )
        if effects.restored:
            member.applied = {effects.restored.index: _mark(effects.restored)}
        for entry in effects.committed:
            self._apply(member, entry)
        if replica.role is Role.leader:
            self._note_leader(member, replica)

    def _apply(self, member: Member, entry: Entry) -> None:
        member.applied[entry.index] = entry
        payload = entry.payload
        if member.seating.is_witness:
            assert not payload, 'a witness holds a payload'
            payload = self.committed.get(entry.index, (0, b''))[1]
        found = self.committed.setdefault(entry.index, (entry.term, payload))
        assert found[0] == entry.term, 'two entries at one index'
        if entry.kind is EntryKind.command and not member.seating.is_witness:
            known = found[1] or payload
            assert known == payload, 'two payloads at one index'
            self.committed[entry.index] = (entry.term, payload)
            if self.proposed.get(entry.index) == (entry.term, payload):
                self.acknowledged[entry.index] = payload

    def _note_leader(self, member: Member, replica: Replica) -> None:
        term = replica.core.vote.term
        name = member.seating.me
        known = self.leader_by_term.setdefault(term, name)
        assert known == name, f'two leaders in term {term}'
        if not replica.is_ready:
            return
        last = max(self.acknowledged, default=0)
        assert replica.core.commit >= last, 'a leader lacks an entry'

    def check_leases(self) -> None:
        """Check that no two members can hold a lease at the same time."""
        holders = [
            member.seating.me
            for member in self.running
            if member.replica
            and member.replica.is_ready
            and self.now < member.replica.lease_end()
        ]
        assert len(holders) < 2, f'{holders} hold a lease'


def _mark(snapshot: Snapshot) -> Entry:
    return Entry(snapshot.index, snapshot.term, EntryKind.noop)
