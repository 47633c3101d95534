"""The replica aggregate: one member of a Raft group."""

import math
from typing import final

from returns.result import Failure, Result, Success

from turmericmast.exceptions import NotLeaderError
from turmericmast.ids import Incarnation, Index, MemberId, Seconds
from turmericmast.replica.bootstrap import Bootstrap
from turmericmast.replica.election import Election
from turmericmast.replica.follower import Follower
from turmericmast.replica.joining import JoinRequester
from turmericmast.replica.leadership import Leadership
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
from turmericmast.replica.state import (
    Effects,
    ReplicaConfig,
    ReplicaState,
    Role,
    Timing,
)
from turmericmast.replica.store import Store


@final
class Replica:
    """Takes messages and ticks, and returns effects for its process.

    The process sends what ``take_appends`` returns, calls ``store.sync`` and
    then ``on_synced``, and only then sends the messages of ``take_effects``:
    votes and acknowledgements must be durable before they are sent.
    """

    def __init__(
        self,
        config: ReplicaConfig,
        store: Store,
        incarnation: Incarnation,
        now: Seconds,
        timing: Timing | None = None,
    ) -> None:
        """Recover from the store, as a learner if the store is empty."""
        self._state = ReplicaState(
            config, store, incarnation, timing or Timing()
        )
        self._election = Election(self._state, now)
        self._bootstrap = Bootstrap(self._state)
        self._join_requester = JoinRequester(self._state)
        self._follower = Follower(self._state)
        self._leadership: Leadership | None = None

    @property
    def role(self) -> Role:
        """Return the current role."""
        return self._state.role

    @property
    def leader(self) -> MemberId:
        """Return the id of the leader, empty if none is known."""
        return self._state.leader

    @property
    def state(self) -> ReplicaState:
        """Return term, log and membership, to be read only.

        The one exception is ``set_contacts``.
        """
        return self._state

    @property
    def is_ready(self) -> bool:
        """Tell whether this replica leads and has committed in its term.

        Only then is every entry of earlier terms known to be committed, and
        passed on to be applied.
        """
        leadership = self.leadership()
        return leadership is not None and leadership.has_committed_in_term

    def lease_end(self) -> float:
        """Return the own clock time before which no other leader can exist.

        Minus infinity if this replica does not lead.
        """
        leadership = self.leadership()
        if leadership is None:
            return -math.inf
        timing = self._state.timing
        return leadership.quorum_confirmed_at() + timing.election_min * (
            1 - timing.clock_drift
        )

    def propose(
        self,
        payload: bytes,
        now: Seconds,
    ) -> Result[Index, NotLeaderError]:
        """Append a command to the log and return its index.

        Fails with ``NotLeaderError`` if this replica does not lead.
        """
        leadership = self.leadership()
        if leadership is None:
            return Failure(
                NotLeaderError(
                    'this replica does not lead its group',
                    step='propose',
                    peer=self._state.leader,
                    hint='ask the leader',
                ),
            )
        index = leadership.append(EntryKind.command, payload)
        leadership.replicate(now)
        return Success(index)

    def tick(self, now: Seconds) -> None:
        """Run what is due: heartbeats, or probes, joins and elections."""
        leadership = self.leadership()
        if leadership:
            leadership.tick(now)
            return
        self._bootstrap.tick(now)
        self._join_requester.tick(now)
        self._lead_if_won(now, won=self._election.tick(now))

    def receive(self, message: Message, now: Seconds) -> None:
        """Handle a message from another member."""
        match message:
            case Append() | Install():
                self._on_leader_message(message, now)
            case AppendReply():
                self._on_append_reply(message, now)
            case VoteRequest():
                self._on_vote_request(message, now)
            case VoteReply():
                self._lead_if_won(now, won=self._election.on_reply(message))
            case HandOver(term=term) if term == self._state.vote.term:
                self._lead_if_won(now, won=self._election.on_hand_over(now))
            case Probe():
                self._bootstrap.on_probe(message, now)
            case Join():
                self._on_join(message, now)

    def on_synced(self, now: Seconds) -> None:
        """Count the own log toward the quorum after a sync of the store."""
        leadership = self.leadership()
        if leadership:
            leadership.synced_index = self._state.log.last_index
            leadership.commit()
            leadership.replicate(now)

    def lag(self, member: MemberId) -> int:
        """Return how many committed entries a member is not known to have.

        Zero if this replica does not lead.
        """
        leadership = self.leadership()
        return leadership.lag(member) if leadership else 0

    def transfer_leadership(self) -> bool:
        """Transfer leadership to a full member that has the whole log.

        Returns whether this replica no longer leads. The lease ends with a
        successful call. The caller retries while no member has caught up.
        """
        leadership = self.leadership()
        if leadership is None:
            return True
        state = self._state
        successor = leadership.successor()
        if successor:
            state.role = state.passive_role()
            state.leader = MemberId('')
            state.send(
                successor, HandOver(state.vote.term, state.config.own_id)
            )
        return successor is not None

    def take_appends(self) -> list[tuple[MemberId, Message]]:
        """Remove and return the appends, which may be sent before the sync.

        Each is a pair of receiver and message.
        """
        messages = self._state.effects.messages
        appends = [pair for pair in messages if isinstance(pair[1], Append)]
        self._state.effects.messages = [
            pair for pair in messages if not isinstance(pair[1], Append)
        ]
        return appends

    def take_effects(self) -> Effects:
        """Return the effects since the last call, and clear them."""
        effects = self._state.effects
        self._state.effects = Effects()
        return effects

    def compact(self, index: Index, state: bytes) -> None:
        """Replace the log up to ``index`` by a snapshot with this state."""
        self._state.compact(index, state)

    def contact_age(self, now: Seconds) -> float:
        """Return the seconds since the last known contact with a quorum.

        For a follower this is the age of the leader's last message, for a
        leader the age of the latest messages that a quorum answered; infinity
        for a replica without a vote or without a known leader.
        """
        leadership = self.leadership()
        if leadership:
            return now - leadership.quorum_confirmed_at()
        is_following = self._state.is_voter and self._state.leader
        return now - self._state.leader_heard_at if is_following else math.inf

    def leadership(self) -> Leadership | None:
        """Return the leadership of this replica, ``None`` without one."""
        if self._state.role is not Role.leader:
            self._leadership = None
        return self._leadership

    def _on_join(self, join: Join, now: Seconds) -> None:
        leadership = self.leadership()
        if leadership:
            leadership.on_join(join, now)
        else:
            self._join_requester.forward(join)

    def _on_vote_request(self, request: VoteRequest, now: Seconds) -> None:
        is_known = request.candidate in self._state.peers
        has_lease = self.leadership() and now < self.lease_end()
        if has_lease or not is_known:
            return
        self._election.on_request(request, now)

    def _on_leader_message(
        self, message: Append | Install, now: Seconds
    ) -> None:
        state = self._state
        if message.term < state.vote.term:
            # The answer carries the later term, so that a stale leader steps
            # down.
            state.send_append_reply(
                message.leader,
                -math.inf,
                matched=False,
                index=state.log.last_index,
            )
            return
        state.observe_term(message.term)
        state.role = state.passive_role()
        state.leader = message.leader
        state.leader_heard_at = now
        self._election.reset_timeout(now)
        if isinstance(message, Install):
            self._follower.on_install(message)
        else:
            self._follower.on_append(message)

    def _on_append_reply(self, reply: AppendReply, now: Seconds) -> None:
        self._state.observe_term(reply.term)
        leadership = self.leadership()
        if leadership and reply.term == self._state.vote.term:
            leadership.on_reply(reply, now)
            leadership.replicate(now)

    def _lead_if_won(self, now: Seconds, *, won: bool) -> None:
        if won:
            self._leadership = Leadership(self._state, now)
            self._leadership.tick(now)
