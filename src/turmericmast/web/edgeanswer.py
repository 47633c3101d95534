"""Check an answer of a target before any of it goes to the caller."""

from collections.abc import Callable
from http import HTTPStatus
from typing import final

from turmericmast.balance.load import LoadReport
from turmericmast.call.call import Loss
from turmericmast.web.dialect import AnswerMarks, Dialect
from turmericmast.web.relay import Relay
from turmericmast.web.transfer import ResponseHead, ResponseSink

MAX_REFUSAL_BYTES = 65_536
"""Octets kept of an answer that is no success."""


@final
class EdgeAnswer(ResponseSink):
    """Passes a good answer on, and keeps any other one back."""

    def __init__(
        self,
        dialect: Dialect,
        request_id: str,
        relay: Relay,
        claim: Callable[['EdgeAnswer'], bool],
    ) -> None:
        """Take the answer to the request with an id.

        ``claim`` tells whether a good answer may go to the caller; another
        one may have been faster.
        """
        self._claim = claim
        self.octets = 0
        self.is_outrun = False
        """Whether it was good, but another answer was faster."""
        self._dialect = dialect
        self._request_id = request_id
        self._relay = relay
        self._head: ResponseHead | None = None
        self._marks: AnswerMarks | None = None
        self._is_passed_on = False
        self._is_foreign = False
        self._kept: list[bytes] = []

    @property
    def load(self) -> LoadReport | None:
        """Return the load that the target told."""
        return self._marks.load if self._marks else None

    @property
    def is_misdirected(self) -> bool:
        """Tell whether another target answered in its place."""
        return self._marks is not None and self._marks.is_misdirected

    def on_head(self, head: ResponseHead) -> bool:
        """Decide what becomes of the answer."""
        marks = self._dialect.read_answer(head.status, head.headers)
        is_success = head.status < HTTPStatus.MULTIPLE_CHOICES
        is_own = marks.request_id == self._request_id
        is_plain = 'Content-Encoding' not in head.headers
        is_vouched = marks.is_signed or not is_success
        if not (is_own or marks.is_unrun) or not (is_plain and is_vouched):
            # Not the answer to this request, or not what the target made.
            self._is_foreign = True
            return False
        self._head = head
        self._marks = marks
        if not is_success:
            return True
        self._is_passed_on = self._claim(self)
        self.is_outrun = not self._is_passed_on
        return self._is_passed_on and self._relay.on_head(head)

    def on_chunk(self, chunk: bytes) -> bool:
        """Take octets of the body."""
        if self._is_passed_on:
            taken = self._relay.on_chunk(chunk)
            self.octets += len(chunk) if taken else 0
            return taken
        self.octets += len(chunk)
        if self.octets <= MAX_REFUSAL_BYTES:
            self._kept.append(chunk)
        return True

    def judge(self, loss: Loss | None) -> Loss | None:
        """Return how the attempt failed, given how its transfer ended."""
        if loss is Loss.never_sent:
            return loss
        if self._is_foreign:
            return Loss.cut_short
        if self._marks and self._marks.is_unrun:
            return Loss.shed
        if loss is None and self._head is None:
            return Loss.cut_short
        if loss is None and self._is_failure:
            return Loss.failed
        return loss

    def pass_on(self) -> bool:
        """Give the caller a whole answer that says the target failed."""
        if self._head is None or self.octets > MAX_REFUSAL_BYTES:
            return False
        self._relay.on_head(self._head)
        self._relay.on_chunk(b''.join(self._kept))
        return True

    @property
    def is_plain_refusal(self) -> bool:
        """Tell whether the target answered for good, though no success."""
        return self._head is not None and not self._is_passed_on

    @property
    def _is_failure(self) -> bool:
        return self._head is not None and (
            self._head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        )
