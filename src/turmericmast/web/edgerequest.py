"""A request of a caller as an edge has understood it."""

import dataclasses
from collections.abc import Callable, Collection
from typing import final

from tornado.httputil import HTTPHeaders, RequestStartLine

from turmericmast.balance.pool import Pool, Requirements
from turmericmast.call.call import CallRequest
from turmericmast.cluster.records import TargetRecord
from turmericmast.ids import Seconds, TargetId
from turmericmast.route.document import Route
from turmericmast.web.body import METHODS_WITH_BODY, RequestBody
from turmericmast.web.dialect import Dialect
from turmericmast.web.parse import edge_request_headers
from turmericmast.web.transfer import TransferRequest


@final
@dataclasses.dataclass(frozen=True)
class EdgeRequest:
    """A request as it arrived, with its route."""

    start: RequestStartLine
    headers: HTTPHeaders
    route: Route
    pool: Pool
    call: CallRequest
    request_id: str
    began_at: Seconds

    def requirements(self, avoid: Collection[TargetId]) -> Requirements:
        """Return what the request needs of a target that is none of some."""
        return Requirements(
            route=self.route.name,
            goal_at=Seconds(self.began_at + self.route.latency_goal),
            deadline=self.call.deadline,
            home_regions=self.route.home_regions,
            avoid=avoid,
        )

    def onward(
        self,
        record: TargetRecord,
        body: RequestBody,
        resume: Callable[[], None],
        left: Seconds,
        dialect: Dialect,
    ) -> TransferRequest:
        """Return the request as it goes to a target."""
        has_body = body.size or self.call.method in METHODS_WITH_BODY
        length = self.headers.get('Content-Length')
        whole = body.size if body.is_complete else -1
        return TransferRequest(
            url=f'http://{record.address}{self.start.path}',
            method=self.call.method,
            headers=edge_request_headers(
                self.headers,
                dialect.own_names,
                dialect.onward(record.target, left),
            ),
            timeout=left,
            body=body.open_reader(resume) if has_body else None,
            body_size=int(length) if length else whole,
        )
