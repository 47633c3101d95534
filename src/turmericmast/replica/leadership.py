"""Log replication, commit and membership changes on the leader."""

import dataclasses
import itertools
import math
from collections.abc import Mapping
from typing import final

from turmericmast.ids import Incarnation, Index, MemberId, Seconds, Term
from turmericmast.replica.membership import Membership
from turmericmast.replica.messages import (
    Append,
    AppendReply,
    Entry,
    EntryKind,
    Install,
    Join,
)
from turmericmast.replica.reconfiguration import (
    PendingJoins,
    without_replaced_member,
)
from turmericmast.replica.state import ReplicaState, Role

MAX_BATCH_ENTRIES = 128
"""Most entries in one message."""
MAX_BATCH_BYTES = 262_144
"""Most bytes of payload in one message, unless one entry is larger."""
RESEND_TIMEOUT = 1.0
"""Seconds without an answer after which entries are sent again."""
FULL_MEMBER_TIMEOUT = 1.0
"""Seconds of silence after which witnesses need not wait for a full member."""


@final
@dataclasses.dataclass
class Progress:
    """Replication progress of one other member."""

    next_index: int
    """Index of the next entry to send."""
    match_index: int = 0
    """Last index known to be stored by the member."""
    confirmed_at: float = -math.inf
    """Time on the leader's clock when it sent the latest message answered."""
    inflight_since: float = -math.inf
    """When the entries in flight were sent."""
    inflight_index: int = 0
    """Index of the last entry in flight."""
    incarnation: Incarnation = Incarnation('')


@final
class Leadership:
    """Replicates and commits entries, and changes the membership."""

    def __init__(self, state: ReplicaState, now: Seconds) -> None:
        """Become the leader, and append a no-op entry.

        Entries of earlier terms commit only with an entry of the own term.
        """
        self._state = state
        self._led_since = now
        self._next_heartbeat_at = float(0)
        self.synced_index = 0
        """Last index of the own log that is durable."""
        self._pending_joins = PendingJoins(state)
        self.progress_by_member: dict[MemberId, Progress] = {}
        self._track_members()
        state.role = Role.leader
        state.leader = state.config.own_id
        self.noop_index = self.append(EntryKind.noop)

    @property
    def has_committed_in_term(self) -> bool:
        """Tell whether the no-op entry and all before it are committed."""
        return self._state.commit >= self.noop_index

    def append(self, kind: EntryKind, payload: bytes = b'') -> Index:
        """Append one entry to the own log and return its index."""
        state = self._state
        index = Index(state.log.last_index + 1)
        state.append([Entry(index, state.vote.term, kind, payload)])
        return index

    def contact_times(self) -> Mapping[MemberId, float]:
        """Return the sending time of the last message each one answered."""
        return {
            member: progress.confirmed_at
            for member, progress in self.progress_by_member.items()
        }

    def quorum_confirmed_at(self) -> float:
        """Return the latest time at which a quorum followed this leader.

        It is the own clock at the sending of the messages that a quorum
        answered, and minus infinity before.
        """
        state = self._state
        confirmed = {
            member: progress.confirmed_at
            for member, progress in self.progress_by_member.items()
            if self._is_voter(member, progress)
        }
        confirmed[state.config.own_id] = math.inf
        seats = state.membership.seats
        confirmed_by_seat = {
            seat.member: -math.inf for seat in seats
        } | confirmed
        return state.membership.quorum_value(confirmed_by_seat)

    def tick(self, now: Seconds) -> None:
        """Send due heartbeats, or step down after losing the quorum."""
        state = self._state
        quorum_seen_at = max(self.quorum_confirmed_at(), self._led_since)
        if now - quorum_seen_at > state.timing.election_max:
            state.role = state.passive_role()
            state.leader = MemberId('')
            return
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + state.timing.heartbeat
            self._pending_joins.expire(now)
            self._track_members()
            self._propose_membership(
                without_replaced_member(state, self._last_contact_at, now)
            )
            for member in self.progress_by_member:
                if self._has_inflight(member, now):
                    # Entries in flight are not sent again before the timeout.
                    self._send_heartbeat(member, now)
                else:
                    self._send_log(member, now)

    def on_join(self, join: Join, now: Seconds) -> None:
        """Start replication to a member that asks to join.

        It becomes a voting member once it has caught up.
        """
        self._pending_joins.record(join, now)
        self._track_members()

    def replicate(self, now: Seconds) -> None:
        """Send new entries to each member without entries in flight."""
        for member, progress in self.progress_by_member.items():
            is_behind = progress.next_index <= self._send_limit(member, now)
            if is_behind and not self._has_inflight(member, now):
                self._send_log(member, now)

    def lag(self, member: MemberId) -> int:
        """Return how many committed entries a member is not known to have."""
        progress = self.progress_by_member.get(member)
        if progress is None:
            return 0
        match_index = (
            progress.match_index if self._is_voter(member, progress) else 0
        )
        return max(self._state.commit - match_index, 0)

    def successor(self) -> MemberId | None:
        """Return a full member with the whole log, if there is one."""
        state = self._state
        return next(
            (
                member
                for member in state.membership.full_members()
                if member != state.config.own_id
                and self.progress_by_member[member].match_index
                == state.log.last_index
                and self._is_voter(member, self.progress_by_member[member])
            ),
            None,
        )

    def on_reply(self, reply: AppendReply, now: Seconds) -> None:
        """Record the progress of a member, then commit or resend."""
        state = self._state
        progress = self.progress_by_member.get(reply.member)
        if progress is None:
            return
        if reply.incarnation != progress.incarnation:
            progress.incarnation = reply.incarnation
            progress.match_index = 0
        progress.confirmed_at = max(progress.confirmed_at, reply.sent_at)
        if reply.matched:
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = progress.match_index + 1
            if progress.match_index >= progress.inflight_index:
                progress.inflight_since = -math.inf
            self.commit()
            self._promote(reply.member, progress)
        else:
            progress.next_index = min(reply.index, state.log.last_index) + 1
            progress.inflight_index = 0
            progress.inflight_since = -math.inf
            self._send_log(reply.member, now)

    def commit(self) -> None:
        """Commit what a quorum has synced.

        Only entries of the own term are committed by counting replicas.
        """
        state = self._state
        match_by_member: dict[MemberId, float] = {
            member: progress.match_index
            for member, progress in self.progress_by_member.items()
            if self._is_voter(member, progress)
        }
        match_by_member[state.config.own_id] = self.synced_index
        index = Index(int(state.membership.quorum_value(match_by_member)))
        if state.log.term_at(index) == state.vote.term:
            state.commit_to(index)

    def _track_members(self) -> None:
        """Keep progress of members that have a seat or asked to join."""
        state = self._state
        tracked = dict.fromkeys((*state.peers, *self._pending_joins.members))
        for untracked in self.progress_by_member.keys() - tracked.keys():
            self.progress_by_member.pop(untracked)
        for member in tracked:
            self.progress_by_member.setdefault(
                member,
                Progress(next_index=state.log.last_index + 1),
            )

    def _last_contact_at(self, member: MemberId) -> float:
        progress = self.progress_by_member.get(member)
        contact_at = progress.confirmed_at if progress else -math.inf
        return max(contact_at, self._led_since)

    def _has_inflight(self, member: MemberId, now: Seconds) -> bool:
        since = self.progress_by_member[member].inflight_since
        return now - since < RESEND_TIMEOUT

    def _send_heartbeat(self, member: MemberId, now: Seconds) -> None:
        """Send an empty append that follows the last entry known to match."""
        state = self._state
        match_index = self.progress_by_member[member].match_index
        term = state.log.term_at(match_index)
        if term is not None:
            state.send(
                member,
                Append(
                    term=state.vote.term,
                    leader=state.config.own_id,
                    prev_index=Index(match_index),
                    prev_term=term,
                    commit=state.commit,
                    sent_at=now,
                ),
            )

    def _is_voter(self, member: MemberId, progress: Progress) -> bool:
        return self._state.membership.has_voter(member, progress.incarnation)

    def _promote(self, member: MemberId, progress: Progress) -> None:
        lacks_seat = not self._is_voter(member, progress)
        if lacks_seat and progress.match_index >= self._state.commit:
            self._propose_membership(
                self._pending_joins.with_member(member, progress.incarnation),
            )

    def _propose_membership(self, membership: Membership | None) -> None:
        """Append a membership change, unless an earlier one is uncommitted."""
        state = self._state
        is_settled = state.log.seats_at(state.commit) == state.membership.seats
        if membership is None or not (
            is_settled and self.has_committed_in_term
        ):
            return
        entry = Entry(
            Index(state.log.last_index + 1),
            state.vote.term,
            EntryKind.membership,
            seats=membership.seats,
        )
        state.append([entry])

    def _send_limit(self, member: MemberId, now: Seconds) -> int:
        """Return the last index that may be sent to the member.

        A witness never gets ahead of a full member in contact. If one of two
        full members fails, the log of the other is then never behind that of
        the witness, which can vote for it.
        """
        state = self._state
        if not state.membership.is_witness(member):
            return state.log.last_index
        contact_since = now - FULL_MEMBER_TIMEOUT
        match_indexes = [
            self.progress_by_member[full].match_index
            for full in state.membership.full_members()
            if full != state.config.own_id
            and max(
                self.progress_by_member[full].confirmed_at,
                self._led_since,
            )
            >= contact_since
        ]
        return min(match_indexes, default=state.log.last_index)

    def _send_log(self, member: MemberId, now: Seconds) -> None:
        state = self._state
        progress = self.progress_by_member[member]
        previous = progress.next_index - 1
        term = state.log.term_at(previous)
        snapshot = state.log.snapshot
        if term is None and snapshot is not None:
            if state.membership.is_witness(member):
                snapshot = dataclasses.replace(snapshot, state=b'')
            state.send(
                member,
                Install(state.vote.term, state.config.own_id, now, snapshot),
            )
            progress.inflight_since = now
            progress.inflight_index = snapshot.index
            return
        last = min(self._send_limit(member, now), previous + MAX_BATCH_ENTRIES)
        entries = state.log.between(progress.next_index, last)
        if state.membership.is_witness(member):
            entries = [entry.without_payload() for entry in entries]
        entries = _first_batch(entries)
        if entries:
            progress.inflight_since = now
            progress.inflight_index = entries[-1].index
        state.send(
            member,
            Append(
                term=state.vote.term,
                leader=state.config.own_id,
                prev_index=Index(previous),
                prev_term=Term(0) if term is None else term,
                commit=state.commit,
                sent_at=now,
                entries=tuple(entries),
            ),
        )


def _first_batch(entries: list[Entry]) -> list[Entry]:
    """Return the first entries that fit into one message, at least one."""
    sizes = itertools.accumulate(len(entry.payload) for entry in entries)
    first_batch = itertools.takewhile(
        lambda pair: pair[1] <= MAX_BATCH_BYTES,
        zip(entries, sizes, strict=True),
    )
    return [entry for entry, _ in first_batch] or entries[:1]
