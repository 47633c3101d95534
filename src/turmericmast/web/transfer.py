"""Send one HTTP request to a target or to another entry with curl."""

import abc
import asyncio
import dataclasses
import enum
from collections.abc import Callable
from typing import Any, final

import pycurl
from tornado.httputil import HTTPInputError

from turmericmast.call.call import Loss
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.body import BodyReader
from turmericmast.web.bodypace import BodyPace
from turmericmast.web.connections import Descriptor
from turmericmast.web.curl import CurlClient
from turmericmast.web.persistence import persists
from turmericmast.web.responsebody import BodyState, ResponseBody
from turmericmast.web.responsehead import (
    InvalidStatusError,
    ResponseHead,
    read_head,
)
from turmericmast.web.responselimits import (
    HeadSize,
    OversizedPart,
    TurnShare,
)
from turmericmast.web.usedconnection import TransferEnd, UsedConnection

ABORT_TRANSFER = -1
"""Return value of a header or body callback that aborts the transfer."""
NO_STATUS_LINE_CODES = frozenset(
    (pycurl.E_UNSUPPORTED_PROTOCOL, pycurl.E_FTP_WEIRD_SERVER_REPLY)
)
"""Results of curl for a response that begins with no status line.

curl passes nothing on of it: a status below 100 or without three digits."""


@final
@dataclasses.dataclass(frozen=True)
class TransferRequest:
    """An outgoing request and its timeout."""

    url: str
    method: str
    headers: tuple[bytes, ...]
    timeout: float
    """Seconds for the whole transfer."""
    body: BodyReader | None
    body_size: int
    """Length of the body in bytes, -1 if it is not known beforehand."""
    uses_kept_connection: bool = True
    """Whether the connection may have served an earlier request, and may be
    kept for a later one."""
    name: str = ''
    """Id of the request in log lines, empty for a health check."""

    def using_kept_connection(self, *, allowed: bool) -> 'TransferRequest':
        """Return the request with ``uses_kept_connection`` as given."""
        return dataclasses.replace(self, uses_kept_connection=allowed)


class ResponseSink(abc.ABC):
    """Receiver of a response while it arrives."""

    @abc.abstractmethod
    def on_head(self, head: ResponseHead) -> bool:
        """Receive the head; return false to abort the transfer.

        An interim head is passed only if it may hold another head. Must
        return false then.
        """

    @abc.abstractmethod
    def on_chunk(self, chunk: bytes) -> bool:
        """Receive a chunk of the body.

        Return false to pause the transfer: the chunk is passed again after
        ``Transfer.resume``.
        """

    def on_body(self, body: ResponseBody) -> None:
        """Receive what becomes known of the body, before the head."""

    @property
    def is_overfull(self) -> bool:
        """Tell whether to abort: the body exceeds what the sink can use."""
        return False

    @property
    def is_foreign(self) -> bool:
        """Tell whether the response was rejected as not that to the request.

        Another, earlier one may have been whole, and may still be written.
        """
        return False


@final
class Progress(enum.Enum):
    """How far a transfer has come, which decides how its failure counts."""

    new = 'new'
    """No byte of the request was sent."""
    vetoed = 'vetoed'
    """``may_send`` was false, so no byte of the request was sent."""
    sending = 'sending'
    """The request may have reached the peer; no response has begun."""
    head = 'head'
    """The head of the response has arrived."""
    whole = 'whole'
    """The response is complete."""


@final
class Transfer:
    """One HTTP transfer, whose request is sent at most once.

    curl resends a request by itself when a reused connection turns out to be
    dead. The target may have run the request already, so a second sending is
    aborted before its first byte.
    """

    def __init__(
        self,
        curl: CurlClient,
        request: TransferRequest,
        sink: ResponseSink,
        may_send: Callable[[], bool],
    ) -> None:
        """Prepare a transfer whose response goes to ``sink``.

        ``may_send`` is called right before the first byte is sent.
        """
        self.handle = curl.acquire_handle()
        self.progress = Progress.new
        self._curl = curl
        self._request = request
        self._sink = sink
        self._may_send = may_send
        self._head_lines: list[str] = []
        self._head_size = HeadSize()
        self._share = TurnShare()
        self._pace = BodyPace(curl.link_pace)
        self._done: asyncio.Future[Loss | None] = asyncio.Future()
        self._is_paused = False
        self.invalid_status: int | None = None
        """Status of what arrived and is no response, 0 if it is unreadable."""
        self._address = ''
        self._connection = UsedConnection(curl)
        self._needs_new_connection = False
        """Whether curl chose a connection that must not be used again."""
        self._body = ResponseBody()

    async def run(self) -> Loss | None:
        """Send the request; return how it failed, ``None`` on success."""
        self._prepare()
        self._set_connection_use()
        self._curl.start(self)
        return await self._done

    def cancel(self) -> None:
        """Cancel the transfer; closing its connection tells the target.

        ``run`` returns ``Loss.timed_out``.
        """
        self._curl.remove(self)
        self._connection.release()
        self._settle(Loss.timed_out)

    def resume(self) -> None:
        """Resume the transfer after the sink or the body has paused it."""
        if self._is_paused:
            self._is_paused = False
            self._curl.resume(self)

    def end_use(self, code: int, kept: Descriptor) -> None:
        """Note that curl has ended the transfer with a result code.

        ``kept`` is the connection that it keeps for a later one, -1 if none.
        """
        is_whole = code == pycurl.E_OK and self.progress is Progress.head
        is_foreign = self.progress is Progress.sending or self._sink.is_foreign
        self._connection.end(
            TransferEnd(is_whole, is_foreign, kept), self._was_closed_for_excess
        )

    def finish(self, code: int) -> None:
        """Receive the result code of curl."""
        if self._needs_new_connection:
            self._begin_anew()
            return
        # curl also reports success if the connection ends within the head.
        if code == pycurl.E_OK and self.progress is Progress.head:
            self.progress = Progress.whole
            self._settle(None)
            return
        if code in NO_STATUS_LINE_CODES and self.progress is Progress.sending:
            self.invalid_status = 0
        self._settle(self._loss(code))

    def _was_closed_for_excess(self) -> bool:
        """Tell whether only further bytes can be why curl closed it."""
        request = self._request
        # curl also closes one whose request was not sent to its end.
        may_keep = request.uses_kept_connection and request.body is None
        return may_keep and persists(self._head_lines, request.method)

    def _begin_anew(self) -> None:
        """Begin on a new connection; the one that curl chose is not used.

        No byte was sent there.
        """
        self.handle = self._curl.acquire_handle()
        self._prepare()
        self._set_connection_use()
        self._needs_new_connection = False
        self._curl.start(self)

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
        self._set_url()
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

    def _set_url(self) -> None:
        """Send the path as it is, while curl normalises that of a URL."""
        scheme, _, rest = self._request.url.partition('://')
        address, _, path = rest.partition('/')
        self._address = address
        self.handle.setopt(pycurl.URL, f'{scheme}://{address}/')
        # Tornado decodes the octets of a path as Latin-1.
        self.handle.setopt(pycurl.REQUEST_TARGET, f'/{path}'.encode('latin-1'))

    def _set_connection_use(self) -> None:
        is_single_use = int(not self._request.uses_kept_connection)
        is_new = int(is_single_use or self._needs_new_connection)
        self.handle.setopt(pycurl.FRESH_CONNECT, is_new)
        self.handle.setopt(pycurl.FORBID_REUSE, is_single_use)

    def _set_callbacks(self) -> None:
        handle = self.handle
        handle.setopt(pycurl.NOBODY, int(self._request.method == 'HEAD'))
        handle.setopt(pycurl.PREREQFUNCTION, self._on_send)
        handle.setopt(pycurl.HEADERFUNCTION, self._on_header)
        handle.setopt(pycurl.WRITEFUNCTION, self._on_write)

    def _on_send(
        self,
        remote_ip: str,
        local_ip: str,
        remote_port: int,
        local_port: int,
    ) -> int:
        if self.progress is not Progress.new:
            return int(pycurl.PREREQFUNC_ABORT)
        pair = (local_ip, local_port, remote_ip, remote_port)
        if not self._connection.begin(pair, self._address, self._request.name):
            self._needs_new_connection = True
            return int(pycurl.PREREQFUNC_ABORT)
        if not self._may_send():
            self.progress = Progress.vetoed
            return int(pycurl.PREREQFUNC_ABORT)
        self.progress = Progress.sending
        self._body.begin_request(
            self._connection.count_received(), self._request.name
        )
        return int(pycurl.PREREQFUNC_OK)

    def _on_read(self, size: int) -> Any:
        chunk = self._request.body.read(size) if self._request.body else b''
        if chunk is None:
            self._is_paused = True
            return pycurl.READFUNC_PAUSE
        return chunk

    def _on_header(self, line: bytes) -> int | None:
        if _is_broken(line) or not self._is_within_limits(line):
            return ABORT_TRANSFER
        if self.progress is Progress.head:
            # This is a trailer after the body, which is not passed on.
            return None
        text = line.decode('latin-1').rstrip('\r\n')
        if text:
            self._head_lines.append(text)
        elif not (self._head_lines and self._on_head()):
            return ABORT_TRANSFER
        return None

    def _is_within_limits(self, line: bytes) -> bool:
        self._curl.note_progress()
        if self._head_size.add(line):
            return True
        is_trailer = self.progress is Progress.head
        self._curl.count_oversized(
            OversizedPart.trailers if is_trailer else OversizedPart.head
        )
        return False

    def _on_head(self) -> bool:
        self._connection.hold()
        try:
            head = read_head(self._head_lines)
        except InvalidStatusError as error:
            self.invalid_status = error.status
            return False
        except HTTPInputError:
            # curl passes on some lines that are not valid, such as a status
            # line within the head.
            return False
        if head.is_interim and head.join is None:
            # Another head follows, unless it is a part of this one.
            self._head_lines = []
            return True
        self.progress = Progress.head
        length = head.headers.get('Content-Length')
        self._body.begin(self._head_size.octets, length)
        self._sink.on_body(self._body)
        return self._sink.on_head(head)

    def _on_write(self, chunk: bytes) -> int:
        self._curl.note_progress()
        time_left = self._pace.time_left()
        if time_left or not self._share.take(self._curl.turn, len(chunk)):
            # Other transfers and callers get their turn first. curl joins
            # what it has already read of the body meanwhile.
            asyncio.get_running_loop().call_later(time_left, self.resume)
        elif self._pass_on(chunk):
            self._pace.pass_on(len(chunk))
            must_abort = self._body.is_filled or self._sink.is_overfull
            return ABORT_TRANSFER if must_abort else len(chunk)
        self._is_paused = True
        return int(pycurl.WRITEFUNC_PAUSE)

    def _pass_on(self, chunk: bytes) -> bool:
        """Pass a piece of the body to the sink; false to get it again.

        The last piece of a body waits until it is known to be whole; that of
        a body that was filled up is dropped.
        """
        former_state = self._body.state
        state = self._body.judge(chunk)
        if state is BodyState.settling:
            if state is not former_state:
                asyncio.get_running_loop().call_later(
                    self._body.settling_seconds, self._end_body
                )
            return False
        if state is BodyState.filled:
            return True
        is_accepted = self._sink.on_chunk(chunk)
        if is_accepted:
            self._body.accept(chunk)
        return is_accepted

    def _end_body(self) -> None:
        """End a body that has settled.

        A connection that holds bytes behind it is not used again: they would
        be read as the response to the next request.
        """
        if not self._done.done():
            self._body.settle()
            if self._body.has_unread_excess:
                self.handle.setopt(pycurl.FORBID_REUSE, 1)
            self.resume()


def _is_broken(line: bytes) -> bool:
    """Tell whether a line has no end, or goes on after that of the head.

    curl ends a head at a line that begins with a carriage return.
    """
    return not line.endswith(b'\n') or (
        line.startswith(b'\r') and not line.isspace()
    )
