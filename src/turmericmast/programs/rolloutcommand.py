"""``turmericmast-rollout``: orders, shows and follows rollouts."""

import asyncio
import http
import json
import sys
import time
from collections.abc import Callable, Sequence
from typing import Any, final

from absl import app
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from turmericmast.exceptions import (
    RefusedError,
    TurmericmastError,
    WireError,
)

USAGE = """usage: turmericmast-rollout MEMBER order SERVICE VERSION SECONDS
       turmericmast-rollout MEMBER show SERVICE
       turmericmast-rollout MEMBER follow SERVICE
MEMBER is the operators' address of a core member, such as http://10.0.0.1:80
"""
ORDER_SECONDS = 4.0
"""Seconds for which an order is sent again while it is not acknowledged."""
RETRY_INTERVAL = 0.3
"""Seconds between two attempts, and between two states that are followed."""
REQUEST_TIMEOUT = 3.0
"""Seconds for one attempt."""

Write = Callable[[str], object]
"""Writes text to the operator's terminal."""


@final
class RolloutClient:
    """Sends orders to one core member, and reads the states of rollouts."""

    def __init__(self, member: str) -> None:
        """Use the member at the address ``member``, with ``http://``."""
        self._url = f'{member.rstrip("/")}/-/rollouts'
        self._member = member

    async def order(
        self, service: str, version: str, duration: str
    ) -> Result[dict[str, Any], TurmericmastError]:
        """Order a rollout; send it again until it is acknowledged."""
        body = (
            f'{{"service": {json.dumps(service)}, "target_version": '
            f'{json.dumps(version)}, "duration_s": {duration}}}'
        )
        deadline = time.monotonic() + ORDER_SECONDS
        outcome = await self._send('order rollout', self._url, body)
        while _may_repeat(outcome) and time.monotonic() < deadline:
            await asyncio.sleep(RETRY_INTERVAL)
            outcome = await self._send('order rollout', self._url, body)
        return outcome

    async def show(
        self, service: str
    ) -> Result[dict[str, Any], TurmericmastError]:
        """Return the state of a service's newest rollout."""
        return await self._send('show rollout', f'{self._url}/{service}')

    async def follow(
        self, service: str, write: Write
    ) -> Result[dict[str, Any], TurmericmastError]:
        """Write each state that differs until the rollout has ended."""
        shown = await self.show(service)
        last = ''
        while _may_repeat(shown) or _is_running(shown):
            line = describe(shown.value_or({}))
            if line != last:
                write(f'{line}\n')
            last = line
            await asyncio.sleep(RETRY_INTERVAL)
            shown = await self.show(service)
        return shown

    async def _send(
        self, step: str, url: str, body: str | None = None
    ) -> Result[dict[str, Any], TurmericmastError]:
        method = 'GET' if body is None else 'POST'
        request = HTTPRequest(
            url, method, body=body, request_timeout=REQUEST_TIMEOUT
        )
        try:
            response = await AsyncHTTPClient().fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            return Failure(
                WireError(
                    str(error),
                    step=step,
                    peer=self._member,
                    hint='try another member',
                )
            )
        document: dict[str, Any] = json.loads(response.body or b'{}')
        if response.code == http.HTTPStatus.OK:
            return Success(document)
        reason = document.get('error', f'status {response.code}')
        is_busy = response.code == http.HTTPStatus.SERVICE_UNAVAILABLE
        kind = WireError if is_busy else RefusedError
        return Failure(kind(reason, step=step, peer=self._member))


def describe(document: dict[str, Any]) -> str:
    """Return the state of a rollout in one line."""
    if not document:
        return 'no answer'
    return (
        f'{document["state"]}: version {document["target_version"]}, '
        f'share {document["share"]:.0%}, current {document["current_version"]}'
        f'; {document["reason"]}'
    )


async def run_command(arguments: Sequence[str], write: Write) -> int:
    """Carry out a command; return the exit status."""
    outcome: Result[dict[str, Any], TurmericmastError]
    match tuple(arguments):
        case (member, 'order', service, version, duration):
            outcome = await RolloutClient(member).order(
                service, version, duration
            )
        case (member, 'show', service):
            outcome = await RolloutClient(member).show(service)
        case (member, 'follow', service):
            outcome = await RolloutClient(member).follow(service, write)
        case _:
            write(USAGE)
            return 2
    if isinstance(outcome, Success):
        shown = outcome.unwrap()
        write(f'{describe(shown) if shown else "accepted"}\n')
        return 0
    error = outcome.failure()
    write(f'{error.show()}\n')
    return error.exit_status


def _may_repeat(outcome: Result[dict[str, Any], TurmericmastError]) -> bool:
    """Tell whether another attempt may succeed."""
    return not isinstance(outcome, Success) and isinstance(
        outcome.failure(), WireError
    )


def _is_running(outcome: Result[dict[str, Any], TurmericmastError]) -> bool:
    return bool(outcome.value_or({}).get('state') == 'running')


def _main(arguments: Sequence[str]) -> int:
    return asyncio.run(run_command(arguments[1:], sys.stdout.write))


def main() -> None:
    """Run ``turmericmast-rollout``."""
    app.run(_main)
