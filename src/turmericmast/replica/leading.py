"""The leader's part of replication: spread, commit, repair."""

import dataclasses
import itertools
import math
from typing import final

from turmericmast.ids import Incarnation, Index, MemberId, Seconds, Term
from turmericmast.replica.core import Core, Role
from turmericmast.replica.membership import Membership
from turmericmast.replica.messages import (
    Append,
    AppendReply,
    Entry,
    EntryKind,
    Install,
    Join,
)
from turmericmast.replica.seating import Newcomers, vacated

MAX_ENTRIES = 128
"""Entries in one message."""
MAX_BATCH_BYTES = 262_144
"""Payload in one message, unless a single entry is larger."""
RESEND_AFTER = 1.0
"""Seconds without an answer after which entries are sent again."""
WITNESS_PATIENCE = 1.0
"""Seconds of silence after which a full member no longer holds back."""


@final
@dataclasses.dataclass
class Progress:
    """What the leader knows of one other member."""

    next_index: int
    match: int = 0
    confirmed_at: float = -math.inf
    """The leader's clock at the sending of the newest message answered."""
    waiting_since: float = -math.inf
    """When entries were sent that are not answered yet."""
    sent_index: int = 0
    """The last of these entries."""
    incarnation: Incarnation = Incarnation('')


@final
class Leading:
    """The leader's part: spread entries, commit them, repair members."""

    def __init__(self, core: Core, now: Seconds) -> None:
        """Take office: an entry of the own term settles earlier ones."""
        self._core = core
        self._since = now
        self._next_beat = float(0)
        self.synced_index = 0
        self._newcomers = Newcomers(core)
        self.progress_by_member: dict[MemberId, Progress] = {}
        self._follow_members()
        core.role = Role.leader
        core.leader = core.seating.me
        self.first_index = self.append(EntryKind.noop)

    @property
    def has_settled(self) -> bool:
        """Tell whether every entry of earlier terms is applied."""
        return self._core.commit >= self.first_index

    def append(self, kind: EntryKind, payload: bytes = b'') -> Index:
        """Add one entry to the own log."""
        core = self._core
        index = Index(core.log.last_index + 1)
        core.append([Entry(index, core.vote.term, kind, payload)])
        return index

    def confirmed_until(self) -> float:
        """Return the own clock at which a quorum last knew this leader."""
        core = self._core
        confirmed = {
            member: progress.confirmed_at
            for member, progress in self.progress_by_member.items()
            if self._counts(member, progress)
        }
        confirmed[core.seating.me] = math.inf
        seats = core.membership.seats
        known = {seat.member: -math.inf for seat in seats} | confirmed
        return core.membership.quorum_value(known)

    def tick(self, now: Seconds) -> None:
        """Send heartbeats, and step down without a quorum."""
        core = self._core
        silent_since = max(self.confirmed_until(), self._since)
        if now - silent_since > core.timing.election_max:
            core.role = core.resting_role()
            core.leader = MemberId('')
            return
        if now >= self._next_beat:
            self._next_beat = now + core.timing.heartbeat
            self._newcomers.expire(now)
            self._follow_members()
            self._change_seats(vacated(core, self._heard_at, now))
            for member in self.progress_by_member:
                if self._is_waiting(member, now):
                    # What is under way is not sent twice.
                    self._beat(member, now)
                else:
                    self._send(member, now)

    def admit(self, join: Join, now: Seconds) -> None:
        """Bring a newcomer up to date, so that it can get a seat."""
        self._newcomers.ask(join, now)
        self._follow_members()

    def spread(self, now: Seconds) -> None:
        """Send new entries to members that wait for nothing else."""
        for member, progress in self.progress_by_member.items():
            is_behind = progress.next_index <= self._limit(member, now)
            if is_behind and not self._is_waiting(member, now):
                self._send(member, now)

    def lag(self, member: MemberId) -> int:
        """Return how many entries a member still lacks, as far as known."""
        progress = self.progress_by_member.get(member)
        if progress is None:
            return 0
        match = progress.match if self._counts(member, progress) else 0
        return max(self._core.commit - match, 0)

    def successor(self) -> MemberId | None:
        """Return a full member that has every entry, if there is one."""
        core = self._core
        return next(
            (
                member
                for member in core.membership.full_members()
                if member != core.seating.me
                and self.progress_by_member[member].match == core.log.last_index
                and self._counts(member, self.progress_by_member[member])
            ),
            None,
        )

    def on_reply(self, reply: AppendReply, now: Seconds) -> None:
        """Learn how far a member is."""
        core = self._core
        progress = self.progress_by_member.get(reply.member)
        if progress is None:
            return
        if reply.incarnation != progress.incarnation:
            progress.incarnation = reply.incarnation
            progress.match = 0
        progress.confirmed_at = max(progress.confirmed_at, reply.sent_at)
        if reply.matched:
            progress.match = max(progress.match, reply.index)
            progress.next_index = progress.match + 1
            if progress.match >= progress.sent_index:
                progress.waiting_since = -math.inf
            self.commit()
            self._reseat(reply.member, progress)
        else:
            progress.next_index = min(reply.index, core.log.last_index) + 1
            progress.sent_index = 0
            progress.waiting_since = -math.inf
            self._send(reply.member, now)

    def commit(self) -> None:
        """Commit what a quorum has synced, counting the own term only."""
        core = self._core
        match_by_member: dict[MemberId, float] = {
            member: progress.match
            for member, progress in self.progress_by_member.items()
            if self._counts(member, progress)
        }
        match_by_member[core.seating.me] = self.synced_index
        index = Index(int(core.membership.quorum_value(match_by_member)))
        if core.log.term_at(index) == core.vote.term:
            core.commit_to(index)

    def _follow_members(self) -> None:
        """Keep progress of those who have a seat or asked for one."""
        core = self._core
        wanted = dict.fromkeys((*core.others, *self._newcomers.members))
        for gone in self.progress_by_member.keys() - wanted.keys():
            self.progress_by_member.pop(gone)
        for member in wanted:
            self.progress_by_member.setdefault(
                member,
                Progress(next_index=core.log.last_index + 1),
            )

    def _heard_at(self, member: MemberId) -> float:
        progress = self.progress_by_member.get(member)
        heard_at = progress.confirmed_at if progress else -math.inf
        return max(heard_at, self._since)

    def _is_waiting(self, member: MemberId, now: Seconds) -> bool:
        since = self.progress_by_member[member].waiting_since
        return now - since < RESEND_AFTER

    def _beat(self, member: MemberId, now: Seconds) -> None:
        """Send a heartbeat alone, behind what the member is known to have."""
        core = self._core
        match = self.progress_by_member[member].match
        term = core.log.term_at(match)
        if term is not None:
            core.send(
                member,
                Append(
                    term=core.vote.term,
                    leader=core.seating.me,
                    prev_index=Index(match),
                    prev_term=term,
                    commit=core.commit,
                    sent_at=now,
                ),
            )

    def _counts(self, member: MemberId, progress: Progress) -> bool:
        return self._core.membership.lists(member, progress.incarnation)

    def _reseat(self, member: MemberId, progress: Progress) -> None:
        is_strange = not self._counts(member, progress)
        if is_strange and progress.match >= self._core.commit:
            self._change_seats(
                self._newcomers.seated(member, progress.incarnation),
            )

    def _change_seats(self, membership: Membership | None) -> None:
        """Change one seat, once every earlier change is committed."""
        core = self._core
        is_quiet = core.log.seats(core.commit) == core.membership.seats
        if membership is None or not (is_quiet and self.has_settled):
            return
        entry = Entry(
            Index(core.log.last_index + 1),
            core.vote.term,
            EntryKind.membership,
            seats=membership.seats,
        )
        core.append([entry])

    def _limit(self, member: MemberId, now: Seconds) -> int:
        """Return the last index that may be sent to the member.

        A witness never gets ahead of a full member that is in touch, so the
        witness always helps the survivor of two full members to an election.
        """
        core = self._core
        if not core.membership.is_witness(member):
            return core.log.last_index
        oldest = now - WITNESS_PATIENCE
        matches = [
            self.progress_by_member[full].match
            for full in core.membership.full_members()
            if full != core.seating.me
            and max(
                self.progress_by_member[full].confirmed_at,
                self._since,
            )
            >= oldest
        ]
        return min(matches, default=core.log.last_index)

    def _send(self, member: MemberId, now: Seconds) -> None:
        core = self._core
        progress = self.progress_by_member[member]
        previous = progress.next_index - 1
        term = core.log.term_at(previous)
        snapshot = core.log.snapshot
        if term is None and snapshot is not None:
            if core.membership.is_witness(member):
                snapshot = dataclasses.replace(snapshot, state=b'')
            core.send(
                member,
                Install(core.vote.term, core.seating.me, now, snapshot),
            )
            progress.waiting_since = now
            progress.sent_index = snapshot.index
            return
        last = min(self._limit(member, now), previous + MAX_ENTRIES)
        entries = core.log.between(progress.next_index, last)
        if core.membership.is_witness(member):
            entries = [entry.without_payload() for entry in entries]
        entries = _fitting(entries)
        if entries:
            progress.waiting_since = now
            progress.sent_index = entries[-1].index
        core.send(
            member,
            Append(
                term=core.vote.term,
                leader=core.seating.me,
                prev_index=Index(previous),
                prev_term=Term(0) if term is None else term,
                commit=core.commit,
                sent_at=now,
                entries=tuple(entries),
            ),
        )


def _fitting(entries: list[Entry]) -> list[Entry]:
    """Return the leading entries that fit into one message."""
    sizes = itertools.accumulate(len(entry.payload) for entry in entries)
    fitting = itertools.takewhile(
        lambda pair: pair[1] <= MAX_BATCH_BYTES,
        zip(entries, sizes, strict=True),
    )
    return [entry for entry, _ in fitting] or entries[:1]
