"""How an operator's command reaches the leader of a region."""

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

ASK_TIMEOUT_MS = 6000
PAUSE = 0.3

Answer: TypeAlias = Result[dict[str, Any], TurmericmastError]


@final
@dataclasses.dataclass(frozen=True)
class Operator:
    """Asks the control group of one region."""

    settings: Settings
    region: RegionId
    wait: float
    """Seconds to go on asking."""

    def ask(
        self,
        method: str,
        path: str,
        document: Mapping[str, Any] | None = None,
    ) -> Answer:
        """Ask each replica until the leader answers or time is over."""
        deadline = time.monotonic() + self.wait
        addresses = [
            one.http
            for one in self.settings.region_by_id[self.region].control
            if not one.witness
        ]
        answer: Answer = Failure(self._silent(''))
        while time.monotonic() < deadline:
            for address in addresses:
                answer = self._ask_one(address, method, path, document)
                is_final = isinstance(answer, Success) or isinstance(
                    answer.failure(),
                    RefusedError,
                )
                if is_final:
                    return answer
            time.sleep(PAUSE)
        return answer

    def _ask_one(
        self,
        address: str,
        method: str,
        path: str,
        document: Mapping[str, Any] | None,
    ) -> Answer:
        received = BytesIO()
        handle = pycurl.Curl()
        handle.setopt(pycurl.URL, f'http://{address}{path}')
        handle.setopt(pycurl.CUSTOMREQUEST, method)
        handle.setopt(pycurl.PROXY, '')
        handle.setopt(pycurl.TIMEOUT_MS, ASK_TIMEOUT_MS)
        handle.setopt(pycurl.WRITEDATA, received)
        if document is not None:
            handle.setopt(pycurl.POSTFIELDS, json.dumps(document))
        try:
            handle.perform()
        except pycurl.error as error:
            return Failure(self._silent(address, error.args[1]))
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        handle.close()
        return _read_answer(address, status, received.getvalue())

    def _silent(self, address: str, found: str = 'no answer') -> WireError:
        return WireError(
            found,
            step='ask control',
            peer=address or self.region,
            hint='look whether most control processes of the region run, '
            'then send the same change again with --change',
        )


def _read_answer(address: str, status: int, octets: bytes) -> Answer:
    try:
        document = json.loads(octets)
    except ValueError:
        document = {'error': f'status {status} without a document'}
    if status == HTTPStatus.OK:
        return Success(document)
    kind = (
        WireError
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR
        else RefusedError
    )
    return Failure(
        kind(
            document.get('error', f'status {status}'),
            step=document.get('step') or 'ask control',
            peer=address,
            hint=document.get('hint', ''),
        ),
    )
