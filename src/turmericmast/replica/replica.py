"""The replica aggregate: one member of a replicated group."""

import math
from typing import final

from returns.result import Failure, Result, Success

from turmericmast.exceptions import NotLeaderError
from turmericmast.ids import Incarnation, Index, MemberId, Seconds
from turmericmast.replica.core import Core, Effects, Role, Seating, Timing
from turmericmast.replica.election import Election
from turmericmast.replica.following import Following
from turmericmast.replica.founding import Founding
from turmericmast.replica.joining import Joining
from turmericmast.replica.leading import Leading
from turmericmast.replica.messages import (
    Append,
    AppendReply,
    EntryKind,
    HandOver,
    Install,
    Join,
    Message,
    Probe,
    VoteReply,
    VoteRequest,
)
from turmericmast.replica.store import Store


@final
class Replica:
    """Takes events and a clock; leaves effects for its process to carry out.

    The process sends what ``take_appends`` returns, calls ``store.sync`` and
    then ``synced``, and only then sends the messages of ``take_effects``:
    that order is what makes an acknowledgement worth anything.
    """

    def __init__(
        self,
        seating: Seating,
        store: Store,
        incarnation: Incarnation,
        now: Seconds,
        timing: Timing | None = None,
    ) -> None:
        """Recover from the store, as a learner when it is empty."""
        self._core = Core(seating, store, incarnation, timing or Timing())
        self._election = Election(self._core, now)
        self._founding = Founding(self._core)
        self._joining = Joining(self._core)
        self._following = Following(self._core)
        self._leading: Leading | None = None

    @property
    def role(self) -> Role:
        """Return the present role."""
        return self._core.role

    @property
    def leader(self) -> MemberId:
        """Return the leader as far as known, else an empty id."""
        return self._core.leader

    @property
    def core(self) -> Core:
        """Return term, log and membership, for reading."""
        return self._core

    @property
    def is_ready(self) -> bool:
        """Tell whether this leader has applied all that was committed."""
        leading = self._current()
        return leading is not None and leading.has_settled

    def lease_end(self) -> float:
        """Return until when no other leader can exist, by the own clock."""
        leading = self._current()
        if leading is None:
            return -math.inf
        timing = self._core.timing
        return leading.confirmed_until() + timing.election_min * (
            1 - timing.drift
        )

    def propose(
        self,
        payload: bytes,
        now: Seconds,
    ) -> Result[Index, NotLeaderError]:
        """Add a command to the log and return its index."""
        leading = self._current()
        if leading is None:
            return Failure(
                NotLeaderError(
                    'this replica does not lead its group',
                    step='propose',
                    peer=self._core.leader,
                    hint='ask the leader',
                ),
            )
        index = leading.append(EntryKind.command, payload)
        leading.spread(now)
        return Success(index)

    def tick(self, now: Seconds) -> None:
        """Let time pass."""
        leading = self._current()
        if leading:
            leading.tick(now)
            return
        self._founding.tick(now)
        self._joining.tick(now)
        self._take_office(now, won=self._election.tick(now))

    def receive(self, message: Message, now: Seconds) -> None:
        """Handle a message of another member."""
        match message:
            case Append() | Install():
                self._on_leader(message, now)
            case AppendReply():
                self._on_append_reply(message, now)
            case VoteRequest():
                self._on_vote_request(message, now)
            case VoteReply():
                self._take_office(now, won=self._election.on_reply(message))
            case HandOver(term=term) if term == self._core.vote.term:
                self._take_office(now, won=self._election.take_over(now))
            case Probe():
                self._founding.on_probe(message, now)
            case Join():
                self._on_join(message, now)

    def synced(self, now: Seconds) -> None:
        """Count the own log after it was made durable."""
        leading = self._current()
        if leading:
            leading.synced_index = self._core.log.last_index
            leading.commit()
            leading.spread(now)

    def lag(self, member: MemberId) -> int:
        """Return how many entries a member lacks, as far as a leader knows."""
        leading = self._current()
        return leading.lag(member) if leading else 0

    def hand_over(self) -> bool:
        """Give up the lead to a member that has every entry.

        Tells whether there is nothing left to give up. From here on this
        replica grants nothing, so its lease ends with this call.
        """
        leading = self._current()
        if leading is None:
            return True
        core = self._core
        successor = leading.successor()
        if successor:
            core.role = core.resting_role()
            core.leader = MemberId('')
            core.send(successor, HandOver(core.vote.term, core.seating.me))
        return successor is not None

    def take_appends(self) -> list[tuple[MemberId, Message]]:
        """Return the messages that need not wait for the sync."""
        messages = self._core.effects.messages
        early = [one for one in messages if isinstance(one[1], Append)]
        self._core.effects.messages = [
            one for one in messages if not isinstance(one[1], Append)
        ]
        return early

    def take_effects(self) -> Effects:
        """Return what is to be done, and forget it."""
        effects = self._core.effects
        self._core.effects = Effects()
        return effects

    def compact(self, index: Index, state: bytes) -> None:
        """Drop the log up to ``index``, which ``state`` makes up for."""
        self._core.compact(index, state)

    def contact_age(self, now: Seconds) -> float:
        """Return the seconds since a quorum was known to stand behind this.

        A follower goes by its leader's last message, a leader by the
        sending time of what a quorum answered.
        """
        leading = self._current()
        if leading:
            return now - leading.confirmed_until()
        is_following = self._core.is_voter and self._core.leader
        return now - self._core.heard_at if is_following else math.inf

    def _on_join(self, join: Join, now: Seconds) -> None:
        leading = self._current()
        if leading:
            leading.admit(join, now)
        else:
            self._joining.hand_on(join)

    def _current(self) -> Leading | None:
        if self._core.role is not Role.leader:
            self._leading = None
        return self._leading

    def _on_vote_request(self, request: VoteRequest, now: Seconds) -> None:
        is_known = request.candidate in self._core.others
        has_lease = self._current() and now < self.lease_end()
        if has_lease or not is_known:
            return
        self._election.on_request(request, now)

    def _on_leader(self, message: Append | Install, now: Seconds) -> None:
        core = self._core
        if message.term < core.vote.term:
            # A leader of an earlier term learns that its time is over.
            core.answer(
                message.leader,
                -math.inf,
                matched=False,
                index=core.log.last_index,
            )
            return
        core.observe(message.term)
        core.role = core.resting_role()
        core.leader = message.leader
        core.heard_at = now
        self._election.postpone(now)
        if isinstance(message, Install):
            self._following.on_install(message)
        else:
            self._following.on_append(message)

    def _on_append_reply(self, reply: AppendReply, now: Seconds) -> None:
        self._core.observe(reply.term)
        leading = self._current()
        if leading and reply.term == self._core.vote.term:
            leading.on_reply(reply, now)
            leading.spread(now)

    def _take_office(self, now: Seconds, *, won: bool) -> None:
        if won:
            self._leading = Leading(self._core, now)
            self._leading.tick(now)
