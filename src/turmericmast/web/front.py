"""The HTTP front end of an entry: calls, and the system's own pages."""

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
from turmericmast.web.announcing import Announcing
from turmericmast.web.desk import Desk
from turmericmast.web.exchange import Exchange
from turmericmast.web.idle import IdleConnections
from turmericmast.web.parse import (
    CLOCK,
    TENANT,
    Address,
    bad_request,
    parse_address,
    parse_call,
)
from turmericmast.web.problem import Problem, refuse_request, respond
from turmericmast.web.refusals import misdirected, too_large
from turmericmast.web.sending import Incoming

SYSTEM_PREFIX = '/-/'
IDLE_TIMEOUT = 75.0
"""Seconds without a request after which a connection is closed."""
MAX_CLOCK_DIGITS = 18
MAX_PAGE_BODY = 16_384
"""Largest body of a request to the system itself."""


@final
class Front(HTTPServerConnectionDelegate):
    """Accepts connections of callers and targets."""

    def __init__(self, desk: Desk, announcing: Announcing) -> None:
        """Serve calls through ``desk``."""
        self._desk = desk
        self._announcing = announcing
        self._idle = IdleConnections(desk.clock, desk.metrics)

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the reader of one request."""
        self._idle.mark_idle(server_conn)
        return _Reader(
            self._desk,
            self._announcing,
            request_conn,
            lambda: self._idle.mark_active(server_conn),
        )

    def on_close(self, server_conn: object) -> None:
        """Forget a connection."""
        self._idle.mark_active(server_conn)

    def close_idle(self, older_than: float = IDLE_TIMEOUT) -> None:
        """Close connections that were idle for longer, in seconds."""
        self._idle.close_older(older_than)


@final
class _Reader(HTTPMessageDelegate):
    """Reads the head of a request and hands the rest to whoever serves it."""

    def __init__(
        self,
        desk: Desk,
        announcing: Announcing,
        connection: HTTPConnection,
        on_head: Callable[[], object],
    ) -> None:
        self._desk = desk
        self._announcing = announcing
        self._connection = connection
        self._on_head = on_head
        self._delegate: HTTPMessageDelegate | None = None

    def headers_received(
        self,
        start_line: Any,
        headers: HTTPHeaders,
    ) -> None:
        """Decide who serves the request, before its body arrives."""
        self._on_head()
        clock = headers.get(CLOCK, '')
        if clock.isdecimal():
            self._desk.events.clock.update(int(clock[:MAX_CLOCK_DIGITS]))
        if start_line.path.startswith(SYSTEM_PREFIX):
            self._delegate = _Page(
                self._desk,
                self._announcing,
                self._connection,
                start_line,
            )
            return
        problem = self._begin(start_line, headers)
        if problem:
            self._desk.metrics.count(
                'calls',
                outcome=f'refused_{problem.status}',
            )
            refuse_request(self._connection, problem, headers)

    def data_received(self, chunk: bytes) -> Any:
        """Pass on octets of the body."""
        return self._delegate.data_received(chunk) if self._delegate else None

    def finish(self) -> None:
        """Pass on the end of the body."""
        if self._delegate:
            self._delegate.finish()

    def on_connection_close(self) -> None:
        """Pass on that the caller is gone."""
        if self._delegate:
            self._delegate.on_connection_close()

    def _begin(
        self,
        start: RequestStartLine,
        headers: HTTPHeaders,
    ) -> Problem | None:
        address = parse_address(start.path)
        if not isinstance(address, Success):
            return address.failure()
        return self._begin_call(start, headers, address.unwrap())

    def _begin_call(
        self,
        start: RequestStartLine,
        headers: HTTPHeaders,
        address: Address,
    ) -> Problem | None:
        entry = self._desk.entry
        now = self._desk.clock.now()
        values = entry.values_for(
            address.service,
            headers.get(TENANT, ''),
            address.route,
        )
        parsed = parse_call(start, headers, address, values, now)
        if not isinstance(parsed, Success):
            return parsed.failure()
        request = parsed.unwrap()
        if int(headers.get('Content-Length', '0')) > values.max_body_bytes:
            return too_large(values)
        if not request.is_allowed_in(entry.region):
            route = entry.route(request, now)
            if route.action is RouteAction.misdirected:
                return misdirected(route.addresses)
        exchange = Exchange(
            self._desk,
            self._connection,
            Incoming(start, headers, request, values),
        )
        self._delegate = exchange
        if isinstance(self._connection, HTTP1Connection):
            # The delegate itself is told only while the body is read.
            self._connection.set_close_callback(exchange.on_connection_close)
        return None


@final
class _Page(HTTPMessageDelegate):
    """Serves one request to the system itself."""

    def __init__(
        self,
        desk: Desk,
        announcing: Announcing,
        connection: HTTPConnection,
        start: RequestStartLine,
    ) -> None:
        self._desk = desk
        self._announcing = announcing
        self._connection = connection
        self._start = start
        self._chunks: list[bytes] = []
        self._size = 0

    def data_received(self, chunk: bytes) -> None:
        """Keep the body while it is small."""
        self._size += len(chunk)
        if self._size <= MAX_PAGE_BODY:
            self._chunks.append(chunk)

    def finish(self) -> None:
        """Answer."""
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
        entry = self._desk.entry
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
        self._desk.metrics.count('address_answers')
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
            self._desk.metrics.render().encode(),
        )

    def _health(self, query: dict[str, str]) -> None:
        entry = self._desk.entry
        has_lease = entry.lease.is_valid(self._desk.clock.now())
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
        if self._size > MAX_PAGE_BODY:
            self._refuse(
                bad_request('body', f'send at most {MAX_PAGE_BODY} octets'),
            )
            return
        self._announcing.take(b''.join(self._chunks), self._json)

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
