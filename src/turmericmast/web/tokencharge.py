"""The token of one request."""

from typing import final

from returns.result import Success

from turmericmast.allowance.tokencache import Lease
from turmericmast.web.allowancegate import AllowanceGate
from turmericmast.web.edgerequest import EdgeRequest
from turmericmast.web.problem import Problem


@final
class TokenCharge:
    """Draws the token of a request, with all its retries and hedges.

    Requests of accounts without a limit need none.
    """

    def __init__(
        self, gate: AllowanceGate | None, incoming: EdgeRequest
    ) -> None:
        """Draw from ``gate`` for ``incoming``; no tokens without a gate."""
        self._gate = gate
        self._incoming = incoming
        self._lease: Lease | None = None

    async def draw(self) -> Problem | None:
        """Draw the token; return why the request is refused, if it is."""
        account = self._incoming.charged_account
        if account is None or self._gate is None:
            return None
        drawn = await self._gate.draw(
            account, self._incoming.route.latency_goal
        )
        if isinstance(drawn, Success):
            self._lease = drawn.unwrap()
            return None
        return drawn.failure()

    def give_back(self) -> None:
        """Give the token back, if there is one: the request has not run."""
        account = self._incoming.charged_account
        if self._lease and account and self._gate:
            self._gate.give_back(account, self._lease)
        self._lease = None
