"""A caller's request at an edge, with its route and pool."""

import dataclasses
import re
from collections.abc import Callable, Collection
from typing import final

from tornado.httputil import HTTPHeaders, RequestStartLine

from turmericmast.account.account import (
    Account,
    Identity,
    combine_home_regions,
)
from turmericmast.balance.candidate import Requirements
from turmericmast.balance.pool import Pool
from turmericmast.call.call import CallRequest
from turmericmast.call.triedtargets import TriedTargets
from turmericmast.cluster.records import EdgeRecord, TargetRecord
from turmericmast.edge.keyadmission import KeyAdmission
from turmericmast.ids import RegionId, Seconds, TargetId
from turmericmast.route.document import Route, RouteKind
from turmericmast.web.body import METHODS_WITH_BODY, RequestBody
from turmericmast.web.headerformat import HeaderFormat
from turmericmast.web.parse import edge_request_headers
from turmericmast.web.peerheaders import Forwarding, PeerHeaders
from turmericmast.web.problem import Problem
from turmericmast.web.transfer import TransferRequest

_ABSOLUTE_FORM = re.compile('https?://([^/?#]+)(.*)', re.IGNORECASE)


@final
@dataclasses.dataclass(frozen=True)
class EdgeRequest:
    """The headers of a request with its route, pool and limits."""

    start: RequestStartLine
    headers: HTTPHeaders
    route: Route
    pool: Pool
    call: CallRequest
    request_id: str
    began_at: Seconds
    """When the headers were received."""
    forwarding: Forwarding | None = None
    """What the instance told that forwarded it; ``None`` from a caller."""
    identity: Identity | None = None
    """Who the caller is; ``None`` where the routes come without accounts."""
    admission: KeyAdmission | None = None
    """Whether its key still counts; ``None`` if it needs no key."""
    takes_new: bool = False
    """Whether the first attempt goes to the version that is rolled out."""

    @property
    def home_regions(self) -> frozenset[RegionId]:
        """Return the regions that may serve the request; all when empty."""
        return combine_home_regions(self.route.home_regions, self.identity)

    @property
    def priority(self) -> int:
        """Return the priority of the account, else that of the route."""
        account = self.identity.account if self.identity else None
        return account.priority if account else self.route.priority

    @property
    def charged_account(self) -> Account | None:
        """Return the limited account whose token the request needs.

        A forwarded request was charged where its caller sent it.
        """
        account = self.identity.account if self.identity else None
        is_charged = account and account.rate and not self.forwarding
        return account if is_charged else None

    def forwarded(self, forwarding: Forwarding) -> 'EdgeRequest':
        """Return this request as another instance has forwarded it."""
        max_attempts = min(self.call.max_attempts, forwarding.attempts_left)
        return dataclasses.replace(
            self,
            call=dataclasses.replace(self.call, max_attempts=max_attempts),
            forwarding=forwarding,
        )

    def answer_with(
        self,
        problem: Problem,
        tried: TriedTargets,
        *,
        has_reached_target: bool,
    ) -> Problem:
        """Return a problem as the sender of this request expects it."""
        return address_problem(
            dataclasses.replace(
                problem,
                has_reached_target=has_reached_target,
                tried=tried.reached,
            ),
            self.forwarding,
        )

    def requirements(self, avoid: Collection[TargetId]) -> Requirements:
        """Return the constraints on the target; ``avoid`` is excluded."""
        gate = self.pool.gate
        return Requirements(
            route=self.route.name,
            latency_goal=self.route.latency_goal,
            goal_at=Seconds(self.began_at + self.route.latency_goal),
            deadline=self.call.deadline,
            home_regions=self.home_regions,
            avoid=avoid,
            is_download=self.route.kind is RouteKind.download,
            # The sender has its own last resort, which may have ended.
            has_last_resort=not self.forwarding,
            takes_new=self.takes_new
            and (not avoid or bool(gate and gate.retries_new())),
        )

    def transfer_request(
        self,
        record: TargetRecord,
        body: RequestBody,
        resume: Callable[[], None],
        time_left: Seconds,
        header_format: HeaderFormat,
    ) -> TransferRequest:
        """Return the request to send to the target ``record``.

        ``resume`` is called when more of the body has arrived; ``time_left``
        limits the whole transfer, in seconds.
        """
        return self._request_to(
            record.address,
            body,
            resume,
            time_left,
            edge_request_headers(
                self.headers,
                header_format.replaced_headers
                | self._dropped_by_accounts(header_format),
                (
                    *header_format.target_headers(record.target, time_left),
                    *self._account_header(header_format),
                ),
            ),
        )

    def peer_request(
        self,
        peer: EdgeRecord,
        body: RequestBody,
        resume: Callable[[], None],
        time_left: Seconds,
        header_format: PeerHeaders,
    ) -> TransferRequest:
        """Return the request to forward to the instance ``peer``.

        The other arguments are those of ``transfer_request``.
        """
        return self._request_to(
            peer.peer,
            body,
            resume,
            time_left,
            edge_request_headers(
                self.headers,
                header_format.replaced_headers,
                header_format.peer_headers(time_left),
            ),
        )

    def _dropped_by_accounts(
        self, header_format: HeaderFormat
    ) -> frozenset[str]:
        """Return the headers of the caller that no target may get."""
        return header_format.account_headers if self.identity else frozenset()

    def _account_header(
        self, header_format: HeaderFormat
    ) -> tuple[tuple[str, str], ...]:
        account = self.identity.account if self.identity else None
        return header_format.name_account(account.account) if account else ()

    def _request_to(
        self,
        address: str,
        body: RequestBody,
        resume: Callable[[], None],
        time_left: Seconds,
        headers: tuple[bytes, ...],
    ) -> TransferRequest:
        has_body = body.size or self.call.method in METHODS_WITH_BODY
        length = self.headers.get('Content-Length')
        known_size = body.size if body.is_complete else -1
        return TransferRequest(
            url=f'http://{address}{self.start.path}',
            method=self.call.method,
            headers=headers,
            timeout=time_left,
            body=body.open_reader(resume) if has_body else None,
            body_size=int(length) if length else known_size,
            name=self.request_id,
        )


def address_problem(problem: Problem, forwarding: Forwarding | None) -> Problem:
    """Return a problem marked for the instance that forwarded the request.

    It is unchanged if ``forwarding`` is ``None``.
    """
    if forwarding is None:
        return problem
    return dataclasses.replace(problem, forwarded_call=forwarding.call)


def use_origin_form(
    start: RequestStartLine, headers: HTTPHeaders
) -> RequestStartLine:
    """Return the start line with the path alone.

    The host in an absolute request target takes the place of the ``Host``
    header (RFC 9112, 3.2.2).
    """
    absolute = _ABSOLUTE_FORM.fullmatch(start.path)
    if absolute is None:
        return start
    host, path = absolute.groups()
    headers['Host'] = host
    return start._replace(path=path if path[:1] == '/' else f'/{path}')
