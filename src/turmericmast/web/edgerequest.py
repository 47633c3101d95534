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
from turmericmast.web.body import METHODS_WITH_BODY, Body
from turmericmast.web.headerformat import HeaderFormat
from turmericmast.web.parse import forwarded_headers
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

    def transfer_request(
        self,
        record: TargetRecord,
        body: Body,
        resume: Callable[[], None],
        time_left: Seconds,
        header_format: HeaderFormat,
    ) -> TransferRequest:
        """Return the request as it goes to a target."""
        has_body = body.size or self.call.method in METHODS_WITH_BODY
        length = self.headers.get('Content-Length')
        whole = body.size if body.is_complete else -1
        return TransferRequest(
            url=f'http://{record.address}{self.start.path}',
            method=self.call.method,
            headers=forwarded_headers(
                self.headers,
                header_format.replaced_headers,
                header_format.target_headers(record.target, time_left),
            ),
            timeout=time_left,
            body=body.reader(resume) if has_body else None,
            body_size=int(length) if length else whole,
        )
