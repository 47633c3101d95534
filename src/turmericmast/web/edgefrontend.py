"""HTTP front end of an edge: parses request headers and finds the route."""

import asyncio
import enum
from collections.abc import Awaitable
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

from turmericmast.ids import CallId, Seconds
from turmericmast.web.bodypace import BodyPace
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgeevents import EdgeEvent, describe_problem
from turmericmast.web.edgeexchange import EdgeExchange
from turmericmast.web.edgerequest import (
    EdgeRequest,
    address_problem,
    use_origin_form,
)
from turmericmast.web.firstroutes import routes_wait
from turmericmast.web.idle import IdleConnections
from turmericmast.web.peerheaders import read_forwarding
from turmericmast.web.problem import Problem, refuse_request
from turmericmast.web.requestreading import read_request
from turmericmast.web.uploadadmission import UploadAdmission

INSTANCE_IDLE_TIMEOUT = 60.0
"""Seconds after which an idle connection of another instance is closed.

Instances stop using it earlier, so that no request crosses the close."""
BODY_GRACE = 1.0
"""Seconds after the deadline of a request until its connection is closed.

A response is written meanwhile, if the body has not been complete in time."""


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
        self._upload: CallId | None = None
        """The call of an upload that was admitted, or waits."""
        self._pace = BodyPace(context.curl.link_pace)
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
        return self._start(start_line, headers, now)

    def data_received(self, chunk: bytes) -> Any:
        """Pass a part of the body to the exchange."""
        if self._exchange and self._context.curl.link_pace.is_limited:
            return self._pass_on(self._exchange, chunk)
        return self._exchange.data_received(chunk) if self._exchange else None

    def finish(self) -> None:
        """Tell the exchange that the body is complete."""
        self._stop_timer()
        self._end_upload()
        if self._exchange:
            self._exchange.finish()

    def on_connection_close(self) -> None:
        """Tell the exchange that the caller has disconnected."""
        self._is_closed = True
        self._stop_timer()
        self._end_upload()
        if self._exchange:
            self._exchange.on_connection_close()

    async def _pass_on(self, exchange: EdgeExchange, chunk: bytes) -> None:
        """Pass on a part of the body at the pace of the link."""
        # Nothing is waited for behind the last part: a response that is
        # written before the body has ended closes the connection.
        await self._pace.wait()
        self._pace.pass_on(len(chunk))
        if self._upload:
            self._context.uploads.pass_on(self._upload, len(chunk))
        await exchange.data_received(chunk)

    def _end_upload(self) -> None:
        if self._upload:
            self._context.uploads.end(self._upload)

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
            admission = self._start(start_line, headers, received_at)
            if admission:
                await admission

    def _start(
        self, start_line: Any, headers: HTTPHeaders, received_at: Seconds
    ) -> Awaitable[None] | None:
        """Start the exchange, or return what does so later; or refuse."""
        forwarding = (
            read_forwarding(headers)
            if self._origin is Origin.instance
            else None
        )
        parsed = read_request(
            self._context, start_line, headers, received_at, forwarding
        )
        if not isinstance(parsed, Success):
            problem = address_problem(parsed.failure(), forwarding)
            self._refuse(problem, start_line, headers)
            return None
        incoming = parsed.unwrap()
        admission = UploadAdmission(self._context, incoming)
        if admission.is_needed:
            return self._admit(admission, incoming)
        self._begin(incoming)
        return None

    async def _admit(
        self, admission: UploadAdmission, incoming: EdgeRequest
    ) -> None:
        """Start the exchange of an upload once a target has room, or refuse."""
        if isinstance(self._connection, HTTP1Connection):
            # Tornado watches the connection only after this method.
            self._connection.stream.set_close_callback(self.on_connection_close)
        self._upload = incoming.call.call
        problem = await admission.find_problem()
        if self._is_closed:
            self._end_upload()
        elif problem:
            self._refuse(
                address_problem(problem, incoming.forwarding),
                incoming.start,
                incoming.headers,
            )
        else:
            self._begin(incoming)

    def _begin(self, incoming: EdgeRequest) -> None:
        exchange = EdgeExchange(self._context, self._connection, incoming)
        self._exchange = exchange
        time_left = incoming.call.deadline - self._context.clock.now()
        if _has_body(incoming.headers):
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
