"""Recognises responses that a target sends once more, by the id of the call.

A target may write an earlier response again, late, on a kept connection. The
next caller would get a response that is not its own, or would be told that its
request did not run although it did.
"""

from typing import final

from turmericmast.ids import AttemptId
from turmericmast.web.parse import CALL_HEADER
from turmericmast.web.responsehead import ResponseHead
from turmericmast.web.transfer import ResponseSink

MAX_TARGETS = 4096
"""Addresses that are remembered to send the id back."""


@final
class EchoingTargets:
    """The addresses whose last response bore the id of its request.

    Only their connections are kept. Others get a new connection for each
    request: the response on it can only be that to the one request.
    """

    def __init__(self) -> None:
        """Begin with no address."""
        self._addresses: dict[str, None] = {}

    def includes(self, address: str) -> bool:
        """Tell whether every response of an address must bear its id."""
        return address in self._addresses

    def record(self, address: str, *, has_echoed: bool) -> None:
        """Remember whether the newest response of an address bore its id."""
        self._addresses.pop(address, None)
        if has_echoed:
            self._addresses[address] = None
        if len(self._addresses) > MAX_TARGETS:
            self._addresses.pop(next(iter(self._addresses)))


@final
class OwnResponse(ResponseSink):
    """Passes on the response to one attempt, and aborts any other one."""

    def __init__(
        self, sink: ResponseSink, attempt: AttemptId, *, must_echo: bool
    ) -> None:
        """Pass the response to ``attempt`` on to ``sink``.

        With ``must_echo``, a response without an id is to another request.
        """
        self.has_echoed = False
        """Whether the response bore the id of the attempt."""
        self._is_foreign = False
        self._sink = sink
        self._attempt = attempt
        self._must_echo = must_echo

    def on_head(self, head: ResponseHead) -> bool:
        """Pass on the head; false if it belongs to another request."""
        echoed = head.headers.get(CALL_HEADER)
        self.has_echoed = echoed == self._attempt
        may_lack_id = echoed is None and not self._must_echo
        self._is_foreign = not self.has_echoed and not may_lack_id
        return not self._is_foreign and self._sink.on_head(head)

    def on_chunk(self, chunk: bytes) -> bool:
        """Pass on a part of the body; false to get it again later."""
        return self._sink.on_chunk(chunk)

    @property
    def is_foreign(self) -> bool:
        """Tell whether a response to another request has arrived."""
        return self._is_foreign

    @property
    def is_overfull(self) -> bool:
        """Tell whether the body exceeds what the sink can use."""
        return self._sink.is_overfull
