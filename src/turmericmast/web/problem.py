"""Errors to callers, as problem details in JSON."""

import dataclasses
import http
import json
from typing import final

from tornado.httputil import HTTPConnection, HTTPHeaders, ResponseStartLine

from turmericmast.call.call import Ran

RAN_HEADER = 'Turmericmast-Ran'


@final
@dataclasses.dataclass(frozen=True)
class Problem:
    """What went wrong, where, whether the request ran, what to do."""

    status: int
    title: str
    detail: str
    step: str
    ran: Ran
    peer: str = ''
    retry_after_ms: int = 0
    addresses: tuple[str, ...] = ()

    def body(self) -> bytes:
        """Return the JSON document."""
        document = {
            'type': 'about:blank',
            'status': self.status,
            'title': self.title,
            'detail': self.detail,
            'step': self.step,
            'peer': self.peer,
            'ran': self.ran.value,
        }
        if self.retry_after_ms:
            document['retry_after_ms'] = self.retry_after_ms
        if self.addresses:
            document['addresses'] = list(self.addresses)
        return f'{json.dumps(document)}\n'.encode()

    def headers(self) -> HTTPHeaders:
        """Return the headers that go with the document."""
        headers = HTTPHeaders(
            {
                'Content-Type': 'application/problem+json',
                RAN_HEADER: self.ran.value,
            },
        )
        if self.retry_after_ms:
            headers['Retry-After'] = str(-(-self.retry_after_ms // 1000))
        return headers

    @property
    def reason(self) -> str:
        """Return the reason phrase."""
        return http.HTTPStatus(self.status).phrase


def respond(
    connection: HTTPConnection,
    status: int,
    reason: str,
    headers: HTTPHeaders,
    body: bytes,
    *,
    is_head: bool = False,
) -> None:
    """Send a whole answer; only its headers when ``is_head``."""
    headers['Content-Length'] = str(len(body))
    start = ResponseStartLine('HTTP/1.1', status, reason)
    connection.write_headers(start, headers, b'' if is_head else body)
    connection.finish()
