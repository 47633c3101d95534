"""The event log of a process: JSON lines with hybrid clock stamps."""

import json
import pathlib
from types import TracebackType
from typing import Self, TextIO, TypeAlias, final

from absl import logging

from turmericmast.clock import Clock, HybridClock, SystemClock
from turmericmast.linewriter import LineRateLimiter, LineWriter

MAX_FILE_BYTES = 67_108_864
"""Bytes after which an event file is rotated to the suffix ``.1``."""


Field: TypeAlias = str | int | float | bool | None
"""Content of one field of an event."""


@final
class EventLog:
    """Writes changes of state as events, at a limited rate for each kind.

    Events never hold bodies, keys or paths of requests.
    """

    def __init__(
        self,
        process: str,
        path: pathlib.Path | None,
        clock: HybridClock,
        writer: LineWriter | None = None,
    ) -> None:
        """Write to the file ``path``, and to ``writer`` or the program log."""
        self._writer = writer
        self._limiter = LineRateLimiter()
        self._monotonic: Clock = SystemClock()
        self.process = process
        self.clock = clock
        self._path = path
        self._stream: TextIO | None = None

    def __enter__(self) -> Self:
        """Open the event file, if there is one; create its folder."""
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
        """Close the event file."""
        if self._stream:
            self._stream.close()
            self._stream = None

    def write(self, kind: str, **fields: Field) -> None:
        """Write an event, unless its kind has reached the limit of this second.

        The first write in a later second reports how many events were dropped,
        as a ``lines_left_out`` event for each kind.
        """
        now = self._monotonic.now()
        for dropped_kind, count in self._limiter.start_second(now).items():
            self._write(
                'lines_left_out',
                {'kind': dropped_kind, 'count': count},
            )
        if self._limiter.admit(kind):
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
        if self._writer:
            self._writer.write(line)
        else:
            parts = ' '.join(f'{name}={text}' for name, text in fields.items())
            logging.info('%s %s', kind, parts)
        if self._stream is None:
            return
        self._stream.write(f'{line}\n')
        if self._stream.tell() > MAX_FILE_BYTES:
            self._rotate()

    def _rotate(self) -> None:
        if self._path and self._stream:
            self._stream.close()
            self._path.replace(self._path.with_suffix('.1'))
            self._stream = self._path.open('a', encoding='utf-8', buffering=1)
