"""HTTP front end of an edge: parses request headers and finds the route."""

import asyncio
import enum
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
from turmericmast.web.edgerequest import (
    EdgeRequest,
    address_problem,
    use_origin_form,
)
from turmericmast.web.firstroutes import routes_wait
from turmericmast.web.headerformat import HeaderFormat
from turmericmast.web.idle import IdleConnections
from turmericmast.web.peerheaders import Forwarding, read_forwarding
from turmericmast.web.problem import Problem, refuse_request

INSTANCE_IDLE_TIMEOUT = 60.0
"""Seconds after which an idle connection of another instance is closed.

Instances stop using it earlier, so that no request crosses the close."""
BODY_GRACE = 1.0
"""Seconds after the deadline of a request until its connection is closed.

A response is written meanwhile, if the body has not been complete in time."""
SHARE_DIGITS = 3
"""Decimal places of a service's share in the log."""
MAX_SHOWN_LENGTH = 20
"""Characters of a malformed Content-Length that a refusal repeats."""


@final
class Origin(enum.Enum):
    """Who sends the requests that arrive at a port."""

    caller = 'caller'
    instance = 'instance'
    """Another instance, which forwards requests of its callers."""


@final
class EdgeFrontend(HTTPServerConnectionDelegate):
    """Accepts connections and starts an exchange per request."""

    def __init__(
        self, context: EdgeContext, origin: Origin = Origin.caller
    ) -> None:
        """Serve requests with the edge and the clients of ``context``."""
        self._context = context
        self._origin = origin
        self.idle_connections = IdleConnections(
            context.clock, context.metrics, context.events
        )

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the delegate that receives the next request."""
        table = self._context.edge.route_table
        self.idle_connections.mark_idle(
            server_conn, table.document.limits.idle_timeout if table else 0
        )
        return _RequestReader(
            self._context,
            self.idle_connections,
            server_conn,
            request_conn,
            self._origin,
        )

    def close_idle(self) -> None:
        """Close connections that have been idle for too long.

        For callers, the route document says how long that is.
        """
        table = self._context.edge.route_table
        if table:
            limits = table.document.limits
            self.idle_connections.close_expired(
                INSTANCE_IDLE_TIMEOUT
                if self._origin is Origin.instance
                else limits.idle_timeout,
                limits.header_timeout,
            )


@final
class _RequestReader(HTTPMessageDelegate):
    """Receives the headers of a request and passes the body to an exchange."""

    def __init__(
        self,
        context: EdgeContext,
        idle_connections: IdleConnections,
        server_conn: object,
        connection: HTTPConnection,
        origin: Origin,
    ) -> None:
        self._context = context
        self._origin = origin
        self._idle_connections = idle_connections
        self._server_conn = server_conn
        self._connection = connection
        self._exchange: EdgeExchange | None = None
        self._is_closed = False
        """Whether the caller has disconnected."""
        self._deadline_timer: asyncio.TimerHandle | None = None

    def headers_received(
        self, start_line: Any, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Start the exchange or refuse, before the body is read.

        The body is read once the returned task has ended, if there is one.
        """
        self._idle_connections.mark_active(self._server_conn)
        if _is_closed(self._connection):
            # The caller has disconnected, or its connection was closed after
            # these headers were read, so a target would run it for nobody.
            self._context.metrics.count('requests', outcome='closed_unread')
            return None
        now = self._context.clock.now()
        start_line = use_origin_form(start_line, headers)
        if self._context.edge.route_table is None:
            return self._start_with_routes(start_line, headers, now)
        self._start(start_line, headers, now)
        return None

    def data_received(self, chunk: bytes) -> Any:
        """Pass a part of the body to the exchange."""
        return self._exchange.data_received(chunk) if self._exchange else None

    def finish(self) -> None:
        """Tell the exchange that the body is complete."""
        self._stop_timer()
        if self._exchange:
            self._exchange.finish()

    def on_connection_close(self) -> None:
        """Tell the exchange that the caller has disconnected."""
        self._is_closed = True
        self._stop_timer()
        if self._exchange:
            self._exchange.on_connection_close()

    def _stop_timer(self) -> None:
        if self._deadline_timer:
            self._deadline_timer.cancel()

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
        forwarding = (
            read_forwarding(headers)
            if self._origin is Origin.instance
            else None
        )
        parsed = _read_request(
            self._context, start_line, headers, received_at, forwarding
        )
        if not isinstance(parsed, Success):
            problem = address_problem(parsed.failure(), forwarding)
            self._refuse(problem, start_line, headers)
            return
        exchange = EdgeExchange(
            self._context, self._connection, parsed.unwrap()
        )
        self._exchange = exchange
        time_left = parsed.unwrap().call.deadline - self._context.clock.now()
        if _has_body(headers):
            self._deadline_timer = asyncio.get_running_loop().call_later(
                time_left, exchange.on_deadline
            )
        if isinstance(self._connection, HTTP1Connection):
            self._connection.set_body_timeout(time_left + BODY_GRACE)
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
            version=context.routes_version,
        )
        refuse_request(self._connection, problem, start_line.method, headers)


def _has_body(headers: HTTPHeaders) -> bool:
    has_length = headers.get('Content-Length', '0') != '0'
    return has_length or 'Transfer-Encoding' in headers


def _is_closed(connection: HTTPConnection) -> bool:
    return isinstance(connection, HTTP1Connection) and (
        connection.stream.closed()
    )


def _read_request(
    context: EdgeContext,
    start: RequestStartLine,
    headers: HTTPHeaders,
    received_at: Seconds,
    forwarding: Forwarding | None = None,
) -> Result[EdgeRequest, Problem]:
    """Return the request with its route and pool, or why it is refused.

    ``received_at`` is when its headers arrived; ``forwarding`` is what another
    instance told that forwarded it, whose headers are somewhat longer.
    """
    edge = context.edge
    if edge.route_table is None:
        return Failure(edgerefusals.no_routes())
    problem = _check_limits(headers, edge.route_table.document.limits)
    if problem and not forwarding:
        return Failure(problem)
    host = headers.get('Host', '')
    route = edge.find_route(host, start.path)
    wanted = forwarding.service if forwarding else None
    pool = edge.pick_pool(route, wanted) if route else None
    if route is None or pool is None:
        return Failure(edgerefusals.no_route(host))
    request = _make_request(
        context.header_format, start, headers, route, pool, received_at
    )
    if forwarding:
        request = request.forwarded(forwarding)
    elif route.is_split:
        _report_split(context, request)
    if not edge.can_finish(request.call.deadline):
        return Failure(edgerefusals.leaving())
    return Success(request)


def _report_split(context: EdgeContext, request: EdgeRequest) -> None:
    """Report which service of a split gets a request."""
    route, service = request.route.name, request.pool.service
    context.metrics.count('split_requests', route=route, service=service)
    context.events.write(
        EdgeEvent.split.value,
        request=request.request_id,
        route=route,
        service=service,
        share=round(request.route.share(service), SHARE_DIGITS),
        version=context.routes_version,
    )


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
