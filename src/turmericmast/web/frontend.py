"""The HTTP front end of an entry: calls and the pages under ``/-/``."""

import json
import urllib.parse
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, final

from returns.result import Success
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
)

from turmericmast.entry.routing import RouteAction
from turmericmast.ids import DomainId, ServiceId
from turmericmast.web.announcementhandler import AnnouncementHandler
from turmericmast.web.entrycontext import EntryContext
from turmericmast.web.exchange import Exchange
from turmericmast.web.idle import IdleConnections
from turmericmast.web.parse import (
    CLOCK_HEADER,
    TENANT_HEADER,
    CallPath,
    bad_request,
    parse_call,
    parse_path,
)
from turmericmast.web.problem import Problem, refuse_request, respond
from turmericmast.web.refusals import body_too_large, misdirected, stopping
from turmericmast.web.sending import IncomingRequest

SYSTEM_PREFIX = '/-/'
"""Path prefix of requests to the entry itself."""
IDLE_TIMEOUT = 75.0
"""Seconds without a request after which a connection is closed."""
MAX_CLOCK_DIGITS = 18
"""Digits read of the clock header; the rest is ignored."""
MAX_PAGE_BODY_BYTES = 16_384
"""Largest request body in octets for a page under ``/-/``."""


@final
class Frontend(HTTPServerConnectionDelegate):
    """Accepts connections of callers, targets and monitoring."""

    def __init__(
        self, context: EntryContext, announcements: AnnouncementHandler
    ) -> None:
        """Serve calls and pages of the entry in ``context``."""
        self._context = context
        self._announcements = announcements
        self.idle_connections = IdleConnections(
            context.clock, context.metrics, context.events
        )

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the delegate that reads one request."""
        self.idle_connections.mark_idle(server_conn)
        return _RequestReader(
            self._context,
            self._announcements,
            request_conn,
            lambda: self.idle_connections.mark_active(server_conn),
        )

    def close_idle(self, older_than: float = IDLE_TIMEOUT) -> None:
        """Close connections that were idle for more than so many seconds."""
        self.idle_connections.close_expired(older_than, header_timeout=0)


@final
class _RequestReader(HTTPMessageDelegate):
    """Reads the head of a request and passes its body to a delegate."""

    def __init__(
        self,
        context: EntryContext,
        announcements: AnnouncementHandler,
        connection: HTTPConnection,
        on_head: Callable[[], object],
    ) -> None:
        self._context = context
        self._announcements = announcements
        self._connection = connection
        self._on_head = on_head
        self._delegate: HTTPMessageDelegate | None = None

    def headers_received(
        self,
        start_line: Any,
        headers: HTTPHeaders,
    ) -> None:
        """Choose the delegate or refuse the request before its body arrives."""
        self._on_head()
        clock = headers.get(CLOCK_HEADER, '')
        if clock.isdecimal():
            self._context.events.clock.update(int(clock[:MAX_CLOCK_DIGITS]))
        if start_line.path.startswith(SYSTEM_PREFIX):
            self._delegate = _Page(
                self._context,
                self._announcements,
                self._connection,
                start_line,
            )
            return
        problem = self._start_serving(start_line, headers)
        if problem:
            self._context.metrics.count(
                'calls',
                outcome=f'refused_{problem.status}',
            )
            refuse_request(
                self._connection, problem, start_line.method, headers
            )

    def data_received(self, chunk: bytes) -> Any:
        """Pass a chunk of the body to the delegate."""
        return self._delegate.data_received(chunk) if self._delegate else None

    def finish(self) -> None:
        """Tell the delegate that the body is complete."""
        if self._delegate:
            self._delegate.finish()

    def on_connection_close(self) -> None:
        """Tell the delegate that the caller disconnected."""
        if self._delegate:
            self._delegate.on_connection_close()

    def _start_serving(
        self,
        start: RequestStartLine,
        headers: HTTPHeaders,
    ) -> Problem | None:
        call_path = parse_path(start.path)
        if not isinstance(call_path, Success):
            return call_path.failure()
        return self._start_call(start, headers, call_path.unwrap())

    def _start_call(
        self,
        start: RequestStartLine,
        headers: HTTPHeaders,
        call_path: CallPath,
    ) -> Problem | None:
        """Create the exchange, or return why the call is refused."""
        entry = self._context.entry
        now = self._context.clock.now()
        values = entry.values_for(
            call_path.service,
            headers.get(TENANT_HEADER, ''),
            call_path.route,
        )
        parsed = parse_call(start, headers, call_path, values, now)
        if not isinstance(parsed, Success):
            return parsed.failure()
        request = parsed.unwrap()
        if entry.is_stopping:
            return stopping(entry, request)
        if int(headers.get('Content-Length', '0')) > values.max_body_bytes:
            return body_too_large(values)
        if not request.is_allowed_in(entry.region):
            route = entry.route(request, now)
            if route.action is RouteAction.misdirected:
                return misdirected(route.addresses)
        exchange = Exchange(
            self._context,
            self._connection,
            IncomingRequest(start, headers, request, values),
        )
        self._delegate = exchange
        if isinstance(self._connection, HTTP1Connection):
            # Tornado tells a delegate of a closed connection only while it
            # reads the body.
            self._connection.set_close_callback(exchange.on_connection_close)
        return None


@final
class _Page(HTTPMessageDelegate):
    """Serves one request under ``/-/``: addresses, health, announcements."""

    def __init__(
        self,
        context: EntryContext,
        announcements: AnnouncementHandler,
        connection: HTTPConnection,
        start: RequestStartLine,
    ) -> None:
        self._context = context
        self._announcements = announcements
        self._connection = connection
        self._start = start
        self._chunks: list[bytes] = []
        self._size = 0

    def data_received(self, chunk: bytes) -> None:
        """Buffer the body up to its largest size; drop the rest."""
        self._size += len(chunk)
        if self._size <= MAX_PAGE_BODY_BYTES:
            self._chunks.append(chunk)

    def finish(self) -> None:
        """Respond to the request once its body is complete."""
        path, _, query = self._start.path.partition('?')
        page = {
            ('GET', '/-/addresses'): self._addresses,
            ('GET', '/-/metrics'): self._metrics,
            ('GET', '/-/health'): self._health,
            ('POST', '/-/announce'): self._announce,
        }.get((self._start.method, path), self._unknown)
        page(dict(urllib.parse.parse_qsl(query)))

    def _addresses(self, query: dict[str, str]) -> None:
        service = ServiceId(query.get('service', ''))
        if not service:
            self._refuse(bad_request('service', 'add ?service=NAME'))
            return
        entry = self._context.entry
        values = entry.values_for(
            service,
            query.get('tenant', ''),
            query.get('route', ''),
        )
        addresses = entry.router.addresses(
            service,
            DomainId(query.get('domain', entry.domain)),
            values.home_regions,
            query.get('avoid', '').split(','),
        )
        self._context.metrics.count('address_answers')
        self._json(
            HTTPStatus.OK,
            {
                'service': service,
                'addresses': list(addresses),
                'weights': entry.router.weights(service, addresses),
                'ttl_ms': values.address_ttl_ms,
            },
        )

    def _metrics(self, query: dict[str, str]) -> None:
        respond(
            self._connection,
            HTTPStatus.OK,
            'OK',
            HTTPHeaders({'Content-Type': 'text/plain; version=0.0.4'}),
            self._context.metrics.render().encode(),
        )

    def _health(self, query: dict[str, str]) -> None:
        entry = self._context.entry
        has_lease = entry.lease.is_valid(self._context.clock.now())
        is_serving = has_lease and not entry.is_leaving
        self._json(
            HTTPStatus.OK if is_serving else HTTPStatus.SERVICE_UNAVAILABLE,
            {
                'instance': entry.instance,
                'lease': has_lease,
                'leaving': entry.is_leaving,
                'fleet_version': entry.version,
                'targets': sum(1 for _ in entry.ownership.targets()),
            },
        )

    def _announce(self, query: dict[str, str]) -> None:
        if self._size > MAX_PAGE_BODY_BYTES:
            self._refuse(
                bad_request(
                    'body', f'send at most {MAX_PAGE_BODY_BYTES} octets'
                ),
            )
            return
        self._announcements.handle(b''.join(self._chunks), self._json)

    def _unknown(self, query: dict[str, str]) -> None:
        self._json(
            HTTPStatus.NOT_FOUND,
            {
                'title': 'No such page',
                'detail': 'use GET /-/addresses?service=NAME, '
                'POST /-/announce, GET /-/metrics or GET /-/health',
            },
        )

    def _refuse(self, problem: Problem) -> None:
        respond(
            self._connection,
            problem.status,
            problem.reason,
            problem.headers(),
            problem.body(),
        )

    def _json(self, status: int, document: dict[str, Any]) -> None:
        respond(
            self._connection,
            status,
            'OK' if status < HTTPStatus.BAD_REQUEST else 'Refused',
            HTTPHeaders({'Content-Type': 'application/json'}),
            f'{json.dumps(document)}\n'.encode(),
        )
