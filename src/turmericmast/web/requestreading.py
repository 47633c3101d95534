"""Reads the headers of a request: limits, route, account and service."""

import itertools
import secrets

from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders, RequestStartLine

from turmericmast.account.account import Identity
from turmericmast.call.call import CallRequest
from turmericmast.edge.keyadmission import KeyAdmission, KeyObstacle
from turmericmast.ids import (
    CallId,
    RequestKey,
    Seconds,
    ServiceId,
    TenantId,
)
from turmericmast.numerals import parse_whole
from turmericmast.route.document import Route, RouteLimits
from turmericmast.web import accountrefusals, edgerefusals
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgeevents import EdgeEvent
from turmericmast.web.edgerequest import EdgeRequest
from turmericmast.web.headerformat import RequestMetadata
from turmericmast.web.peerheaders import Forwarding
from turmericmast.web.problem import Problem

SHARE_DIGITS = 3
"""Decimal places of a service's share in the log."""
MIN_LINE_BYTES = 4
"""Bytes of the shortest header line, so that a head has no more lines.

Each line needs far more memory than its text."""
FORWARDED_BYTES = 16_384
"""Bytes that the headers of another instance may add to a head."""
MAX_SHOWN_LENGTH = 20
"""Characters of a malformed Content-Length that a refusal repeats."""


def read_request(
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
    problem = _check_limits(
        headers,
        edge.route_table.document.limits,
        FORWARDED_BYTES if forwarding else 0,
    )
    if problem:
        return Failure(problem)
    host = headers.get('Host', '')
    route = edge.find_route(host, start.path)
    if route is None:
        return Failure(edgerefusals.no_route(host))
    metadata = context.header_format.read_request(headers)
    identity = _identify(context, metadata, route, forwarding)
    if not isinstance(identity, Success):
        return Failure(identity.failure())
    pool = edge.pick_pool(route, forwarding.service if forwarding else None)
    if pool is None:
        return Failure(edgerefusals.no_route(host))
    request = EdgeRequest(
        start=start,
        headers=headers,
        route=route,
        pool=pool,
        call=_make_call(start, route, pool.service, metadata, received_at),
        request_id=metadata.request_id,
        began_at=received_at,
        identity=identity.unwrap(),
        admission=_admit(context, metadata, identity.unwrap(), received_at),
        takes_new=pool.gate is not None
        and pool.gate.draw_new(context.clock.now()),
    )
    return _accept(context, request, forwarding)


def _identify(
    context: EdgeContext,
    metadata: RequestMetadata,
    route: Route,
    forwarding: Forwarding | None,
) -> Result[Identity | None, Problem]:
    """Return who the caller is, or why its request is refused.

    ``None`` where there are no accounts. An instance that may lack the newest
    version knows neither which keys are valid nor which are not. The instance
    that forwarded a request may have a newer version of the accounts, so that
    it is not rejected.
    """
    table = context.edge.route_table
    accounts = table.document.accounts if table else None
    if accounts is None:
        return Success(None)
    if route.is_public:
        return Success(Identity())
    if not context.edge.key_fence.admits(context.clock.now()):
        context.metrics.count('keys_refused', reason=KeyObstacle.stale.value)
        return Failure(accountrefusals.stale_accounts())
    account = accounts.find(metadata.keys)
    if account:
        return Success(Identity(account))
    context.metrics.count('keys_refused', reason='unknown')
    return Failure(
        accountrefusals.unconfirmed_key()
        if forwarding
        else accountrefusals.unknown_key()
    )


def _admit(
    context: EdgeContext,
    metadata: RequestMetadata,
    identity: Identity | None,
    received_at: Seconds,
) -> KeyAdmission | None:
    """Return the check of a request on a key, ``None`` if it needs none."""
    account = identity.account if identity else None
    if account is None:
        return None
    return KeyAdmission(
        context.edge.key_fence, account, metadata.keys[0], received_at
    )


def _accept(
    context: EdgeContext, request: EdgeRequest, forwarding: Forwarding | None
) -> Result[EdgeRequest, Problem]:
    """Return a request as its sender meant it, unless this instance leaves."""
    if forwarding:
        request = request.forwarded(forwarding)
    elif request.route.is_split:
        _report_split(context, request)
    if not context.edge.can_finish(request.call.deadline):
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


def _check_limits(
    headers: HTTPHeaders, limits: RouteLimits, added: int = 0
) -> Problem | None:
    """Return the problem for sizes that are malformed or exceed the limits.

    ``added`` bytes of the head are of another instance.
    """
    lines = tuple(headers.get_all())
    size = sum(map(len, itertools.chain.from_iterable(lines)))
    most = limits.header_bytes + added
    if max(size, len(lines) * MIN_LINE_BYTES) > most:
        return edgerefusals.headers_too_large(limits.header_bytes)
    text = headers.get('Content-Length', '0')
    length = parse_whole(text)
    if length is None:
        return edgerefusals.bad_content_length(text[:MAX_SHOWN_LENGTH])
    if length > limits.body_bytes:
        return edgerefusals.body_too_large(limits.body_bytes)
    return None


def _make_call(
    start: RequestStartLine,
    route: Route,
    service: ServiceId,
    metadata: RequestMetadata,
    received_at: Seconds,
) -> CallRequest:
    caller_timeout = (
        route.timeout
        if metadata.caller_timeout is None
        else metadata.caller_timeout
    )
    return CallRequest(
        call=CallId(secrets.token_hex(8)),
        service=service,
        method=start.method,
        path=start.path,
        tenant=TenantId(''),
        key=RequestKey(''),
        deadline=Seconds(received_at + min(caller_timeout, route.timeout)),
        home_regions=tuple(route.home_regions),
        repeatable=route.kind.is_repeatable,
        max_attempts=route.max_attempts,
    )
