"""A target for trying things out: it announces itself, and answers.

It counts what it runs, keeps to the contract of docs/targets.md, and can be
told by the request how long to take and how much to send.
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
SERVICE = flags.DEFINE_string('service', 'stock', 'Service it belongs to.')
REGION = flags.DEFINE_string('region', 'tirol', 'Region it runs in.')
DOMAIN = flags.DEFINE_string('domain', 'tirol-a', 'Failure domain it runs in.')
PORT = flags.DEFINE_integer('port', 9001, 'Port to listen on.')
SLOTS = flags.DEFINE_integer('slots', 4, 'Requests it runs at a time.')
COLD_SLOTS = flags.DEFINE_integer('cold_slots', 1, 'The same while cold.')
WARM_AFTER = flags.DEFINE_float('warm_after', 0.5, 'Seconds until it is warm.')
ENTRIES = flags.DEFINE_list('entries', [], 'Entries to announce to.')
LOG = flags.DEFINE_string('log', '', 'File for a line of JSON per run.')

HEARD = frozenset((200, 429))
ANNOUNCE_TIMEOUT = 4.0
DRAIN_TIMEOUT = 30.0
STEP = 0.02


class Target:
    """What the target knows of itself."""

    def __init__(self) -> None:
        """Start cold."""
        self.incarnation = secrets.token_hex(4)
        self.state = 'cold'
        self.in_flight = 0
        self.most_in_flight = 0
        self.again = 1.0
        self.announce_to = list(ENTRIES.value)

    def document(self) -> dict[str, object]:
        """Return an announcement."""
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
        """Announce once; true when the owner has heard it."""
        for entry in dict.fromkeys((*self.announce_to, *ENTRIES.value)):
            try:
                answer = await AsyncHTTPClient().fetch(
                    f'http://{entry}/-/announce',
                    method='POST',
                    body=json.dumps(self.document()),
                    request_timeout=ANNOUNCE_TIMEOUT,
                    raise_error=False,
                )
            except (HTTPClientError, OSError):
                continue
            if answer.code not in HEARD:
                continue
            told = json.loads(answer.body)
            self.announce_to = told['announce_to']
            self.again = told['again_ms'] / 1000
            return bool(told['owned'])
        return False

    async def announce_soon(self) -> None:
        """Announce until the owner has heard, a few times at the most."""
        for _ in range(3):
            if await self.announce():
                return

    async def keep_announcing(self) -> None:
        """Announce for ever, as often as the owner asks."""
        while True:
            await self.announce_soon()
            await asyncio.sleep(self.again)


class Work(RequestHandler):
    """Runs a request: ``/run?ms=20&bytes=1000``."""

    def initialize(self, target: Target) -> None:
        """Count in ``target``."""
        self.target = target

    async def prepare(self) -> None:
        """Run whatever was asked for."""
        target = self.target
        if target.in_flight >= SLOTS.value:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            self.set_header('Turmericmast-Ran', 'no')
            self.finish('busy\n')
            return
        target.in_flight += 1
        target.most_in_flight = max(target.most_in_flight, target.in_flight)
        try:
            await self._run()
        finally:
            target.in_flight -= 1

    async def _run(self) -> None:
        _log(
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


def _log(line: dict[str, object]) -> None:
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
    await target.announce_soon()
    for _ in range(int(DRAIN_TIMEOUT / STEP)):
        if not target.in_flight:
            break
        await asyncio.sleep(STEP)
    await target.announce()
    server.stop()


def _run(arguments: Sequence[str]) -> None:
    asyncio.run(_main())
    sys.stdout.write(f'{NAME.value} stopped\n')


if __name__ == '__main__':
    app.run(_run)
