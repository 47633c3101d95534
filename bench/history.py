"""The history of a run: what callers, targets and operators saw."""

import hashlib
import json
import pathlib
import time
from typing import Any, final

from bench.callers import Answered


@final
class History:
    """Collects events in memory and reads those of other processes."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Read the files below ``folder`` when asked for everything."""
        self._folder = folder
        self._own: list[dict[str, Any]] = []

    def write(self, event: str, **fields: Any) -> None:
        """Add an event that happens now."""
        self._own.append({'event': event, 'at': time.time(), **fields})

    def answer(
        self,
        answered: Answered,
        call: str,
        key: str,
        timeout: float,
    ) -> None:
        """Add the answer to a call."""
        headers = dict(answered.headers)
        now = time.time()
        self._own.append(
            {
                'event': 'answer',
                'at': now,
                'sent_at': now - answered.took,
                'call': call,
                'key': key,
                'status': answered.status,
                'ran': answered.ran,
                'timeout': timeout,
                'target': answered.target,
                'address': answered.address,
                'body': answered.body.decode('latin-1')[:200],
                'digest': hashlib.sha256(answered.body).hexdigest(),
                'wanted_digest': headers.get('X-Digest', ''),
                'echo': headers.get('X-Call', ''),
                'detail': ''
                if answered.status == 200
                else answered.body.decode('latin-1')[:160],
            },
        )

    def everything(self) -> list[dict[str, Any]]:
        """Return all events in the order of their times."""
        events = list(self._own)
        for path in (self._folder / 'runs').glob('*.jsonl'):
            events.extend(_lines(path))
        for path in (self._folder / 'events').glob('*.jsonl'):
            events.extend(
                {**event, 'at': event['clock'][0] / 1000}
                for event in _lines(path)
            )
        return sorted(events, key=lambda event: event['at'])


def _lines(path: pathlib.Path) -> list[dict[str, Any]]:
    lines = path.read_text(encoding='utf-8').splitlines()
    # A process that was killed may leave half a line behind.
    return [json.loads(line) for line in lines if line.endswith('}')]
