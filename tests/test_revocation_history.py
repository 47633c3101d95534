"""Histories of a member, an edge and their clocks, without a network.

Guards against a key that runs later than ``revoke_s`` after the revocation was
acknowledged (CONFIG), whatever is delayed, frozen or cut off meanwhile.
"""

import dataclasses
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from turmericmast.account.account import Account
from turmericmast.account.table import AccountTable
from turmericmast.edge.freshness import Freshness
from turmericmast.edge.keyadmission import KeyAdmission
from turmericmast.edge.keyfence import KeyFence
from turmericmast.ids import ApiKey, Index, Seconds, TenantId
from turmericmast.replica.readproof import ReadProof

BOUND = 5.0
KEY = ApiKey('k')
ACCOUNT = Account(TenantId('a'), frozenset((KEY,)))
WITH_KEY, WITHOUT_KEY = AccountTable((ACCOUNT,)), AccountTable(())
REVOCATION = Index(1)

FREEZES = st.sampled_from((0.0, 0.0, 0.0, 0.3, 3.0, 8.0))
"""Seconds that pass before a process takes its next step."""


@dataclasses.dataclass
class _Leader:
    """Acknowledges the revocation; its commit index is told under a lease."""

    revoked_at: float

    def commit(self, now: float) -> Index:
        """Return the commit index, which covers what was acknowledged."""
        return REVOCATION if now >= self.revoked_at else Index(0)


@dataclasses.dataclass
class _Member:
    """Asks the leader, and applies the log late or not at all."""

    proof: ReadProof
    applied: Index = Index(0)


@dataclasses.dataclass
class _Answer:
    """What a member answers to the poll of an edge."""

    asked_at: float
    proof_age: float
    index: Index


class _History:
    """One run: events happen one after the other as time goes on.

    Every message may be lost or come much later than others that were sent
    after it, and every process may stop between two steps.
    """

    def __init__(self, revoked_at: float) -> None:
        self.now = Seconds(100)
        self.leader = _Leader(self.now + revoked_at)
        self.members = [_Member(ReadProof()) for _ in range(2)]
        self.fence = KeyFence(Seconds(BOUND), Freshness())
        self.index = Index(0)
        """What the edge has applied."""
        self.told: list[tuple[_Member, float, Index]] = []
        """Answers of the leader that are on their way."""
        self.answers: list[_Answer] = []
        """Answers of members that are on their way."""
        self.waiting: list[tuple[KeyAdmission, float]] = []
        """Requests that the edge has read, with the time of sending."""
        self.ran: list[float] = []
        """When the requests that ran were sent by their callers."""

    def ask_leader(self, choice: int, freeze: float) -> None:
        """Let a member ask; the leader answers after a while."""
        asked_at = self.now
        self.now = Seconds(self.now + freeze)
        member = self.members[choice % 2]
        self.told.append((member, asked_at, self.leader.commit(self.now)))

    def hear_leader(self, choice: int, _freeze: float) -> None:
        """Deliver an answer of the leader, in any order."""
        if self.told:
            member, asked_at, index = self.told.pop(choice % len(self.told))
            member.proof.record(Seconds(asked_at), index)

    def apply_log(self, choice: int, _freeze: float) -> None:
        """Let a member apply what has been committed."""
        self.members[choice % 2].applied = self.leader.commit(self.now)

    def poll(self, choice: int, freeze: float) -> None:
        """Let the edge poll a member, which may stop before it answers."""
        asked_at = self.now
        self.now = Seconds(self.now + freeze)
        member = self.members[choice % 2]
        proven_at = member.proof.proven_at(member.applied)
        self.answers.append(
            _Answer(asked_at, self.now - proven_at, member.applied)
        )

    def hear_member(self, choice: int, _freeze: float) -> None:
        """Deliver an answer to the edge, in any order and however late."""
        if not self.answers:
            return
        answer = self.answers.pop(choice % len(self.answers))
        if answer.index >= self.index:
            self.index = answer.index
            self.fence.freshness.record_proof(
                Seconds(answer.asked_at), Seconds(answer.proof_age), self.now
            )

    def read_request(self, _choice: int, freeze: float) -> None:
        """Let a caller send a request, which the edge reads after a while."""
        sent_at = self.now
        self.now = Seconds(self.now + freeze)
        if self.fence.admits(self.now) and self._accounts().find((KEY,)):
            admission = KeyAdmission(self.fence, ACCOUNT, KEY, self.now)
            self.waiting.append((admission, sent_at))

    def pass_on(self, choice: int, _freeze: float) -> None:
        """Let the edge send a request, for the first time or again."""
        if not self.waiting:
            return
        admission, sent_at = self.waiting[-1 - choice % len(self.waiting)]
        if admission.find_obstacle(self.now, self._accounts()) is None:
            admission.pass_on()
            self.ran.append(sent_at)

    def restart_edge(self) -> None:
        """Lose all that the edge knew and what was on its way to it."""
        self.fence = KeyFence(Seconds(BOUND), Freshness())
        self.index = Index(0)
        self.answers.clear()
        self.waiting.clear()

    def _accounts(self) -> AccountTable:
        return WITH_KEY if self.index < REVOCATION else WITHOUT_KEY


STEPS = (
    _History.ask_leader,
    _History.hear_leader,
    _History.apply_log,
    _History.poll,
    _History.hear_member,
    _History.read_request,
    _History.pass_on,
)
"""Steps in their order when nothing fails.

Those that are left out for a while are delays, partitions and freezes."""
ROUNDS = st.lists(
    st.tuples(
        st.sets(st.sampled_from(range(len(STEPS))), max_size=4),
        st.sampled_from((0, 0, 0, 1, 2)),
        st.floats(0, 1.5),
        st.tuples(st.sampled_from(range(len(STEPS))), FREEZES),
        st.sampled_from((False,) * 9 + (True,)),
    ),
    max_size=30,
)
"""Steps that are left out, a choice, a pause, a freeze at a step, a restart."""


class RevocationHistoryTest(unittest.TestCase):
    """No request runs that was sent too late after the acknowledgement."""

    @settings(max_examples=1000, deadline=None)
    @given(st.floats(0, 6), ROUNDS)
    def test_bound(
        self,
        revoked_at: float,
        rounds: list[tuple[set[int], int, float, tuple[int, float], bool]],
    ) -> None:
        history = _History(revoked_at)
        for left_out, choice, pause, (frozen_at, freeze), restarts in rounds:
            history.now = Seconds(history.now + pause)
            if restarts:
                history.restart_edge()
            for number, step in enumerate(STEPS):
                if number not in left_out:
                    step(history, choice, freeze if number == frozen_at else 0)
        late = history.leader.revoked_at + BOUND
        self.assertEqual([at for at in history.ran if at > late], [])

    # Shows that the histories can run requests at all.
    def test_working_system(self) -> None:
        history = _History(revoked_at=60)
        for _ in range(50):
            for step in STEPS:
                step(history, 0, 0.01)
            history.now = Seconds(history.now + 0.4)
        self.assertGreaterEqual(len(history.ran), 50)


if __name__ == '__main__':
    unittest.main()
