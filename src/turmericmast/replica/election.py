"""Elections: pre-vote, vote and the timeouts that start them."""

from typing import final

from turmericmast.ids import MemberId, Seconds, Term
from turmericmast.replica.core import Core, Role
from turmericmast.replica.messages import VoteReply, VoteRequest


@final
class Election:
    """Decides when to campaign and whom to vote for."""

    def __init__(self, core: Core, now: Seconds) -> None:
        """Wait a whole timeout first: a vote before the start is unknown."""
        self._core = core
        self._granted: set[MemberId] = set()
        self._deadline = float(0)
        core.heard_at = now
        self.postpone(now)

    def postpone(self, now: Seconds) -> None:
        """Draw a new election timeout."""
        timing = self._core.timing
        self._deadline = now + self._core.random.uniform(
            timing.election_min,
            timing.election_max,
        )

    def tick(self, now: Seconds) -> bool:
        """Start a trial campaign when no leader was heard for long.

        Tells whether the election is won at once, as in a group of one.
        """
        core = self._core
        may_lead = core.is_voter and not core.seating.is_witness
        if may_lead and now >= self._deadline:
            self.postpone(now)
            return self._campaign(Role.trial, Term(core.vote.term + 1))
        return False

    def take_over(self, now: Seconds) -> bool:
        """Campaign at once: the leader has given up its lead to this member.

        Its lease is over by its own word, so nobody has to wait for its end.
        """
        core = self._core
        if not core.is_voter or core.seating.is_witness:
            return False
        self.postpone(now)
        core.role = Role.candidate
        term = Term(core.vote.term + 1)
        return self._campaign(Role.candidate, term, handed_over=True)

    def on_request(self, request: VoteRequest, now: Seconds) -> None:
        """Answer a candidate."""
        core = self._core
        if not core.is_voter or not self._is_welcome(request, now):
            self._reply(request, granted=False)
            return
        if request.trial:
            self._reply(request, granted=request.term > core.vote.term)
            return
        core.observe(request.term)
        granted = request.term == core.vote.term and core.vote.voted_for in {
            MemberId(''),
            request.candidate,
        }
        if granted:
            core.save_vote(core.vote.term, request.candidate)
            self.postpone(now)
        self._reply(request, granted=granted)

    def on_reply(self, reply: VoteReply) -> bool:
        """Count a vote and tell whether the election is won."""
        core = self._core
        core.observe(reply.term)
        wanted = Role.trial if reply.trial else Role.candidate
        if core.role is not wanted or not reply.granted:
            return False
        if not reply.trial and reply.term != core.vote.term:
            return False
        if not core.membership.lists(reply.voter, reply.incarnation):
            return False
        self._granted.add(reply.voter)
        return self._settle()

    def _settle(self) -> bool:
        core = self._core
        if not core.membership.is_quorum(self._granted):
            return False
        if core.role is Role.trial:
            return self._campaign(Role.candidate, Term(core.vote.term + 1))
        return True

    def _campaign(
        self,
        role: Role,
        term: Term,
        *,
        handed_over: bool = False,
    ) -> bool:
        core = self._core
        core.role = role
        core.leader = MemberId('')
        if role is Role.candidate:
            core.save_vote(term, core.seating.me)
        self._granted = {core.seating.me}
        request = VoteRequest(
            term=term,
            candidate=core.seating.me,
            incarnation=core.vote.incarnation,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            trial=role is Role.trial,
            handed_over=handed_over,
        )
        for member in core.others:
            core.send(member, request)
        return self._settle()

    def _is_welcome(self, request: VoteRequest, now: Seconds) -> bool:
        core = self._core
        # A follower that hears its leader refuses: the leader's lease and
        # the sessions it grants rest on this.
        quiet = now - core.heard_at >= core.timing.election_min
        quiet = quiet or request.handed_over
        theirs = (request.last_term, request.last_index)
        ours = (core.log.last_term, core.log.last_index)
        listed = core.membership.lists(request.candidate, request.incarnation)
        return quiet and listed and theirs >= ours

    def _reply(self, request: VoteRequest, *, granted: bool) -> None:
        core = self._core
        core.send(
            request.candidate,
            VoteReply(
                term=core.vote.term,
                voter=core.seating.me,
                incarnation=core.vote.incarnation,
                granted=granted,
                trial=request.trial,
            ),
        )
