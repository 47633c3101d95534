"""Send one HTTP request to a target or to another entry with curl."""

import abc
import asyncio
import dataclasses
import enum
from collections.abc import Callable
from typing import Any, final

import pycurl

from turmericmast.call.call import Loss
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.body import BodyReader
from turmericmast.web.bodyframing import BodyFraming, NoBody
from turmericmast.web.bodypace import BodyPace
from turmericmast.web.chosenframing import choose_framing
from turmericmast.web.connections import Descriptor
from turmericmast.web.curl import CurlClient
from turmericmast.web.headreading import HeadReading
from turmericmast.web.malformed import MalformedResponseError
from turmericmast.web.persistence import persists
from turmericmast.web.rejection import Rejection
from turmericmast.web.responsebody import BodyState, ResponseBody
from turmericmast.web.responsehead import ResponseHead
from turmericmast.web.responselimits import OversizedError, TurnShare
from turmericmast.web.usedconnection import TransferEnd, UsedConnection

ABORT_TRANSFER = -1
"""Return value of a header or body callback that aborts the transfer."""
REFUSED_HEAD_CODES = frozenset(
    (
        pycurl.E_UNSUPPORTED_PROTOCOL,
        pycurl.E_FTP_WEIRD_SERVER_REPLY,
        pycurl.E_BAD_CONTENT_ENCODING,
    )
)
"""Results of curl for a head that it refuses by itself.

Of one without a status line, curl passes nothing on."""


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

    is_malformed = False
    """Whether the response has turned out to break the grammar of HTTP."""

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
        self._head = HeadReading()
        self._share = TurnShare()
        self._pace = BodyPace(curl.link_pace)
        self._done: asyncio.Future[Loss | None] = asyncio.Future()
        self._is_paused = False
        self.malformed: MalformedResponseError | None = None
        """How what arrived breaks the grammar, ``None`` if it doesn't."""
        self._address = ''
        self._connection = UsedConnection(curl)
        self._needs_new_connection = False
        """Whether curl chose a connection that must not be used again."""
        self._body = ResponseBody()
        self._framing: BodyFraming = NoBody()
        self._is_oversized = False

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
        has_ended = code == pycurl.E_OK and self.progress is Progress.head
        is_whole = has_ended and self._framing.is_complete
        if has_ended and not is_whole:
            self._connection.retire()
        is_foreign = self.progress is Progress.sending or self._sink.is_foreign
        self._connection.end(
            TransferEnd(is_whole, is_foreign, self._framing.has_excess, kept),
            self._was_closed_for_excess,
        )

    def finish(self, code: int) -> None:
        """Receive the result code of curl."""
        if self._needs_new_connection:
            self._begin_anew()
            return
        # curl also reports success if the connection ends within the head.
        has_ended = code == pycurl.E_OK and self.progress is Progress.head
        if has_ended and self._framing.is_complete:
            self.progress = Progress.whole
            self._settle(None)
            return
        if has_ended:
            self.malformed = MalformedResponseError(
                Rejection.disputed_end, 'curl ends the body elsewhere'
            )
        elif code in REFUSED_HEAD_CODES and self.progress is Progress.sending:
            self.malformed = self.malformed or self._head.explain_refusal()
        self._sink.is_malformed = self.malformed is not None
        self._settle(self._loss(code))

    def _was_closed_for_excess(self) -> bool:
        """Tell whether only further bytes can be why curl closed it."""
        request = self._request
        # curl also closes one whose request was not sent to its end.
        may_keep = request.uses_kept_connection and request.body is None
        return may_keep and persists(self._head.lines, request.method)

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
        received = self._connection.count_received()
        self._body.begin_request(received, self._request.name)
        self._head.begin_request(self._connection.watch_head(received))
        return int(pycurl.PREREQFUNC_OK)

    def _on_read(self, size: int) -> Any:
        chunk = self._request.body.read(size) if self._request.body else b''
        if chunk is None:
            self._is_paused = True
            return pycurl.READFUNC_PAUSE
        return chunk

    def _on_header(self, line: bytes) -> int | None:
        self._curl.note_progress()
        if not line.endswith(b'\n'):
            return ABORT_TRANSFER
        try:
            head = self._head.add(line)
        except MalformedResponseError as error:
            self._connection.hold()
            self.malformed = error
            return ABORT_TRANSFER
        except OversizedError as error:
            self._curl.count_oversized(error.part)
            return ABORT_TRANSFER
        is_refused = head is not None and not self._on_head(head)
        return ABORT_TRANSFER if is_refused else None

    def _on_head(self, head: ResponseHead) -> bool:
        self._connection.hold()
        if head.is_interim and head.join is None:
            return True
        self.progress = Progress.head
        self._connection.unwatch_head()
        self._framing = choose_framing(
            head, self._request.method, self._head.size
        )
        self._framing.unseen = self._head.unseen
        self._body.begin(
            self._head.size.octets,
            head.headers.get('Content-Length'),
            is_head_seen=self._head.is_seen,
        )
        self._sink.on_body(self._body)
        return self._sink.on_head(head)

    def _on_write(self, chunk: bytes) -> int:
        self._curl.note_progress()
        time_left = self._pace.time_left()
        if time_left or not self._share.take(self._curl.turn, len(chunk)):
            # Other transfers and callers get their turn first. curl joins
            # what it has already read of the body meanwhile.
            asyncio.get_running_loop().call_later(time_left, self.resume)
        elif self._read_body(chunk):
            self._pace.pass_on(len(chunk))
            must_abort = (
                self.malformed is not None
                or self._is_oversized
                or self._body.is_filled
                or self._sink.is_overfull
            )
            return ABORT_TRANSFER if must_abort else len(chunk)
        self._is_paused = True
        return int(pycurl.WRITEFUNC_PAUSE)

    def _read_body(self, octets: bytes) -> bool:
        """Pass on the piece of the body in ``octets``; false to get it again.

        It is dropped if the octets break the grammar or exceed a limit.
        """
        framing = self._framing.fork()
        try:
            piece = framing.decode(octets)
        except MalformedResponseError as error:
            self.malformed = error
            return True
        except OversizedError as error:
            self._curl.count_oversized(error.part)
            self._is_oversized = True
            return True
        if piece and not self._pass_on(piece):
            return False
        self._share.add_parts(framing.parts)
        self._framing = framing
        return True

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
