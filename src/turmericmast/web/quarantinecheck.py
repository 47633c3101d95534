"""Quarantine check of a request, and reports of possible crashes."""

from typing import final

from turmericmast.balance.targetview import TargetView
from turmericmast.call.call import CallRequest, Loss
from turmericmast.ids import Fingerprint, Millis
from turmericmast.web.body import RequestBody
from turmericmast.web.edgecontext import EdgeContext

CRASH_LOSSES = frozenset((Loss.connection_lost, Loss.cut_short))
"""Losses that may mean that the request crashed its target."""


@final
class QuarantineCheck:
    """Checks one request against the quarantine by its fingerprint.

    The fingerprint is computed only when it is needed. A request whose body is
    too large to buffer has none and is neither refused nor reported.
    """

    def __init__(
        self, context: EdgeContext, request: CallRequest, body: RequestBody
    ) -> None:
        """Check ``request``, whose body is still being received."""
        self._context = context
        self._request = request
        self._body = body

    def time_left(self) -> float:
        """Return the seconds for which the request is refused, 0 if not."""
        wall_ms = Millis(self._context.clock.wall())
        quarantine = self._context.edge.quarantine
        if not quarantine.has_suspects(wall_ms) or not self._body.can_replay:
            return 0
        return quarantine.time_left(self._fingerprint(), wall_ms)

    def on_attempt_end(self, view: TargetView, loss: Loss | None) -> None:
        """Start crash detection if ``loss`` may mean a crash."""
        if loss in CRASH_LOSSES and self._body.can_replay:
            self._context.crash_detector.check(view, self._fingerprint())

    def _fingerprint(self) -> Fingerprint:
        return self._request.fingerprint(self._body.buffered())
