"""One request to one target, or to another entry, by curl."""

import abc
import asyncio
import dataclasses
import enum
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, final

import pycurl
from tornado.httputil import HTTPHeaders, parse_response_start_line

from turmericmast.call.call import Loss
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.body import BodyReader
from turmericmast.web.curl import Curl

BREAK_OFF = -1
"""What a header callback returns to end the transfer."""


@final
@dataclasses.dataclass(frozen=True)
class Head:
    """Status line and headers of an answer."""

    status: int
    reason: str
    headers: HTTPHeaders


@final
@dataclasses.dataclass(frozen=True)
class TransferRequest:
    """What to send, and until when to wait."""

    url: str
    method: str
    headers: tuple[bytes, ...]
    timeout: float
    """Seconds for the whole transfer."""
    body: BodyReader | None
    body_size: int
    """Octets of the body, -1 when not known beforehand."""


class Sink(abc.ABC):
    """Receives an answer while it arrives."""

    @abc.abstractmethod
    def on_head(self, head: Head) -> bool:
        """Take status and headers; false to break the transfer off."""

    @abc.abstractmethod
    def on_chunk(self, chunk: bytes) -> bool:
        """Take octets of the body; false to be given them again later."""


@final
class Progress(enum.Enum):
    """How far a transfer came, which decides what its failure means."""

    new = 'new'
    vetoed = 'vetoed'
    sending = 'sending'
    head = 'head'
    whole = 'whole'


@final
class Transfer:
    """A transfer that is sent at most once.

    curl repeats a request by itself when a kept connection turns out to be
    dead. The target may have run it, so a second sending is stopped before
    its first byte.
    """

    def __init__(
        self,
        curl: Curl,
        request: TransferRequest,
        sink: Sink,
        may_send: Callable[[], bool],
    ) -> None:
        """Prepare; ``may_send`` is asked right before the first byte."""
        self.handle = curl.borrow()
        self.progress = Progress.new
        self.message = ''
        self._curl = curl
        self._request = request
        self._sink = sink
        self._may_send = may_send
        self._head_lines: list[str] = []
        self._done: asyncio.Future[Loss | None] = asyncio.Future()
        self._is_paused = False

    async def run(self) -> Loss | None:
        """Send, and return what went wrong, if anything."""
        self._prepare()
        self._curl.start(self)
        return await self._done

    def cancel(self) -> None:
        """Give up; the connection is closed, which tells the target."""
        self._curl.stop(self)
        self._settle(Loss.timed_out)

    def resume(self) -> None:
        """Go on after the sink or the body made the transfer wait."""
        if self._is_paused:
            self._is_paused = False
            self._curl.resume(self)

    def finish(self, code: int, message: str) -> None:
        """Take the result from curl."""
        self.message = message
        if code == pycurl.E_OK:
            self.progress = Progress.whole
            self._settle(None)
        else:
            self._settle(self._loss(code))

    def _loss(self, code: int) -> Loss:
        if self.progress in {Progress.new, Progress.vetoed}:
            return Loss.never_sent
        if code == pycurl.E_OPERATION_TIMEDOUT:
            return Loss.timed_out
        if self.progress is Progress.head:
            return Loss.cut_short
        return Loss.connection_lost

    def _settle(self, loss: Loss | None) -> None:
        if not self._done.done():
            self._done.set_result(loss)

    def _prepare(self) -> None:
        handle = self.handle
        request = self._request
        handle.setopt(pycurl.URL, request.url)
        handle.setopt(pycurl.HTTPGET, 1)
        if request.body is not None:
            handle.setopt(pycurl.UPLOAD, 1)
            handle.setopt(pycurl.INFILESIZE_LARGE, request.body_size)
            handle.setopt(pycurl.READFUNCTION, self._on_read)
        handle.setopt(pycurl.CUSTOMREQUEST, request.method)
        handle.setopt(pycurl.HTTPHEADER, request.headers)
        timeout_ms = max(int(request.timeout * MILLIS_PER_SECOND), 1)
        handle.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        self._set_callbacks()

    def _set_callbacks(self) -> None:
        handle = self.handle
        handle.setopt(pycurl.NOBODY, int(self._request.method == 'HEAD'))
        handle.setopt(pycurl.PREREQFUNCTION, self._on_send)
        handle.setopt(pycurl.HEADERFUNCTION, self._on_header)
        handle.setopt(pycurl.WRITEFUNCTION, self._on_write)

    def _on_send(self, *_addresses: Any) -> int:
        if self.progress is not Progress.new:
            return int(pycurl.PREREQFUNC_ABORT)
        if not self._may_send():
            self.progress = Progress.vetoed
            return int(pycurl.PREREQFUNC_ABORT)
        self.progress = Progress.sending
        return int(pycurl.PREREQFUNC_OK)

    def _on_read(self, size: int) -> Any:
        chunk = self._request.body.read(size) if self._request.body else b''
        if chunk is None:
            self._is_paused = True
            return pycurl.READFUNC_PAUSE
        return chunk

    def _on_header(self, line: bytes) -> int | None:
        text = line.decode('latin-1').rstrip('\r\n')
        if text.startswith('HTTP/'):
            self._head_lines = [text]
        elif text:
            self._head_lines.append(text)
        elif not self._on_head():
            return BREAK_OFF
        return None

    def _on_head(self) -> bool:
        if self.progress is Progress.head or not self._head_lines:
            # Trailers come after the body; they are not passed on.
            return True
        start = parse_response_start_line(self._head_lines[0])
        if start.code < HTTPStatus.OK:
            self._head_lines = []
            return True
        headers = HTTPHeaders()
        for line in self._head_lines[1:]:
            headers.parse_line(line)
        self.progress = Progress.head
        return self._sink.on_head(Head(start.code, start.reason, headers))

    def _on_write(self, chunk: bytes) -> int:
        if self._sink.on_chunk(chunk):
            return len(chunk)
        self._is_paused = True
        return int(pycurl.WRITEFUNC_PAUSE)
