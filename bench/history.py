"""The history of a run, as observed by callers, targets and operators."""

import hashlib
import json
import pathlib
import time
from typing import Any, final

from bench.callers import CallResult


@final
class History:
    """Record events in memory and merge those that other processes wrote."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Use the files below ``folder``; they are read by ``all_events``."""
        self._folder = folder
        self._recorded: list[dict[str, Any]] = []

    def record(self, event: str, **fields: Any) -> None:
        """Add an event with the present time."""
        self._recorded.append({'event': event, 'at': time.time(), **fields})

    def record_answer(
        self,
        call_result: CallResult,
        call: str,
        key: str,
        timeout: float,
    ) -> None:
        """Add the result of a call.

        ``timeout`` is what the caller allowed, in seconds.
        """
        headers = dict(call_result.headers)
        now = time.time()
        self._recorded.append(
            {
                'event': 'answer',
                'at': now,
                'sent_at': now - call_result.latency,
                'call': call,
                'key': key,
                'status': call_result.status,
                'ran': call_result.ran,
                'timeout': timeout,
                'target': call_result.target,
                'address': call_result.address,
                'body': call_result.body.decode('latin-1')[:200],
                'digest': hashlib.sha256(call_result.body).hexdigest(),
                'wanted_digest': headers.get('X-Digest', ''),
                'echo': headers.get('X-Call', ''),
                'detail': ''
                if call_result.status == 200
                else call_result.body.decode('latin-1')[:160],
            },
        )

    def all_events(self) -> list[dict[str, Any]]:
        """Return all events of callers, targets and processes, by time."""
        events = list(self._recorded)
        for path in (self._folder / 'runs').glob('*.jsonl'):
            events.extend(_read_lines(path))
        for path in (self._folder / 'events').glob('*.jsonl'):
            events.extend(
                {**event, 'at': event['clock'][0] / 1000}
                for event in _read_lines(path)
            )
        return sorted(events, key=lambda event: event['at'])


def _read_lines(path: pathlib.Path) -> list[dict[str, Any]]:
    lines = path.read_text(encoding='utf-8').splitlines()
    # A process that was killed may leave an incomplete last line.
    return [json.loads(line) for line in lines if line.endswith('}')]
