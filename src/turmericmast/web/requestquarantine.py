"""Quarantine of requests that are suspected to crash their targets."""

from typing import final

from turmericmast.call.call import CallRequest
from turmericmast.ids import Fingerprint
from turmericmast.web.body import RequestBody
from turmericmast.web.entrycontext import EntryContext


@final
class RequestQuarantine:
    """Reports crashes during one request and tells whether to refuse it."""

    def __init__(
        self, context: EntryContext, request: CallRequest, body: RequestBody
    ) -> None:
        """Track ``request``, which its fingerprint identifies."""
        self._context = context
        self._request = request
        self._body = body
        self._has_reported = False
        self._is_refused = False

    def refused_fingerprint(self) -> Fingerprint | None:
        """Return the fingerprint if the request is refused, else ``None``.

        It is refused if it is quarantined, or if a crash during this call
        could not be reported.
        """
        if self._is_refused:
            return self._fingerprint()
        view = self._context.entry.view
        if not view.suspicion_by_fingerprint:
            return None
        fingerprint = self._fingerprint()
        is_refused = view.is_quarantined(
            fingerprint, self._context.clock.wall()
        )
        return fingerprint if is_refused else None

    async def report_crash(self, started_ms: int) -> bool:
        """Report that a target was lost; tell whether to refuse the request.

        ``started_ms`` is the wall-clock time at which the attempt began.
        """
        self._has_reported = True
        is_refused = await self._context.report_crash(
            self._fingerprint(), started_ms
        )
        self._is_refused = is_refused
        if is_refused:
            self._context.metrics.count('quarantines')
        return is_refused

    async def acquit(self) -> None:
        """Report that the request was answered, if it was suspected."""
        table = self._context.entry.view.suspicion_by_fingerprint
        if self._has_reported or (table and self._fingerprint() in table):
            await self._context.acquit(self._fingerprint())

    def _fingerprint(self) -> Fingerprint:
        return self._request.fingerprint(self._body.buffered())
