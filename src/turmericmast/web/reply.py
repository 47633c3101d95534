"""The one answer that a caller gets, whatever it turns out to be."""

from typing import final

from turmericmast.ledger.record import KeptAnswer
from turmericmast.metrics import Metrics
from turmericmast.web.problem import Problem
from turmericmast.web.relay import Relay


@final
class Reply:
    """Sends one answer, problem or break; whatever comes later is dropped."""

    def __init__(self, relay: Relay, metrics: Metrics) -> None:
        """Send through ``relay`` and count the outcome."""
        self.is_over = False
        """Whether the caller has its answer, or is gone."""
        self._relay = relay
        self._metrics = metrics

    def answer(self, outcome: str) -> None:
        """Send the answer that the relay holds, or end its stream."""
        self._count(outcome)
        if not self.is_over:
            self.is_over = True
            self._relay.finish()

    def replay(self, kept: KeptAnswer) -> None:
        """Send an answer that the ledger kept."""
        self._count('replayed')
        if not self.is_over:
            self.is_over = True
            self._relay.replay(kept)

    def send_problem(self, problem: Problem) -> None:
        """Send a problem; one that came too late is not sent."""
        if not self.is_over:
            self.is_over = True
            self._count(f'refused_{problem.status}')
            self._relay.send_problem(problem)

    def abort(self) -> None:
        """Let the caller see that its answer is not whole."""
        self.is_over = True
        self._count('broken_off')
        self._relay.abort()

    def _count(self, outcome: str) -> None:
        self._metrics.count('calls', outcome=outcome)
