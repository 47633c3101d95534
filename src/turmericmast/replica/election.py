"""Leader election: election timeout, pre-vote and vote."""

from typing import final

from turmericmast.ids import MemberId, Seconds, Term
from turmericmast.replica.messages import VoteReply, VoteRequest
from turmericmast.replica.state import ReplicaState, Role


@final
class Election:
    """Starts campaigns and answers vote requests."""

    def __init__(self, state: ReplicaState, now: Seconds) -> None:
        """Start as if the leader had just been heard.

        The times of the last vote and of the last contact with the leader are
        not stored, and either may be just before a restart. So the replica
        waits a whole election timeout before it campaigns, and it refuses
        votes as long as after contact with a leader.
        """
        self._state = state
        self._granted: set[MemberId] = set()
        self._election_deadline = float(0)
        state.leader_heard_at = now
        self.reset_timeout(now)

    def reset_timeout(self, now: Seconds) -> None:
        """Restart the election timeout with a new random length."""
        timing = self._state.timing
        self._election_deadline = now + self._state.random.uniform(
            timing.election_min,
            timing.election_max,
        )

    def tick(self, now: Seconds) -> bool:
        """Start a pre-vote campaign once the election timeout has passed.

        Returns whether the election is won at once, as in a group of one.
        """
        state = self._state
        may_campaign = state.is_voter and not state.config.is_witness
        if may_campaign and now >= self._election_deadline:
            self.reset_timeout(now)
            return self._campaign(Role.pre_candidate, Term(state.vote.term + 1))
        return False

    def on_hand_over(self, now: Seconds) -> bool:
        """Campaign without pre-vote after a leadership transfer to this member.

        The leader gave up its lease with the transfer, so voters need not wait
        for the lease to expire.

        Returns whether the election is won at once, as in a group of one.
        """
        state = self._state
        if not state.is_voter or state.config.is_witness:
            return False
        self.reset_timeout(now)
        state.role = Role.candidate
        term = Term(state.vote.term + 1)
        return self._campaign(Role.candidate, term, handed_over=True)

    def on_request(self, request: VoteRequest, now: Seconds) -> None:
        """Answer a vote or pre-vote request."""
        state = self._state
        if not state.is_voter or not self._may_vote_for(request, now):
            self._reply(request, granted=False)
            return
        if request.trial:
            self._reply(request, granted=request.term > state.vote.term)
            return
        state.observe_term(request.term)
        granted = request.term == state.vote.term and state.vote.voted_for in {
            MemberId(''),
            request.candidate,
        }
        if granted:
            state.save_vote(state.vote.term, request.candidate)
            self.reset_timeout(now)
        self._reply(request, granted=granted)

    def on_reply(self, reply: VoteReply) -> bool:
        """Count a vote and return whether the election is won."""
        state = self._state
        state.observe_term(reply.term)
        expected_role = Role.pre_candidate if reply.trial else Role.candidate
        if state.role is not expected_role or not reply.granted:
            return False
        if not reply.trial and reply.term != state.vote.term:
            return False
        if not state.membership.has_voter(reply.voter, reply.incarnation):
            return False
        self._granted.add(reply.voter)
        return self._count_votes()

    def _count_votes(self) -> bool:
        state = self._state
        if not state.membership.is_quorum(self._granted):
            return False
        if state.role is Role.pre_candidate:
            return self._campaign(Role.candidate, Term(state.vote.term + 1))
        return True

    def _campaign(
        self,
        role: Role,
        term: Term,
        *,
        handed_over: bool = False,
    ) -> bool:
        state = self._state
        state.role = role
        state.leader = MemberId('')
        if role is Role.candidate:
            state.save_vote(term, state.config.own_id)
        self._granted = {state.config.own_id}
        request = VoteRequest(
            term=term,
            candidate=state.config.own_id,
            incarnation=state.vote.incarnation,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            trial=role is Role.pre_candidate,
            handed_over=handed_over,
        )
        for member in state.peers:
            state.send(member, request)
        return self._count_votes()

    def _may_vote_for(self, request: VoteRequest, now: Seconds) -> bool:
        state = self._state
        # A follower in contact with its leader refuses to vote: the leader's
        # lease, and the sessions granted under it, are safe only because of
        # this.
        leader_is_silent = (
            now - state.leader_heard_at >= state.timing.election_min
        )
        leader_is_silent = leader_is_silent or request.handed_over
        candidate_position = (request.last_term, request.last_index)
        own_position = (state.log.last_term, state.log.last_index)
        candidate_is_member = state.membership.has_voter(
            request.candidate, request.incarnation
        )
        return (
            leader_is_silent
            and candidate_is_member
            and candidate_position >= own_position
        )

    def _reply(self, request: VoteRequest, *, granted: bool) -> None:
        state = self._state
        state.send(
            request.candidate,
            VoteReply(
                term=state.vote.term,
                voter=state.config.own_id,
                incarnation=state.vote.incarnation,
                granted=granted,
                trial=request.trial,
            ),
        )
