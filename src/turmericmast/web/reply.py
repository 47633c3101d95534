"""Send a caller exactly one response and count its outcome."""

from typing import final

from turmericmast.ledger.record import KeptAnswer
from turmericmast.metrics import Metrics
from turmericmast.web.problem import Problem
from turmericmast.web.relay import Relay


@final
class Reply:
    """Sends a response or a problem, or aborts; ignores what comes later."""

    def __init__(self, relay: Relay, metrics: Metrics) -> None:
        """Send through ``relay`` and count outcomes in ``metrics``."""
        self.is_over = False
        """Whether the caller has its response or has disconnected."""
        self._relay = relay
        self._metrics = metrics

    def answer(self, outcome: str) -> None:
        """Finish the response that the relay has buffered or streamed.

        ``outcome`` is counted, also if the caller has disconnected.
        """
        self._count(outcome)
        if not self.is_over:
            self.is_over = True
            self._relay.finish()

    def replay(self, kept: KeptAnswer) -> None:
        """Send a response that the ledger has kept."""
        self._count('replayed')
        if not self.is_over:
            self.is_over = True
            self._relay.replay(kept)

    def send_problem(self, problem: Problem) -> None:
        """Send a problem, unless the reply is over."""
        if not self.is_over:
            self.is_over = True
            self._count(f'refused_{problem.status}')
            self._relay.send_problem(problem)

    def abort(self) -> None:
        """Close the connection so that the caller sees a broken response."""
        self.is_over = True
        self._count('broken_off')
        self._relay.abort()

    def _count(self, outcome: str) -> None:
        self._metrics.count('calls', outcome=outcome)
