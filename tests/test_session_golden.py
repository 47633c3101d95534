"""Compare a session of an operator and a caller with a golden file.

It runs real processes: a region of one failure domain whose groups have one
member each. ``python -m tests.test_session_golden`` rewrites the golden file.
"""

import json
import pathlib
import re
import subprocess  # noqa: S404
import sys
import tempfile
import time
import unittest

from bench.blockinghttp import request
from bench.fleet import Fleet
from bench.layout import FleetShape, RegionShape

GOLDEN = pathlib.Path(__file__).parent / 'golden' / 'session.txt'
SHAPE = FleetShape((RegionShape('tirol', ('tirol-a',), 1),))
DOCUMENT = {
    'defaults': {'timeout_ms': 8000},
    'exceptions': [
        {
            'service': 'orders',
            'reason': 'members sign under local law',
            'values': {'home_regions': ['tirol']},
        },
    ],
}
ADMIN = 'from turmericmast.programs.admin import main; main()'
VARIABLE = (
    (re.compile(r'127\.0\.0\.1:\d+'), 'ADDRESS'),
    (re.compile(r'[0-9a-f]{16,64}'), 'HEX'),
    (re.compile(r' +'), ' '),
)


class Session:
    """Run commands and calls, and record their output as lines."""

    def __init__(self, fleet: Fleet, folder: pathlib.Path) -> None:
        """Use a running fleet; ``folder`` holds the proposed document."""
        self.lines: list[str] = []
        self._fleet = fleet
        self._document = folder / 'fleet.json'

    def admin(self, *arguments: str) -> None:
        """Run ``turmericmast-admin`` and record its output and exit status."""
        run = subprocess.run(  # noqa: S603
            [
                sys.executable,
                '-c',
                ADMIN,
                f'--settings={self._fleet.plans[0].settings}',
                *arguments,
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        shown = ' '.join(arguments).replace(str(self._document), 'fleet.json')
        self._write(f'$ turmericmast-admin {shown}')
        self._write(f'{run.stdout}{run.stderr}status {run.returncode}')

    def propose(self, document: object, *flags: str) -> None:
        """Write a fleet document to a file and propose it."""
        self._document.write_text(json.dumps(document), encoding='utf-8')
        self.admin('propose', str(self._document), *flags)

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        **headers: str,
    ) -> None:
        """Send a request to the entry; record its status and main headers.

        Underscores in names of ``headers`` become hyphens. The body is recorded
        for errors and for paths below ``/-/``.
        """
        sent_headers = {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        address = self._fleet.entry_plans()[0].http
        status, answer, octets = request(
            method,
            f'http://{address}{path}',
            body,
            sent_headers,
        )
        notes = [
            f'{name}={answer[name]}'
            for name in ('Turmericmast-Ran', 'Turmericmast-Replayed')
            if name in answer
        ]
        shown = ' '.join(
            f'{name}:{text}' for name, text in sent_headers.items()
        )
        self._write(f'> {method} {path} {shown}'.rstrip())
        self._write(' '.join((f'< {status}', *notes)))
        if status != 200 or path.startswith('/-/'):
            self._write(octets.decode())

    def _write(self, text: str) -> None:
        for pattern, name in VARIABLE:
            text = pattern.sub(name, text)
        self.lines.extend(line.rstrip() for line in text.splitlines() if line)


def run_session(folder: pathlib.Path) -> tuple[str, dict[str, int], list[int]]:
    """Return the recorded text, exit statuses by name and thread counts."""
    with Fleet(SHAPE, folder) as fleet:
        for name in ('t0', 't1'):
            fleet.start_target(
                name,
                ['--domain=tirol-a', '--service=orders', '--warm_after=0.1'],
            )
        fleet.await_ready(2)
        # Wait until the targets are warm: slow start is not tested here.
        time.sleep(1.2)
        session = Session(fleet, folder)
        _operate(session)
        threads = [
            len(list(pathlib.Path(f'/proc/{process.pid}/task').iterdir()))
            for name, process in fleet.process_by_name.items()
            if name in fleet.plan_by_name
        ]
        names = [
            't0',
            't1',
            *fleet.process_names('entry'),
            *fleet.process_names('ledger'),
            *fleet.process_names('control'),
        ]
        statuses = fleet.stop_all(names)
    return '\n'.join((*session.lines, '')), statuses, threads


def _operate(session: Session) -> None:
    session.admin('get')
    session.propose(DOCUMENT)
    session.propose(DOCUMENT, '--base=0')
    session.propose({'defaults': {'timeout': 8}})
    session.propose({'exceptions': [{'service': 'orders', 'values': {}}]})
    session.admin('explain', 'orders')
    session.call('GET', '/-/addresses?service=orders')
    session.call('GET', '/orders/price?ms=5')
    key = {'Idempotency_Key': 'order-1'}
    session.call('POST', '/orders/pay', b'{"thatch": 120}', **key)
    session.call('POST', '/orders/pay', b'{"thatch": 120}', **key)
    session.call('POST', '/orders/pay', b'{"thatch": 999}', **key)
    session.call('GET', '/tents/price')
    session.call('GET', '/orders/price', Turmericmast_Timeout_Ms='soon')
    session.admin('take-out', 'domain', 'tirol-a')
    session.admin('take-out', 'domain', 'tirol-x', '--reason=power')
    session.admin('take-out', 'domain', 'tirol-a', '--reason=power')
    session.call('GET', '/orders/price')
    session.admin('return', 'domain', 'tirol-a')
    session.call('GET', '/orders/price')
    session.admin('take-out', 'target', 't0', '--reason=new fan')
    session.call('GET', '/orders/price')
    session.admin('lift', 'f00')
    session.admin('tidy')


class SessionTest(unittest.TestCase):
    """Check output, exit statuses and the number of threads."""

    def test_golden(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            text, statuses, threads = run_session(pathlib.Path(folder))
        self.assertEqual(GOLDEN.read_text(encoding='utf-8'), text)
        self.assertEqual({0}, set(statuses.values()), statuses)
        self.assertEqual({1}, set(threads), 'one loop on one thread')


if __name__ == '__main__':
    with tempfile.TemporaryDirectory() as run_folder:
        GOLDEN.write_text(run_session(pathlib.Path(run_folder))[0], 'utf-8')
