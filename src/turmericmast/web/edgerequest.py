"""A request of a caller as an edge has understood it."""

import dataclasses
from typing import final

from tornado.httputil import HTTPHeaders, RequestStartLine

from turmericmast.balance.pool import Pool
from turmericmast.call.call import CallRequest
from turmericmast.ids import Seconds
from turmericmast.route.document import Route


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
