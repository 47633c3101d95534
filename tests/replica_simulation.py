"""A group of replicas in one process, over fakes for clock, net and disk."""

import dataclasses
import random
from collections.abc import Sequence
from typing import final

from turmericmast.ids import Incarnation, Index, MemberId, Seconds, Term
from turmericmast.replica.messages import (
    Entry,
    EntryKind,
    Message,
    Snapshot,
)
from turmericmast.replica.replica import Replica
from turmericmast.replica.state import ReplicaConfig, Role
from turmericmast.replica.store import RecoveredState, Store, Vote

TICK_SECONDS = 0.05


@final
class FakeStore(Store):
    """A disk that loses what was not synced, or everything."""

    def __init__(self) -> None:
        """Start empty."""
        self._durable = RecoveredState(Vote(), None, ())
        self._written = self._durable

    def load(self) -> RecoveredState:
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
        self._written = RecoveredState(
            self._written.vote,
            snapshot,
            tuple(tail),
            self._written.commit,
        )
        self._durable = self._written

    def sync(self) -> None:
        """Make everything durable."""
        self._durable = self._written

    def crash(self, *, unsynced_kept: int) -> None:
        """Lose what was not synced, but for ``torn`` entries of it."""
        written = self._written.entries
        durable = self._durable.entries
        is_longer = written[: len(durable)] == durable
        if is_longer:
            kept = written[: len(durable) + unsynced_kept]
            self._durable = dataclasses.replace(self._durable, entries=kept)
        self._written = self._durable

    def wipe(self) -> None:
        """Lose everything."""
        self._durable = RecoveredState(Vote(), None, ())
        self._written = self._durable


@final
class SimulatedMember:
    """One replica with its disk and what it applied."""

    def __init__(self, config: ReplicaConfig) -> None:
        """Start as a process that is not running."""
        self.config = config
        self.store = FakeStore()
        self.start_count = 0
        self.replica: Replica | None = None
        self.applied: dict[int, Entry] = {}
        self.snapshots_taken = 0

    def start(self, now: Seconds) -> None:
        """Start the process."""
        self.start_count += 1
        name = Incarnation(f'{self.config.own_id}.{self.start_count}')
        self.replica = Replica(self.config, self.store, name, now)
        self.applied = {}

    @property
    def last_applied(self) -> int:
        """Return the highest index applied."""
        return max(self.applied, default=0)


@final
class Simulation:
    """Members, a network and a clock, with a record of what must hold."""

    def __init__(
        self,
        full: int,
        witnesses: int,
        configs: Sequence[ReplicaConfig] = (),
    ) -> None:
        """Make and start the members, by ``seatings`` in an open group."""
        names = [MemberId(f'm{one}') for one in range(full + witnesses)]
        self.names = tuple(names)
        self.now = Seconds(100)
        self.in_flight: list[tuple[MemberId, MemberId, Message]] = []
        self.crash_at_next_flush = MemberId('')
        """A member that will crash in its next flush, before its sync."""
        self.cut_links: set[tuple[MemberId, MemberId]] = set()
        self.committed: dict[int, tuple[Term, bytes]] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.proposed: dict[int, tuple[Term, bytes]] = {}
        self.leader_by_term: dict[Term, MemberId] = {}
        listed = configs or [
            ReplicaConfig(name, self.names, frozenset(names[full:]))
            for name in names
        ]
        self.member_by_name = {
            one.own_id: SimulatedMember(one) for one in listed
        }
        for member in self.member_by_name.values():
            member.start(self.now)

    @property
    def running_members(self) -> list[SimulatedMember]:
        """Return the members whose process runs."""
        return [one for one in self.member_by_name.values() if one.replica]

    def leader(self) -> SimulatedMember | None:
        """Return a member that leads and has settled, if there is one."""
        return next(
            (
                member
                for member in self.running_members
                if member.replica and member.replica.is_ready
            ),
            None,
        )

    def tick(self, seconds: float = TICK_SECONDS) -> None:
        """Let time pass for every member."""
        self.now = Seconds(self.now + seconds)
        for member in self.running_members:
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
        if member.replica and (sender, receiver) not in self.cut_links:
            member.replica.receive(message, self.now)

    def flush_all(self) -> None:
        """Let every member sync, and do what it decided."""
        for member in self.running_members:
            self.flush(member)

    def run_with_faults(
        self, seconds: float, randomness: random.Random
    ) -> None:
        """Lose, repeat and reorder messages, and cut members off, at random."""
        until = self.now + seconds
        loss = randomness.choice([0, 0.1, 0.4])
        while self.now < until:
            self.now = Seconds(
                self.now + randomness.choice([0.01, TICK_SECONDS, 0.2])
            )
            for member in self.running_members:
                if member.replica and randomness.random() < 0.8:
                    member.replica.tick(self.now)
            self._run_faulty_step(loss, randomness)
            self.check_leases()

    def _run_faulty_step(self, loss: float, randomness: random.Random) -> None:
        randomness.shuffle(self.in_flight)
        for _ in range(len(self.in_flight)):
            draw = randomness.random()
            if draw < loss:
                self.in_flight.pop(0)
            else:
                self.deliver(0, keep=draw > 0.97)
            if randomness.random() < 0.1:
                self.flush(
                    randomness.choice(list(self.member_by_name.values()))
                )
        if randomness.random() < 0.5:
            self.propose(b'storm %d' % len(self.proposed), flush=False)
        for member in self.running_members:
            if randomness.random() < 0.7:
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
        self.proposed[proposed] = (member.replica.state.vote.term, payload)
        if flush:
            self.flush(member)
        return True

    def transfer_leadership(self) -> None:
        """Let the present leader give up its lead."""
        member = self.leader()
        if member and member.replica:
            member.replica.transfer_leadership()
            self.flush(member)

    def crash(self, name: MemberId, *, unsynced_kept: int = 0) -> None:
        """Stop a process without warning."""
        member = self.member_by_name[name]
        member.replica = None
        member.store.crash(unsynced_kept=unsynced_kept)

    def lose_disk(self, name: MemberId) -> None:
        """Stop a process and empty its disk."""
        self.crash(name)
        self.member_by_name[name].store.wipe()

    def restart(self, name: MemberId) -> None:
        """Start a process again."""
        member = self.member_by_name[name]
        if member.replica is None:
            member.start(self.now)
            self.flush(member)

    def add(self, config: ReplicaConfig) -> None:
        """Start a member on a new machine."""
        self.member_by_name[config.own_id] = SimulatedMember(config)
        self.restart(config.own_id)

    def compact(self, name: MemberId) -> None:
        """Take a snapshot of everything a member applied."""
        member = self.member_by_name[name]
        if member.replica and member.last_applied:
            index = Index(member.last_applied)
            member.replica.compact(index, b'state %d' % index)
            member.snapshots_taken += 1

    def is_fully_restored(self) -> bool:
        """Tell whether a leader knows every member as it is now."""
        member = self.leader()
        if member is None or member.replica is None:
            return False
        state = member.replica.state
        settled = state.log.seats_at(state.commit)
        listed = {seat.member: seat.incarnation for seat in settled}
        return all(
            one.replica is not None
            and listed.get(name) == one.replica.state.vote.incarnation
            and one.last_applied >= member.last_applied - 1
            for name, one in self.member_by_name.items()
        )

    def flush(self, member: SimulatedMember) -> None:
        """Do what a process does after each event."""
        replica = member.replica
        if replica is None:
            return
        self.in_flight.extend(
            (member.config.own_id, receiver, message)
            for receiver, message in replica.take_appends()
        )
        if self.crash_at_next_flush == member.config.own_id:
            # Others may have entries now that this disk never had.
            self.crash_at_next_flush = MemberId('')
            self.crash(member.config.own_id)
            return
        member.store.sync()
        replica.on_synced(self.now)
        effects = replica.take_effects()
        self.in_flight.extend(
            (member.config.own_id, receiver, message)
            for receiver, message in effects.messages
        )
        if effects.restored:
            member.applied = {
                effects.restored.index: _snapshot_entry(effects.restored)
            }
        for entry in effects.committed:
            self._apply(member, entry)
        if replica.role is Role.leader:
            self._check_leader(member, replica)

    def _apply(self, member: SimulatedMember, entry: Entry) -> None:
        member.applied[entry.index] = entry
        payload = entry.payload
        if member.config.is_witness:
            assert not payload, 'a witness holds a payload'
            payload = self.committed.get(entry.index, (0, b''))[1]
        found = self.committed.setdefault(entry.index, (entry.term, payload))
        assert found[0] == entry.term, 'two entries at one index'
        if entry.kind is EntryKind.command and not member.config.is_witness:
            known = found[1] or payload
            assert known == payload, 'two payloads at one index'
            self.committed[entry.index] = (entry.term, payload)
            if self.proposed.get(entry.index) == (entry.term, payload):
                self.acknowledged[entry.index] = payload

    def _check_leader(self, member: SimulatedMember, replica: Replica) -> None:
        term = replica.state.vote.term
        name = member.config.own_id
        known = self.leader_by_term.setdefault(term, name)
        assert known == name, f'two leaders in term {term}'
        if not replica.is_ready:
            return
        last = max(self.acknowledged, default=0)
        assert replica.state.commit >= last, 'a leader lacks an entry'

    def check_leases(self) -> None:
        """Check that no two members can hold a lease at the same time."""
        holders = [
            member.config.own_id
            for member in self.running_members
            if member.replica
            and member.replica.is_ready
            and self.now < member.replica.lease_end()
        ]
        assert len(holders) < 2, f'{holders} hold a lease'


def _snapshot_entry(snapshot: Snapshot) -> Entry:
    return Entry(snapshot.index, snapshot.term, EntryKind.noop)
