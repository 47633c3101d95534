"""Quarantine check of a request, and reports of possible crashes."""

from typing import final

from turmericmast.balance.targetview import TargetView
from turmericmast.call.call import CallRequest, Loss
from turmericmast.call.longbody import LongBodyFingerprint
from turmericmast.ids import Fingerprint, Millis
from turmericmast.web.body import RequestBody
from turmericmast.web.edgecontext import EdgeContext

CRASH_LOSSES = frozenset((Loss.connection_lost, Loss.cut_short))
"""Losses that may mean that the request crashed its target."""


@final
class QuarantineCheck:
    """Checks one request against the quarantine by its fingerprint.

    The fingerprint of a request is computed only when it is needed, if its
    body is buffered, and while the body arrives, if it is longer. A long body
    that begins like a suspect one is held until it is complete. Where there is
    no room for that, it is sent but for its end.
    """

    def __init__(
        self, context: EdgeContext, request: CallRequest, body: RequestBody
    ) -> None:
        """Check ``request``, whose body is still being received."""
        self._context = context
        self._request = request
        self._body = body
        self._long_body: LongBodyFingerprint | None = None

    def holds(self, chunk: bytes, *, has_begun: bool) -> bool:
        """Add a chunk of a long body; tell whether nothing is to be sent yet.

        To be called before the chunk is pushed to the body. ``has_begun``
        tells whether the body is being sent.
        """
        if self._long_body is None:
            self._long_body = LongBodyFingerprint(self._request)
            self._long_body.update(self._body.buffered())
        self._long_body.update(chunk)
        if not self._context.edge.quarantine.is_suspect(
            self._long_body.opening()
        ):
            return False
        held_bytes = self._context.held_bytes
        if not has_begun and self._body.hold(len(chunk), held_bytes):
            return True
        self._body.hold_end()
        return False

    def time_left(self) -> float:
        """Return the seconds for which the request is refused, 0 if not."""
        wall_ms = Millis(self._context.clock.wall())
        quarantine = self._context.edge.quarantine
        if not quarantine.has_suspects(wall_ms):
            return 0
        fingerprint = self._fingerprint()
        return quarantine.time_left(fingerprint, wall_ms) if fingerprint else 0

    def on_attempt_end(self, view: TargetView, loss: Loss | None) -> None:
        """Start crash detection if ``loss`` may mean a crash."""
        if loss not in CRASH_LOSSES:
            return
        opening = self._long_body.opening() if self._long_body else None
        fingerprints = tuple(filter(None, (opening, self._fingerprint())))
        if fingerprints:
            self._context.crash_detector.check(view, *fingerprints)

    def _fingerprint(self) -> Fingerprint | None:
        """Return that of the request, ``None`` before its body is complete."""
        if self._body.can_replay:
            return self._request.fingerprint(self._body.buffered())
        if self._long_body and self._body.is_complete:
            return self._long_body.whole()
        return None
