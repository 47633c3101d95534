"""Checks the key of a request again before it is passed on."""

from typing import final

from turmericmast.edge.keyadmission import KeyObstacle
from turmericmast.web import accountrefusals
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgerequest import EdgeRequest
from turmericmast.web.problem import Problem


@final
class KeyCheck:
    """Reads the clock and the newest accounts at each attempt of a request.

    Requests that need no key always pass.
    """

    def __init__(self, context: EdgeContext, incoming: EdgeRequest) -> None:
        """Check ``incoming``, which was admitted when it was read."""
        self._context = context
        self._admission = incoming.admission

    def passes(self) -> bool:
        """Tell whether the first byte may be sent; to be called right before.

        Later attempts of a request that passed once may go on for longer.
        """
        if self._admission is None:
            return True
        if self._find_obstacle():
            return False
        self._admission.pass_on()
        return True

    def find_problem(self) -> Problem | None:
        """Return why the request must not be passed on, if it must not."""
        obstacle = self._find_obstacle()
        if obstacle is None:
            return None
        self._context.metrics.count('keys_refused', reason=obstacle.value)
        return (
            accountrefusals.stale_accounts()
            if obstacle is KeyObstacle.stale
            else accountrefusals.unknown_key()
        )

    def _find_obstacle(self) -> KeyObstacle | None:
        if self._admission is None:
            return None
        table = self._context.edge.route_table
        return self._admission.find_obstacle(
            self._context.clock.now(),
            table.document.accounts if table else None,
        )
