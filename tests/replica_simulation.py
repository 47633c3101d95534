"""Simulation of a group of replicas: clock, network and disks are fakes.

It asserts the safety properties of the protocol after each step.
"""

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
    """In-memory store that can lose unsynced writes, or everything."""

    def __init__(self) -> None:
        """Start as an empty disk."""
        self._durable = RecoveredState(Vote(), None, ())
        self._written = self._durable

    def load(self) -> RecoveredState:
        """Return the durable state."""
        return self._durable

    def save_vote(self, vote: Vote) -> None:
        """Replace the vote; not durable before a sync."""
        self._written = dataclasses.replace(self._written, vote=vote)

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries; not durable before a sync."""
        self._written = dataclasses.replace(
            self._written,
            entries=(*self._written.entries, *entries),
        )

    def save_commit(self, index: Index) -> None:
        """Record the commit index; not durable before a sync."""
        self._written = dataclasses.replace(self._written, commit=index)

    def truncate(self, index: Index) -> None:
        """Remove a suffix of the log; not durable before a sync."""
        kept = tuple(
            entry for entry in self._written.entries if entry.index < index
        )
        self._written = dataclasses.replace(self._written, entries=kept)

    def save_snapshot(
        self,
        snapshot: Snapshot,
        tail: Sequence[Entry],
    ) -> None:
        """Replace the snapshot; not durable before a sync."""
        self._written = RecoveredState(
            self._written.vote,
            snapshot,
            tuple(tail),
            self._written.commit,
        )

    def sync(self) -> None:
        """Make all writes durable."""
        self._durable = self._written

    def crash(self, *, unsynced_kept: int) -> None:
        """Lose unsynced writes, except for ``unsynced_kept`` entries.

        The vote is written before the entries, so it survives with them.
        """
        written = self._written.entries
        durable = self._durable.entries
        is_longer = written[: len(durable)] == durable
        if is_longer:
            kept = written[: len(durable) + unsynced_kept]
            vote = self._written.vote if unsynced_kept else self._durable.vote
            self._durable = dataclasses.replace(
                self._durable, entries=kept, vote=vote
            )
        self._written = self._durable

    def wipe(self) -> None:
        """Lose all data, synced or not."""
        self._durable = RecoveredState(Vote(), None, ())
        self._written = self._durable


@final
class SimulatedMember:
    """A replica with its disk and the entries that it applied."""

    def __init__(self, config: ReplicaConfig) -> None:
        """Start with an empty disk and without a running process."""
        self.config = config
        self.store = FakeStore()
        self.start_count = 0
        self.replica: Replica | None = None
        self.applied: dict[int, Entry] = {}
        self.snapshots_taken = 0

    def start(self, now: Seconds) -> None:
        """Start the process from its disk, under a new incarnation if empty."""
        self.start_count += 1
        name = Incarnation(f'{self.config.own_id}.{self.start_count}')
        self.replica = Replica(self.config, self.store, name, now)
        self.applied = {}

    @property
    def last_applied(self) -> int:
        """Return the last applied index, 0 without one."""
        return max(self.applied, default=0)


@final
class Simulation:
    """Members, network and clock, with a history to check safety against."""

    def __init__(
        self,
        full: int,
        witnesses: int,
        configs: Sequence[ReplicaConfig] = (),
    ) -> None:
        """Create and start the members.

        ``configs`` replaces the static membership with a dynamic one.
        """
        names = [MemberId(f'm{number}') for number in range(full + witnesses)]
        self.names = tuple(names)
        self.now = Seconds(100)
        self.in_flight: list[tuple[MemberId, MemberId, Message]] = []
        self.crash_at_next_flush = MemberId('')
        """Member that crashes in its next flush, before its sync."""
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
            config.own_id: SimulatedMember(config) for config in listed
        }
        for member in self.member_by_name.values():
            member.start(self.now)

    @property
    def running_members(self) -> list[SimulatedMember]:
        """Return the members with a running process."""
        return [
            member for member in self.member_by_name.values() if member.replica
        ]

    def leader(self) -> SimulatedMember | None:
        """Return a leader that has committed in its term, if there is one."""
        return next(
            (
                member
                for member in self.running_members
                if member.replica and member.replica.is_ready
            ),
            None,
        )

    def tick(self, seconds: float = TICK_SECONDS) -> None:
        """Advance the clock, and tick and flush every member."""
        self.now = Seconds(self.now + seconds)
        for member in self.running_members:
            if member.replica:
                member.replica.tick(self.now)
                self.flush(member)

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Deliver one message; with ``keep`` it may be delivered again.

        Its effects wait for the next flush, as in a process that handles
        several messages before one sync.
        """
        sender, receiver, message = self.in_flight[position]
        if not keep:
            self.in_flight.pop(position)
        member = self.member_by_name[receiver]
        if member.replica and (sender, receiver) not in self.cut_links:
            member.replica.receive(message, self.now)

    def flush_all(self) -> None:
        """Sync every member and carry out its effects."""
        for member in self.running_members:
            self.flush(member)

    def run_with_faults(
        self, seconds: float, randomness: random.Random
    ) -> None:
        """Drop, duplicate and reorder messages, and delay ticks and syncs."""
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
        """Run for some seconds, delivering all messages in order."""
        until = self.now + seconds
        while self.now < until:
            self.tick()
            self.deliver_all()

    def deliver_all(self) -> None:
        """Deliver the messages in flight, and the answers they lead to."""
        for _ in range(4):
            for _message in range(len(self.in_flight)):
                self.deliver(0)
            self.flush_all()

    def propose(self, payload: bytes, *, flush: bool = True) -> bool:
        """Propose a command at the leader; return whether there was one."""
        member = self.leader()
        if member is None or member.replica is None:
            return False
        index = member.replica.propose(payload, self.now).value_or(None)
        if index is None:
            return False
        self.proposed[index] = (member.replica.state.vote.term, payload)
        if flush:
            self.flush(member)
        return True

    def transfer_leadership(self) -> None:
        """Let the current leader transfer its leadership."""
        member = self.leader()
        if member and member.replica:
            member.replica.transfer_leadership()
            self.flush(member)

    def crash(self, name: MemberId, *, unsynced_kept: int = 0) -> None:
        """Kill a process, losing unsynced writes."""
        member = self.member_by_name[name]
        member.replica = None
        member.store.crash(unsynced_kept=unsynced_kept)

    def lose_disk(self, name: MemberId) -> None:
        """Kill a process and erase its disk."""
        self.crash(name)
        self.member_by_name[name].store.wipe()

    def restart(self, name: MemberId) -> None:
        """Start a process that is not running."""
        member = self.member_by_name[name]
        if member.replica is None:
            member.start(self.now)
            self.flush(member)

    def add(self, config: ReplicaConfig) -> None:
        """Add a member with an empty disk, and start it."""
        self.member_by_name[config.own_id] = SimulatedMember(config)
        self.restart(config.own_id)

    def compact(self, name: MemberId) -> None:
        """Snapshot all that a member applied."""
        member = self.member_by_name[name]
        if member.replica and member.last_applied:
            index = Index(member.last_applied)
            member.replica.compact(index, b'state %d' % index)
            member.snapshots_taken += 1

    def is_fully_restored(self) -> bool:
        """Tell whether all members run, have their seats and have caught up."""
        member = self.leader()
        if member is None or member.replica is None:
            return False
        state = member.replica.state
        settled = state.log.seats_at(state.commit)
        listed = {seat.member: seat.incarnation for seat in settled}
        return all(
            other.replica is not None
            and listed.get(name) == other.replica.state.vote.incarnation
            and other.last_applied >= member.last_applied - 1
            for name, other in self.member_by_name.items()
        )

    def flush(self, member: SimulatedMember) -> None:
        """Carry out the effects of a member, in the order of a real process."""
        replica = member.replica
        if replica is None:
            return
        self.in_flight.extend(
            (member.config.own_id, receiver, message)
            for receiver, message in replica.take_appends()
        )
        if self.crash_at_next_flush == member.config.own_id:
            # Other members may now have entries that this disk lost.
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
            assert not payload, 'a witness stores a payload'
            payload = self.committed.get(entry.index, (0, b''))[1]
        recorded = self.committed.setdefault(entry.index, (entry.term, payload))
        assert recorded[0] == entry.term, 'two terms committed at one index'
        if entry.kind is EntryKind.command and not member.config.is_witness:
            known_payload = recorded[1] or payload
            assert known_payload == payload, (
                'two payloads committed at one index'
            )
            self.committed[entry.index] = (entry.term, payload)
            if self.proposed.get(entry.index) == (entry.term, payload):
                self.acknowledged[entry.index] = payload

    def _check_leader(self, member: SimulatedMember, replica: Replica) -> None:
        term = replica.state.vote.term
        name = member.config.own_id
        first_leader = self.leader_by_term.setdefault(term, name)
        assert first_leader == name, f'two leaders in term {term}'
        if not replica.is_ready:
            return
        last = max(self.acknowledged, default=0)
        assert replica.state.commit >= last, (
            'a leader lacks an acknowledged entry'
        )

    def check_leases(self) -> None:
        """Assert that at most one member holds a lease."""
        holders = [
            member.config.own_id
            for member in self.running_members
            if member.replica
            and member.replica.is_ready
            and self.now < member.replica.lease_end()
        ]
        assert len(holders) < 2, f'{holders} hold a lease at the same time'


def _snapshot_entry(snapshot: Snapshot) -> Entry:
    return Entry(snapshot.index, snapshot.term, EntryKind.noop)
