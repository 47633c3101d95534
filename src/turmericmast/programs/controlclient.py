"""Blocking HTTP client of the operators' API of a control group."""

import dataclasses
import json
import time
from collections.abc import Mapping
from http import HTTPStatus
from io import BytesIO
from typing import Any, TypeAlias, final

import pycurl
from returns.result import Failure, Result, Success

from turmericmast.exceptions import (
    RefusedError,
    TurmericmastError,
    WireError,
)
from turmericmast.ids import RegionId
from turmericmast.settings import Settings

REQUEST_TIMEOUT_MS = 6000
"""Milliseconds for one request to one member.

A leader takes up to 1.5 s to commit a change, then waits up to 4.5 s for the
entries to apply it.
"""
POLL_INTERVAL = 0.3
"""Seconds between two rounds of requests, and between two polls."""

ASK_STEP = 'ask control'
"""Step of an error that a request to a control group met."""
NO_ANSWER_HINT = (
    'check that most control members of the region are running, '
    'then send the same change again with --change'
)
"""What to do if no member of a control group answers."""

OperationResult: TypeAlias = Result[dict[str, Any], TurmericmastError]
"""The JSON document that answers a request, or an error."""


@final
@dataclasses.dataclass(frozen=True)
class ControlClient:
    """Sends requests to the control group of one region."""

    settings: Settings
    region: RegionId
    wait: float
    """Seconds during which a request is retried."""

    def request(
        self,
        method: str,
        path: str,
        document: Mapping[str, Any] | None = None,
    ) -> OperationResult:
        """Send a request to each member in turn until the leader answers.

        A ``RefusedError`` is returned at once. All other errors are retried
        for ``wait`` seconds, then the last one is returned.
        """
        deadline = time.monotonic() + self.wait
        addresses = [
            member_settings.http
            for member_settings in self.settings.region_by_id[
                self.region
            ].control
            if not member_settings.witness
        ]
        answer: OperationResult = Failure(
            WireError(
                'no answer',
                step=ASK_STEP,
                peer=self.region,
                hint=NO_ANSWER_HINT,
            )
        )
        while time.monotonic() < deadline:
            for address in addresses:
                answer = request_document(
                    address, method, path, document, hint=NO_ANSWER_HINT
                )
                is_final = isinstance(answer, Success) or isinstance(
                    answer.failure(),
                    RefusedError,
                )
                if is_final:
                    return answer
            time.sleep(POLL_INTERVAL)
        return answer


def request_document(
    address: str,
    method: str,
    path: str,
    document: Mapping[str, Any] | None = None,
    *,
    hint: str,
    step: str = ASK_STEP,
) -> OperationResult:
    """Send one request to ``address``; return the JSON document it answers.

    ``hint`` tells the operator what to do if there is no answer, ``step`` what
    was done then.
    """
    body = BytesIO()
    handle = pycurl.Curl()
    handle.setopt(pycurl.URL, f'http://{address}{path}')
    handle.setopt(pycurl.CUSTOMREQUEST, method)
    handle.setopt(pycurl.PROXY, '')
    handle.setopt(pycurl.TIMEOUT_MS, REQUEST_TIMEOUT_MS)
    handle.setopt(pycurl.WRITEDATA, body)
    if document is not None:
        handle.setopt(pycurl.POSTFIELDS, json.dumps(document))
    try:
        handle.perform()
    except pycurl.error as error:
        return Failure(
            WireError(error.args[1], step=step, peer=address, hint=hint)
        )
    status = handle.getinfo(pycurl.RESPONSE_CODE)
    handle.close()
    return _parse_answer(address, status, body.getvalue(), step)


def _parse_answer(
    address: str, status: int, body: bytes, step: str
) -> OperationResult:
    try:
        document = json.loads(body)
    except ValueError:
        document = {'error': f'status {status} without a JSON document'}
    if status == HTTPStatus.OK:
        return Success(document)
    error_class = (
        WireError
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR
        else RefusedError
    )
    return Failure(
        error_class(
            document.get('error', f'status {status}'),
            step=document.get('step') or step,
            peer=address,
            hint=document.get('hint', ''),
        ),
    )
