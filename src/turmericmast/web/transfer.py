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
from turmericmast.web.connections import Connection
from turmericmast.web.curl import CurlClient
from turmericmast.web.lingering import Duplicate
from turmericmast.web.responsehead import ResponseHead, read_head
from turmericmast.web.responselimits import (
    HeadSize,
    OversizedPart,
    TurnShare,
)

ABORT_TRANSFER = -1
"""Return value of a header or body callback that aborts the transfer."""


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
        self._done: asyncio.Future[Loss | None] = asyncio.Future()
        self._is_paused = False
        self._address = ''
        self._connection: Connection | None = None
        """The connection that the request was sent on, once it is known."""
        self._needs_new_connection = False
        """Whether curl chose a connection that must not be used again."""
        self._held: Duplicate | None = None
        """Keeps the connection open until the end of the transfer."""

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
        self._release(lingers=False)
        self._settle(Loss.timed_out)

    def resume(self) -> None:
        """Resume the transfer after the sink or the body has paused it."""
        if self._is_paused:
            self._is_paused = False
            self._curl.resume(self)

    def end_use(self, code: int, *, is_kept: bool) -> None:
        """Note that curl has ended the transfer with a result code.

        ``is_kept`` tells whether it keeps the connection for a later one.
        """
        if is_kept and self._connection:
            self._curl.kept_connections.keep(self._connection)
        # Otherwise the target may be writing a second response, after a whole
        # one or within one that was rejected.
        self._release(lingers=not is_kept and self._may_continue(code))

    def finish(self, code: int) -> None:
        """Receive the result code of curl."""
        if self._needs_new_connection:
            self._begin_anew()
            return
        # curl also reports success if the connection ends within the head.
        if code == pycurl.E_OK and self.progress is Progress.head:
            self.progress = Progress.whole
            self._settle(None)
        else:
            self._settle(self._loss(code))

    def _may_continue(self, code: int) -> bool:
        is_whole = code == pycurl.E_OK and self.progress is Progress.head
        is_rejected = self.progress is Progress.sending
        return is_whole or is_rejected or self._sink.is_foreign

    def _release(self, *, lingers: bool) -> None:
        held = self._held
        self._held = None
        if held and lingers:
            self._curl.kept_connections.linger(held)
        elif held:
            self._curl.kept_connections.release(held)

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
        self._connection = self._curl.connections.find(pair)
        if not self._begin_use():
            self._needs_new_connection = True
            return int(pycurl.PREREQFUNC_ABORT)
        if not self._may_send():
            self.progress = Progress.vetoed
            return int(pycurl.PREREQFUNC_ABORT)
        self.progress = Progress.sending
        return int(pycurl.PREREQFUNC_OK)

    def _begin_use(self) -> bool:
        return self._connection is None or (
            self._curl.kept_connections.begin_use(
                self._connection, self._address, self._request.name
            )
        )

    def _on_read(self, size: int) -> Any:
        chunk = self._request.body.read(size) if self._request.body else b''
        if chunk is None:
            self._is_paused = True
            return pycurl.READFUNC_PAUSE
        return chunk

    def _on_header(self, line: bytes) -> int | None:
        if not line.endswith(b'\n'):
            # The connection ended within this line.
            return ABORT_TRANSFER
        if not self._is_within_limits(line):
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
        if self._connection and not self._held:
            self._held = self._curl.kept_connections.hold(self._connection)
        try:
            head = read_head(self._head_lines)
        except HTTPInputError:
            # curl passes on some lines that are not valid, such as a status
            # line within the head.
            return False
        if head.is_interim and head.join is None:
            # Another head follows, unless it is a part of this one.
            self._head_lines = []
            return True
        self.progress = Progress.head
        return self._sink.on_head(head)

    def _on_write(self, chunk: bytes) -> int:
        self._curl.note_progress()
        if not self._share.take(self._curl.turn, len(chunk)):
            # Other transfers and callers get their turn first. curl joins
            # what it has already read of the body meanwhile.
            asyncio.get_running_loop().call_soon(self.resume)
        elif self._sink.on_chunk(chunk):
            return ABORT_TRANSFER if self._sink.is_overfull else len(chunk)
        self._is_paused = True
        return int(pycurl.WRITEFUNC_PAUSE)
