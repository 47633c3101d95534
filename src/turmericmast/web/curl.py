"""HTTP client that runs curl transfers on the event loop."""

import asyncio
import collections
import math
import socket
from types import MappingProxyType, TracebackType
from typing import TYPE_CHECKING, Any, Self, final

import pycurl
from tornado.ioloop import IOLoop

from turmericmast.balance.linkpace import LinkPace
from turmericmast.metrics import Metrics
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.connections import (
    Connections,
    Descriptor,
    borrowed_socket,
)
from turmericmast.web.keptconnections import KeptConnections
from turmericmast.web.rawhead import RawHead
from turmericmast.web.responselimits import OversizedPart, count_oversized
from turmericmast.web.unseenbytes import UnseenBytes

if TYPE_CHECKING:
    from turmericmast.web.transfer import Transfer

CONNECT_TIMEOUT_MS = 1000
"""Milliseconds to open a connection."""
MAX_IDLE_SECONDS = 118
"""Seconds after which an idle connection is not used again."""
MAX_IDLE_HANDLES = 512
"""Easy handles kept for reuse."""
MAX_CONNECTIONS = 4096
"""Connections kept open between transfers, to all targets together."""
USER_TIMEOUT_MS = 2000
"""Milliseconds without a TCP acknowledgement after which a connection ends."""

_COMMON_OPTIONS = MappingProxyType(
    {
        pycurl.NOSIGNAL: 1,
        pycurl.HTTP_VERSION: pycurl.CURL_HTTP_VERSION_1_1,
        pycurl.PROXY: '',
        pycurl.PATH_AS_IS: 1,
        pycurl.PROTOCOLS: pycurl.PROTO_HTTP,
        # What frames chunks is passed on and read again (``bodyframing``).
        pycurl.HTTP_TRANSFER_DECODING: 0,
    }
)


@final
class CurlClient:
    """A ``CurlMulti`` whose sockets and timer are watched by the event loop.

    It needs neither a thread nor polling.
    """

    def __init__(
        self,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        idle_seconds: int = MAX_IDLE_SECONDS,
        metrics: Metrics | None = None,
        link_rate: float = 0,
    ) -> None:
        """Attach to the current event loop.

        Connections that were idle for ``idle_seconds`` are not used again.
        Responses that exceed a limit are counted in ``metrics``. The link
        carries ``link_rate`` octets a second, 0 if that is not known.
        """
        self.link_pace = LinkPace(link_rate)
        """The pace of large bodies, both those received and those sent."""
        self._metrics = metrics or Metrics()
        self._connect_timeout_ms = connect_timeout_ms
        self._idle_seconds = idle_seconds
        self._loop = IOLoop.current()
        self._asyncio_loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CONNECTIONS)
        self._events_by_fd: dict[int, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = math.inf
        """When curl must be called next, in seconds of the loop's clock."""
        self._idle: collections.deque[Any] = collections.deque()
        self._transfer_by_handle: dict[Any, 'Transfer'] = {}
        self._raw_head_by_fd: dict[int, RawHead] = {}
        self.turn = 0
        """Number of the current call into curl, which reads and writes."""
        self._is_closed = False
        self._unseen = UnseenBytes()
        self.connections = Connections()
        """The connections that were opened."""
        self.kept_connections = KeptConnections(self.connections)

    def __enter__(self) -> Self:
        """Return the client; begin to watch idle connections."""
        self.kept_connections.__enter__()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Cancel all transfers and close all connections."""
        for transfer in tuple(self._transfer_by_handle.values()):
            transfer.cancel()
        self._is_closed = True
        if self._timer:
            self._timer.cancel()
        for fd in tuple(self._events_by_fd):
            self._loop.remove_handler(fd)
        self._events_by_fd.clear()
        while self._idle:
            self._idle.pop().close()
        self.kept_connections.__exit__(kind, error, trace)
        self._multi.close()

    def limit_connections(self, kept: int, lingering: int) -> None:
        """Keep fewer connections: between transfers, and after their use."""
        self._multi.setopt(pycurl.M_MAXCONNECTS, min(kept, MAX_CONNECTIONS))
        self.kept_connections.limit_lingering(lingering)

    def acquire_handle(self) -> Any:
        """Return an idle or new easy handle with the common options."""
        if self._idle:
            return self._idle.pop()
        handle = pycurl.Curl()
        for option, chosen in _COMMON_OPTIONS.items():
            handle.setopt(option, chosen)
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, self._connect_timeout_ms)
        handle.setopt(pycurl.MAXAGE_CONN, self._idle_seconds)
        handle.setopt(pycurl.SOCKOPTFUNCTION, self._on_socket_opened)
        return handle

    def start(self, transfer: 'Transfer') -> None:
        """Start a transfer at once, not in the next iteration of the loop."""
        if self._is_closed:
            # The process is stopping, so it is too late for this transfer: it
            # fails as never sent.
            transfer.finish(pycurl.E_ABORTED_BY_CALLBACK)
            return
        self._transfer_by_handle[transfer.handle] = transfer
        self._multi.add_handle(transfer.handle)
        # Adding the handle made curl request a timeout of 0; act on it
        # here rather than by a timer.
        self._timer_due_at = math.inf
        self._socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def remove(self, transfer: 'Transfer') -> None:
        """Remove a transfer; an unfinished one loses its connection.

        One that has ended is ignored: its handle may serve another transfer.
        """
        if not self._is_running(transfer):
            return
        self._transfer_by_handle.pop(transfer.handle)
        self._multi.remove_handle(transfer.handle)
        if len(self._idle) < MAX_IDLE_HANDLES:
            self._idle.append(transfer.handle)
        else:
            transfer.handle.close()

    def resume(self, transfer: 'Transfer') -> None:
        """Resume a paused transfer."""
        if self._is_running(transfer):
            self.turn += 1
            try:
                transfer.handle.pause(pycurl.PAUSE_CONT)
            except pycurl.error as error:
                # The sink has aborted the transfer while curl passed on what
                # it had kept; curl itself would let the transfer go on.
                self._finish(transfer.handle, error.args[0])
            self._socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def watch_head(self, raw_head: RawHead) -> None:
        """Look at the heads on a connection before curl reads them."""
        self._raw_head_by_fd[raw_head.descriptor] = raw_head

    def unwatch_head(self, raw_head: RawHead) -> None:
        """Stop to look at the heads on a connection."""
        if self._raw_head_by_fd.get(raw_head.descriptor) is raw_head:
            self._raw_head_by_fd.pop(raw_head.descriptor)

    def note_progress(self) -> None:
        """Note that curl has passed on a line or a part of a body."""
        self._unseen.note_progress()

    def count_oversized(self, part: OversizedPart) -> None:
        """Count a response that exceeds a limit."""
        count_oversized(self._metrics, part)

    def _is_running(self, transfer: 'Transfer') -> bool:
        return self._transfer_by_handle.get(transfer.handle) is transfer

    def _on_socket_opened(self, descriptor: int, _purpose: int) -> int:
        _set_user_timeout(descriptor)
        self.connections.add(Descriptor(descriptor))
        return int(pycurl.SOCKOPT_OK)

    def _on_socket(self, event: int, fd: int, multi: Any, token: Any) -> None:
        wanted_events = {
            pycurl.POLL_NONE: 0,
            pycurl.POLL_IN: IOLoop.READ,
            pycurl.POLL_OUT: IOLoop.WRITE,
            pycurl.POLL_INOUT: IOLoop.READ | IOLoop.WRITE,
        }.get(event)
        registered_events = self._events_by_fd.get(fd)
        if wanted_events is None:
            if registered_events is not None:
                self._loop.remove_handler(fd)
                self._events_by_fd.pop(fd)
                self._unseen.forget(fd)
        elif registered_events is None:
            self._loop.add_handler(fd, self._on_ready, wanted_events)
            self._events_by_fd[fd] = wanted_events
        elif registered_events != wanted_events:
            # curl may have closed the socket and opened a new one with the
            # same descriptor, so register it anew.
            self._loop.remove_handler(fd)
            self._loop.add_handler(fd, self._on_ready, wanted_events)
            self._events_by_fd[fd] = wanted_events

    def _on_ready(self, fd: Any, events: int) -> None:
        action = 0
        if events & IOLoop.READ:
            action |= pycurl.CSELECT_IN
        if events & IOLoop.WRITE:
            action |= pycurl.CSELECT_OUT
        if events & IOLoop.ERROR:
            action |= pycurl.CSELECT_ERR
        raw_head = self._raw_head_by_fd.get(fd)
        if raw_head and events & IOLoop.READ:
            raw_head.look()
        self._unseen.begin()
        self._socket_action(fd, action)
        has_read = events & IOLoop.READ and fd in self._events_by_fd
        if has_read and self._unseen.is_excessive(fd):
            self._end_oversized(fd)

    def _end_oversized(self, fd: int) -> None:
        """End the transfers on a connection; this closes it."""
        handles = [
            handle
            for handle in self._transfer_by_handle
            if handle.getinfo(pycurl.ACTIVESOCKET) == fd
        ]
        for handle in handles:
            self.count_oversized(OversizedPart.framing)
            self._finish(handle, pycurl.E_RECV_ERROR)

    def _on_timer(self, delay_ms: int) -> None:
        """Set the time at which curl must be called next.

        curl changes it several times for each transfer. A timer that is set
        too early is kept and rearmed when it fires, which costs less than
        replacing it for each change.
        """
        if delay_ms < 0 or self._is_closed:
            self._timer_due_at = math.inf
            return
        self._timer_due_at = (
            self._asyncio_loop.time() + delay_ms / MILLIS_PER_SECOND
        )
        timer = self._timer
        if timer is None or timer.when() > self._timer_due_at:
            if timer:
                timer.cancel()
            self._timer = self._asyncio_loop.call_at(
                self._timer_due_at,
                self._on_timeout,
            )

    def _on_timeout(self) -> None:
        self._timer = None
        due_at = self._timer_due_at
        if due_at <= self._asyncio_loop.time():
            self._timer_due_at = math.inf
            self._socket_action(pycurl.SOCKET_TIMEOUT, 0)
        elif due_at < math.inf and not self._is_closed:
            self._timer = self._asyncio_loop.call_at(due_at, self._on_timeout)

    def _socket_action(self, fd: int, action: int) -> None:
        if self._is_closed:
            return
        self.turn += 1
        self._multi.socket_action(fd, action)
        more = True
        while more:
            messages_left, succeeded, failed = self._multi.info_read()
            more = messages_left > 0
            for handle in succeeded:
                self._finish(handle, pycurl.E_OK)
            for handle, code, _ in failed:
                self._finish(handle, code)

    def _finish(self, handle: Any, code: int) -> None:
        transfer = self._transfer_by_handle.get(handle)
        if transfer:
            is_whole = code == pycurl.E_OK
            kept = handle.getinfo(pycurl.ACTIVESOCKET) if is_whole else -1
            self.remove(transfer)
            transfer.end_use(code, Descriptor(kept))
            transfer.finish(code)


def _set_user_timeout(descriptor: int) -> None:
    """Limit the time until a connection to an unreachable host ends."""
    with borrowed_socket(descriptor) as borrowed:
        borrowed.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            USER_TIMEOUT_MS,
        )
