"""Example target that announces itself to entries and answers requests.

It implements the contract of docs/targets.md and counts the requests that it
runs. A request sets how long it takes and how many bytes it returns.
"""

import asyncio
import hashlib
import json
import pathlib
import secrets
import signal
import sys
import urllib.parse
from collections.abc import Sequence
from http import HTTPStatus

from absl import app, flags
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

NAME = flags.DEFINE_string('name', 't1', 'Id of the target.')
SERVICE = flags.DEFINE_string('service', 'stock', 'Service that it offers.')
REGION = flags.DEFINE_string('region', 'tirol', 'Region it runs in.')
DOMAIN = flags.DEFINE_string('domain', 'tirol-a', 'Failure domain it runs in.')
PORT = flags.DEFINE_integer('port', 9001, 'Port to listen on.')
SLOTS = flags.DEFINE_integer(
    'slots', 4, 'Requests that it runs at the same time.'
)
COLD_SLOTS = flags.DEFINE_integer(
    'cold_slots', 1, 'Requests that it runs at the same time while cold.'
)
WARM_AFTER = flags.DEFINE_float(
    'warm_after', 0.5, 'Seconds from the start until it is warm.'
)
ENTRIES = flags.DEFINE_list(
    'entries', [], 'Addresses of entries to announce to.'
)
LOG = flags.DEFINE_string('log', '', 'File for one JSON line per request.')

ANNOUNCED_STATUSES = frozenset((200, 429))
"""Statuses of an entry that has applied the announcement.

With 429 it has applied it, but is over its budget for announcements."""
ANNOUNCE_TIMEOUT = 4.0
"""Seconds after which another entry is tried."""
DRAIN_TIMEOUT = 30.0
"""Seconds that running requests get to end before the target stops."""
POLL_INTERVAL = 0.02
"""Seconds between two checks whether all requests have ended."""


class Target:
    """State of the target, and how it announces that state to entries."""

    def __init__(self) -> None:
        """Start cold, with a new incarnation."""
        self.incarnation = secrets.token_hex(4)
        self.state = 'cold'
        self.in_flight = 0
        self.max_in_flight = 0
        self.announce_interval = 1.0
        """Seconds between two announcements; each answer sets it."""
        self.announce_to = list(ENTRIES.value)

    def announcement(self) -> dict[str, object]:
        """Return the announcement to send, as a JSON object."""
        return {
            'target': NAME.value,
            'service': SERVICE.value,
            'address': f'127.0.0.1:{PORT.value}',
            'region': REGION.value,
            'domain': DOMAIN.value,
            'slots': SLOTS.value,
            'cold_slots': COLD_SLOTS.value,
            'incarnation': self.incarnation,
            'state': self.state,
            'in_flight': self.in_flight,
        }

    async def announce(self) -> bool:
        """Announce to the first entry that applies it.

        Returns whether that entry owns the target.
        """
        for entry in dict.fromkeys((*self.announce_to, *ENTRIES.value)):
            try:
                answer = await AsyncHTTPClient().fetch(
                    f'http://{entry}/-/announce',
                    method='POST',
                    body=json.dumps(self.announcement()),
                    request_timeout=ANNOUNCE_TIMEOUT,
                    raise_error=False,
                )
            except (HTTPClientError, OSError):
                continue
            if answer.code not in ANNOUNCED_STATUSES:
                continue
            reply = json.loads(answer.body)
            self.announce_to = reply['announce_to']
            self.announce_interval = reply['again_ms'] / 1000
            return bool(reply['owned'])
        return False

    async def announce_with_retries(self) -> None:
        """Announce until the owner was reached, three times at most."""
        for _ in range(3):
            if await self.announce():
                return

    async def keep_announcing(self) -> None:
        """Announce until cancelled, at the interval that the owner asks for."""
        while True:
            await self.announce_with_retries()
            await asyncio.sleep(self.announce_interval)


class Work(RequestHandler):
    """Runs requests such as ``/run?ms=20&bytes=1000``."""

    def initialize(self, target: Target) -> None:
        """Count running requests in ``target``."""
        self.target = target

    async def prepare(self) -> None:
        """Run a request of any method, or refuse it if all slots are taken."""
        target = self.target
        # Entries recognise by it a response that is sent once more.
        self.set_header(
            'Turmericmast-Call',
            self.request.headers.get('Turmericmast-Call', ''),
        )
        if target.in_flight >= SLOTS.value:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            self.set_header('Turmericmast-Ran', 'no')
            self.finish('busy\n')
            return
        target.in_flight += 1
        target.max_in_flight = max(target.max_in_flight, target.in_flight)
        try:
            await self._run()
        finally:
            target.in_flight -= 1

    async def _run(self) -> None:
        _log_run(
            {
                'event': 'start',
                'target': NAME.value,
                'method': self.request.method,
                'path': self.request.path,
                'key': self.request.headers.get('Idempotency-Key', ''),
                'in_flight': self.target.in_flight,
            },
        )
        query = dict(urllib.parse.parse_qsl(self.request.query))
        await asyncio.sleep(float(query.get('ms', '5')) / 1000)
        body = b'.' * int(query.get('bytes', '40'))
        self.set_header('Content-Type', 'text/plain')
        self.set_header('X-Target', NAME.value)
        self.set_header('X-Digest', hashlib.sha256(body).hexdigest())
        self.finish(body)


def _log_run(line: dict[str, object]) -> None:
    if LOG.value:
        with pathlib.Path(LOG.value).open('a', encoding='utf-8') as stream:
            stream.write(f'{json.dumps(line)}\n')


async def _main() -> None:
    target = Target()
    server = HTTPServer(Application([('.*', Work, {'target': target})]))
    server.listen(PORT.value, '127.0.0.1')
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    announcing = asyncio.ensure_future(target.keep_announcing())
    loop.call_later(WARM_AFTER.value, setattr, target, 'state', 'ready')
    await stop.wait()
    target.state = 'leaving'
    announcing.cancel()
    await target.announce_with_retries()
    for _ in range(int(DRAIN_TIMEOUT / POLL_INTERVAL)):
        if not target.in_flight:
            break
        await asyncio.sleep(POLL_INTERVAL)
    await target.announce()
    server.stop()


def _run_main(arguments: Sequence[str]) -> None:
    asyncio.run(_main())
    sys.stdout.write(f'{NAME.value} stopped\n')


if __name__ == '__main__':
    app.run(_run_main)
