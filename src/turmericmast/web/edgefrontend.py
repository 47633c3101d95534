"""HTTP front end of an edge: parses request headers and finds the route."""

import itertools
import secrets
from collections.abc import Awaitable
from typing import Any, final

from returns.result import Failure, Result, Success
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
)

from turmericmast.balance.pool import Pool
from turmericmast.call.call import CallRequest
from turmericmast.ids import CallId, RequestKey, Seconds, TenantId
from turmericmast.numerals import parse_whole
from turmericmast.route.document import Route, RouteLimits
from turmericmast.web import edgerefusals
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgeevents import EdgeEvent, describe_problem
from turmericmast.web.edgeexchange import EdgeExchange
from turmericmast.web.edgerequest import EdgeRequest
from turmericmast.web.firstroutes import routes_wait
from turmericmast.web.headerformat import HeaderFormat
from turmericmast.web.idle import IdleConnections
from turmericmast.web.openrequests import OpenRequests
from turmericmast.web.problem import Problem, refuse_request

MAX_SHOWN_LENGTH = 20
"""Characters of a malformed Content-Length that a refusal repeats."""


@final
class EdgeFrontend(HTTPServerConnectionDelegate):
    """Accepts connections of callers and starts an exchange per request."""

    def __init__(self, context: EdgeContext) -> None:
        """Serve requests with the edge and the clients of ``context``."""
        self._context = context
        self.idle_connections = IdleConnections(context.clock, context.metrics)
        self.open_requests = OpenRequests()

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the delegate that receives the next request."""
        self.idle_connections.mark_idle(server_conn)
        self.open_requests.end(server_conn)
        return _RequestReader(self._context, self, server_conn, request_conn)

    def close_idle(self) -> None:
        """Close connections idle for longer than the route document allows."""
        table = self._context.edge.route_table
        if table:
            self.idle_connections.close_older(
                table.document.limits.idle_timeout
            )


@final
class _RequestReader(HTTPMessageDelegate):
    """Receives the headers of a request and passes the body to an exchange."""

    def __init__(
        self,
        context: EdgeContext,
        frontend: EdgeFrontend,
        server_conn: object,
        connection: HTTPConnection,
    ) -> None:
        self._context = context
        self._frontend = frontend
        self._server_conn = server_conn
        self._connection = connection
        self._exchange: EdgeExchange | None = None
        self._is_closed = False
        """Whether the caller has disconnected."""

    def headers_received(
        self, start_line: Any, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Start the exchange or refuse, before the body is read.

        The body is read once the returned task has ended, if there is one.
        """
        self._frontend.idle_connections.mark_active(self._server_conn)
        self._frontend.open_requests.begin(self._server_conn)
        if _is_closed(self._connection):
            # Closed as idle after these headers were read: the caller sees a
            # closed connection, so its request must not be sent to a target.
            self._context.metrics.count('requests', outcome='closed_unread')
            return None
        now = self._context.clock.now()
        if self._context.edge.route_table is None:
            return self._start_with_routes(start_line, headers, now)
        self._start(start_line, headers, now)
        return None

    def data_received(self, chunk: bytes) -> Any:
        """Pass a part of the body to the exchange."""
        return self._exchange.data_received(chunk) if self._exchange else None

    def finish(self) -> None:
        """Tell the exchange that the body is complete."""
        if self._exchange:
            self._exchange.finish()

    def on_connection_close(self) -> None:
        """Tell the exchange that the caller has disconnected."""
        self._is_closed = True
        if self._exchange:
            self._exchange.on_connection_close()

    async def _start_with_routes(
        self, start_line: Any, headers: HTTPHeaders, received_at: Seconds
    ) -> None:
        """Start the exchange once the first routes are known, or refuse."""
        metadata = self._context.header_format.read_request(headers)
        if isinstance(self._connection, HTTP1Connection):
            # Tornado watches the connection only after this method.
            self._connection.stream.set_close_callback(self.on_connection_close)
        await self._context.first_routes.wait(
            routes_wait(metadata.caller_timeout)
        )
        if not self._is_closed:
            self._start(start_line, headers, received_at)

    def _start(
        self, start_line: Any, headers: HTTPHeaders, received_at: Seconds
    ) -> None:
        parsed = _read_request(self._context, start_line, headers, received_at)
        if not isinstance(parsed, Success):
            self._refuse(parsed.failure(), start_line, headers)
            return
        exchange = EdgeExchange(
            self._context, self._connection, parsed.unwrap()
        )
        self._exchange = exchange
        if isinstance(self._connection, HTTP1Connection):
            # Tornado calls on_connection_close() only while it reads the body.
            self._connection.set_close_callback(exchange.on_connection_close)

    def _refuse(
        self,
        problem: Problem,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
    ) -> None:
        context = self._context
        context.metrics.count('requests', outcome=f'refused_{problem.status:d}')
        context.events.write(
            EdgeEvent.refused.value,
            request=context.header_format.read_request(headers).request_id,
            method=start_line.method,
            **describe_problem(problem),
            cluster_index=context.edge.index,
        )
        refuse_request(self._connection, problem, headers)


def _is_closed(connection: HTTPConnection) -> bool:
    return isinstance(connection, HTTP1Connection) and (
        connection.stream.closed()
    )


def _read_request(
    context: EdgeContext,
    start: RequestStartLine,
    headers: HTTPHeaders,
    received_at: Seconds,
) -> Result[EdgeRequest, Problem]:
    """Return the request with its route and pool, or why it is refused.

    ``received_at`` is when its headers arrived.
    """
    edge = context.edge
    if edge.route_table is None:
        return Failure(edgerefusals.no_routes())
    problem = _check_limits(headers, edge.route_table.document.limits)
    if problem:
        return Failure(problem)
    host = headers.get('Host', '')
    route = edge.find_route(host, start.path)
    pool = edge.pick_pool(route) if route else None
    if route is None or pool is None:
        return Failure(edgerefusals.no_route(host))
    request = _make_request(
        context.header_format, start, headers, route, pool, received_at
    )
    if not edge.can_finish(request.call.deadline):
        return Failure(edgerefusals.leaving())
    return Success(request)


def _check_limits(headers: HTTPHeaders, limits: RouteLimits) -> Problem | None:
    """Return the problem for sizes that are malformed or exceed the limits."""
    size = sum(map(len, itertools.chain.from_iterable(headers.get_all())))
    if size > limits.header_bytes:
        return edgerefusals.headers_too_large(limits.header_bytes)
    text = headers.get('Content-Length', '0')
    length = parse_whole(text)
    if length is None:
        return edgerefusals.bad_content_length(text[:MAX_SHOWN_LENGTH])
    if length > limits.body_bytes:
        return edgerefusals.body_too_large(limits.body_bytes)
    return None


def _make_request(
    header_format: HeaderFormat,
    start: RequestStartLine,
    headers: HTTPHeaders,
    route: Route,
    pool: Pool,
    received_at: Seconds,
) -> EdgeRequest:
    metadata = header_format.read_request(headers)
    caller_timeout = (
        route.timeout
        if metadata.caller_timeout is None
        else metadata.caller_timeout
    )
    return EdgeRequest(
        start=start,
        headers=headers,
        route=route,
        pool=pool,
        call=CallRequest(
            call=CallId(secrets.token_hex(8)),
            service=pool.service,
            method=start.method,
            path=start.path,
            tenant=TenantId(''),
            key=RequestKey(''),
            deadline=Seconds(received_at + min(caller_timeout, route.timeout)),
            home_regions=tuple(route.home_regions),
            repeatable=route.kind.is_repeatable,
            max_attempts=route.max_attempts,
        ),
        request_id=metadata.request_id,
        began_at=received_at,
    )
