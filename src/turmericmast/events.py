"""Events of one process as JSON lines, stamped by the hybrid clock."""

import json
import pathlib
from types import TracebackType
from typing import Self, TextIO, TypeAlias, final

from absl import logging

from turmericmast.clock import Clock, HybridClock, SystemClock
from turmericmast.linewriter import LineRateLimiter, LineWriter

MAX_FILE_BYTES = 67_108_864
"""Size at which an event file is put aside as ``.1``."""


Field: TypeAlias = str | int | float | bool | None


@final
class EventLog:
    """Writes changes of state; never bodies, keys or paths of requests."""

    def __init__(
        self,
        process: str,
        path: pathlib.Path | None,
        clock: HybridClock,
        sink: LineWriter | None = None,
    ) -> None:
        """Write to ``path``, and to ``sink`` in place of the log."""
        self._sink = sink
        self._budget = LineRateLimiter()
        self._steady: Clock = SystemClock()
        self.process = process
        self.clock = clock
        self._path = path
        self._stream: TextIO | None = None

    def __enter__(self) -> Self:
        """Open the file."""
        if self._path:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            self._stream = self._path.open('a', encoding='utf-8', buffering=1)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the file."""
        if self._stream:
            self._stream.close()
            self._stream = None

    def write(self, kind: str, **fields: Field) -> None:
        """Write an event, and a log line, for a change of state."""
        now = self._steady.now()
        for over, count in self._budget.start_second(now).items():
            self._write('lines_left_out', {'kind': over, 'count': count})
        if self._budget.admit(kind):
            self._write(kind, fields)

    def _write(self, kind: str, fields: dict[str, Field]) -> None:
        stamp = self.clock.tick()
        line = json.dumps(
            {
                'clock': [stamp.wall, stamp.count],
                'process': self.process,
                'event': kind,
                **fields,
            },
        )
        if self._sink:
            self._sink.write(line)
        else:
            parts = ' '.join(f'{name}={text}' for name, text in fields.items())
            logging.info('%s %s', kind, parts)
        if self._stream is None:
            return
        self._stream.write(f'{line}\n')
        if self._stream.tell() > MAX_FILE_BYTES:
            self._turn_over()

    def _turn_over(self) -> None:
        if self._path and self._stream:
            self._stream.close()
            self._path.replace(self._path.with_suffix('.1'))
            self._stream = self._path.open('a', encoding='utf-8', buffering=1)
