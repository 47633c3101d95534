"""The curl client on the loop: many transfers, no thread, no polling."""

import asyncio
import collections
import contextlib
import math
import socket
from types import TracebackType
from typing import TYPE_CHECKING, Any, Self, final

import pycurl
from tornado.ioloop import IOLoop

from turmericmast.units import MILLIS_PER_SECOND

if TYPE_CHECKING:
    from turmericmast.web.transfer import Transfer

CONNECT_TIMEOUT_MS = 1000
MAX_IDLE_SECONDS = 118
MAX_IDLE_HANDLES = 512
MAX_CONNECTIONS = 4096
"""Connections kept open between transfers, over all targets."""
USER_TIMEOUT_MS = 2000
"""Time without an acknowledgement of the peer's host that ends a connection."""


@final
class Curl:
    """A ``CurlMulti`` whose sockets and timer belong to the loop."""

    def __init__(
        self,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        idle_seconds: int = MAX_IDLE_SECONDS,
    ) -> None:
        """Attach to the current loop.

        Connections that were idle for ``idle_seconds`` are not used again.
        """
        self._connect_timeout_ms = connect_timeout_ms
        self._idle_seconds = idle_seconds
        self._loop = IOLoop.current()
        self._asyncio = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CONNECTIONS)
        self._events_by_fd: dict[int, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._wanted_at = math.inf
        """When curl wants to be called, by the clock of the loop."""
        self._idle: collections.deque[Any] = collections.deque()
        self._transfer_by_handle: dict[Any, 'Transfer'] = {}
        self._is_closed = False

    def __enter__(self) -> Self:
        """Return the client."""
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
        self._multi.close()

    def borrow(self) -> Any:
        """Return an easy handle with the options that never change."""
        if self._idle:
            return self._idle.pop()
        handle = pycurl.Curl()
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        handle.setopt(pycurl.PROXY, '')
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, self._connect_timeout_ms)
        handle.setopt(pycurl.MAXAGE_CONN, self._idle_seconds)
        handle.setopt(pycurl.SOCKOPTFUNCTION, _tune)
        handle.setopt(pycurl.PATH_AS_IS, 1)
        handle.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
        return handle

    def start(self, transfer: 'Transfer') -> None:
        """Begin a transfer now rather than at the next turn of the loop."""
        if self._is_closed:
            # The process stops; this one comes too late.
            transfer.finish(pycurl.E_ABORTED_BY_CALLBACK, 'client is closed')
            return
        self._transfer_by_handle[transfer.handle] = transfer
        self._multi.add_handle(transfer.handle)
        # This is what curl asked for just now, with a delay of 0.
        self._wanted_at = math.inf
        self._act(pycurl.SOCKET_TIMEOUT, 0)

    def stop(self, transfer: 'Transfer') -> None:
        """Take a transfer out; an unfinished one loses its connection."""
        if self._transfer_by_handle.pop(transfer.handle, None) is None:
            return
        self._multi.remove_handle(transfer.handle)
        if len(self._idle) < MAX_IDLE_HANDLES:
            self._idle.append(transfer.handle)
        else:
            transfer.handle.close()

    def resume(self, transfer: 'Transfer') -> None:
        """Go on with a transfer that paused."""
        if transfer.handle in self._transfer_by_handle:
            transfer.handle.pause(pycurl.PAUSE_CONT)
            self._act(pycurl.SOCKET_TIMEOUT, 0)

    def _on_socket(self, event: int, fd: int, multi: Any, token: Any) -> None:
        wanted = {
            pycurl.POLL_NONE: 0,
            pycurl.POLL_IN: IOLoop.READ,
            pycurl.POLL_OUT: IOLoop.WRITE,
            pycurl.POLL_INOUT: IOLoop.READ | IOLoop.WRITE,
        }.get(event)
        known = self._events_by_fd.get(fd)
        if wanted is None:
            if known is not None:
                self._loop.remove_handler(fd)
                self._events_by_fd.pop(fd)
        elif known is None:
            self._loop.add_handler(fd, self._on_ready, wanted)
            self._events_by_fd[fd] = wanted
        elif known != wanted:
            # curl may have closed the socket and got the same number again.
            self._loop.remove_handler(fd)
            self._loop.add_handler(fd, self._on_ready, wanted)
            self._events_by_fd[fd] = wanted

    def _on_ready(self, fd: Any, events: int) -> None:
        action = 0
        if events & IOLoop.READ:
            action |= pycurl.CSELECT_IN
        if events & IOLoop.WRITE:
            action |= pycurl.CSELECT_OUT
        if events & IOLoop.ERROR:
            action |= pycurl.CSELECT_ERR
        self._act(fd, action)

    def _on_timer(self, delay_ms: int) -> None:
        """Take a time from curl, which sets several for each transfer.

        A timer that fires early looks again, which costs less than to
        cancel and make one each time.
        """
        if delay_ms < 0 or self._is_closed:
            self._wanted_at = math.inf
            return
        self._wanted_at = self._asyncio.time() + delay_ms / MILLIS_PER_SECOND
        timer = self._timer
        if timer is None or timer.when() > self._wanted_at:
            if timer:
                timer.cancel()
            self._timer = self._asyncio.call_at(
                self._wanted_at,
                self._on_timeout,
            )

    def _on_timeout(self) -> None:
        self._timer = None
        wanted = self._wanted_at
        if wanted <= self._asyncio.time():
            self._wanted_at = math.inf
            self._act(pycurl.SOCKET_TIMEOUT, 0)
        elif wanted < math.inf and not self._is_closed:
            self._timer = self._asyncio.call_at(wanted, self._on_timeout)

    def _act(self, fd: int, action: int) -> None:
        if self._is_closed:
            return
        self._multi.socket_action(fd, action)
        more = True
        while more:
            left, succeeded, failed = self._multi.info_read()
            more = left > 0
            for handle in succeeded:
                self._finish(handle, pycurl.E_OK, '')
            for handle, code, message in failed:
                self._finish(handle, code, message)

    def _finish(self, handle: Any, code: int, message: str) -> None:
        transfer = self._transfer_by_handle.get(handle)
        if transfer:
            self.stop(transfer)
            transfer.finish(code, message)


def _tune(descriptor: int, purpose: int) -> int:
    """Notice a target whose machine is gone without a word."""
    with contextlib.closing(socket.socket(fileno=descriptor)) as borrowed:
        borrowed.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            USER_TIMEOUT_MS,
        )
        # curl owns the descriptor; only the wrapper is given up here.
        borrowed.detach()
    return int(pycurl.SOCKOPT_OK)
