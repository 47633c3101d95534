"""Requests that lost their targets: reported, refused, acquitted."""

from typing import final

from turmericmast.call.call import CallRequest
from turmericmast.ids import Fingerprint
from turmericmast.web.body import RequestBody
from turmericmast.web.entrycontext import EntryContext


@final
class RequestQuarantine:
    """Follows the suspicion against one request."""

    def __init__(
        self, context: EntryContext, request: CallRequest, body: RequestBody
    ) -> None:
        """Know a request by its fingerprint."""
        self._context = context
        self._request = request
        self._body = body
        self._was_reported = False
        self._was_refused = False

    def refused(self) -> Fingerprint | None:
        """Return the fingerprint if the request is quarantined."""
        if self._was_refused:
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
        """Report the loss of a target; tell if the request is refused now."""
        self._was_reported = True
        is_refused = await self._context.report_crash(
            self._fingerprint(), started_ms
        )
        self._was_refused = is_refused
        if is_refused:
            self._context.metrics.count('quarantines')
        return is_refused

    async def acquit(self) -> None:
        """Report an answer, if the request is suspect."""
        table = self._context.entry.view.suspicion_by_fingerprint
        if self._was_reported or (table and self._fingerprint() in table):
            await self._context.acquit(self._fingerprint())

    def _fingerprint(self) -> Fingerprint:
        return self._request.fingerprint(self._body.buffered())
