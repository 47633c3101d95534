"""Callers of a stutter trial, on kept connections to the instances.

``python -m bench.stuttercaller FILE`` runs the callers of a ``CallerPlan``
until their time is over, and writes what they got.
"""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import re
import sys
import time
from typing import final

from bench.httpclient import headers_by_name
from bench.stutterrecord import Answer, CallId, Digest, Kind, StutterRecord

HOST_NAME = 'shop.example'
KINDS = (Kind.safe, Kind.unsafe, Kind.download)
KIND_WEIGHTS = (6, 2, 2)
DEADLINES_MS = (400, 800, 1500)
"""Milliseconds that callers wait, one of them for each request."""
LATENESS = 1.0
"""Seconds past the deadline after which a caller closes its connection."""
ORDER = b'bales'
"""Body of requests that may run once."""
STATUS_LINE = re.compile(rb'HTTP/1\.1 (\d{3}) [^\r\n]*\r\n')
HEAD_LIMIT = 65_536
"""Most bytes of a head."""


@final
@dataclasses.dataclass(frozen=True)
class CallerPlan:
    """Callers of one process."""

    seed: int
    instances: list[str]
    """Addresses of the instances."""
    callers: int
    pause: float
    """Seconds between two requests of a caller, on average."""
    seconds: float
    output: str
    """File for what they get."""


@final
@dataclasses.dataclass(frozen=True)
class _Head:
    text: str
    status: int
    headers: dict[str, str]


@final
class Caller:
    """Sends one request after the other to random instances."""

    def __init__(
        self, plan: CallerPlan, number: int, record: StutterRecord
    ) -> None:
        """Record answers in ``record``."""
        self._plan = plan
        self._random = random.Random(f'{plan.seed} caller {number}')
        self._record = record
        self._streams: dict[
            str, tuple[asyncio.StreamReader, asyncio.StreamWriter]
        ] = {}
        """Idle connections by the address of the instance."""

    async def run(self) -> None:
        """Send requests until the time is over."""
        ends_at = time.monotonic() + self._plan.seconds
        while time.monotonic() < ends_at:
            await self._call()
            await asyncio.sleep(self._random.uniform(0, 2 * self._plan.pause))
        for _, writer in self._streams.values():
            writer.close()

    async def _call(self) -> None:
        kind = self._random.choices(KINDS, KIND_WEIGHTS)[0]
        instance = self._random.choice(self._plan.instances)
        call = CallId(f'{self._random.getrandbits(64):016x}')
        deadline = self._random.choice(DEADLINES_MS)
        sent_at = time.monotonic()
        answer = Answer(
            call, kind, instance, 0, '', '', Digest.of(b''), False, sent_at
        )
        with contextlib.suppress(
            OSError, EOFError, ValueError, asyncio.LimitOverrunError
        ):
            async with asyncio.timeout(deadline / 1000 + LATENESS):
                answer = await self._exchange(answer, deadline)
        self._record.answers.append(answer)

    async def _exchange(self, unanswered: Answer, deadline: int) -> Answer:
        instance = unanswered.instance
        reader, writer = await self._connect(instance)
        is_kept = False
        try:
            writer.write(_request(unanswered, deadline))
            head = await _read_head(reader)
            body, is_whole = await _read_body(reader, head)
            is_kept = (
                is_whole
                and _is_framed(head)
                and head.headers.get('Connection', '') != 'close'
            )
        finally:
            if is_kept:
                self._streams[instance] = (reader, writer)
            else:
                writer.close()
        return dataclasses.replace(
            unanswered,
            status=head.status,
            answered_call=head.headers.get('X-Request-Id', ''),
            signature=head.headers.get('X-Response-Signature', ''),
            digest=Digest.of(body),
            is_whole=is_whole,
            head=head.text,
        )

    async def _connect(
        self, instance: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        kept = self._streams.pop(instance, None)
        if kept and not kept[0].at_eof():
            return kept
        if kept:
            kept[1].close()
        host, _, port = instance.rpartition(':')
        return await asyncio.open_connection(host, int(port), limit=HEAD_LIMIT)


def _request(answer: Answer, deadline: int) -> bytes:
    is_unsafe = answer.kind is Kind.unsafe
    body = ORDER if is_unsafe else b''
    length = f'Content-Length: {len(body)}\r\n' if is_unsafe else ''
    method = 'POST' if is_unsafe else 'GET'
    return (
        f'{method} /{answer.kind.value}/{answer.call} HTTP/1.1\r\n'
        f'Host: {HOST_NAME}\r\n'
        f'X-Request-Id: {answer.call}\r\n'
        f'X-Deadline-Ms: {deadline}\r\n{length}\r\n'
    ).encode() + body


async def _read_head(reader: asyncio.StreamReader) -> _Head:
    """Read a head; raise ``ValueError`` if it is malformed."""
    octets = await reader.readuntil(b'\r\n\r\n')
    match = STATUS_LINE.match(octets)
    if match is None:
        raise ValueError(octets[:80])
    lines = octets[match.end() : -4].decode('latin-1').split('\r\n')
    return _Head(
        octets.decode('latin-1'), int(match.group(1)), headers_by_name(lines)
    )


def _is_framed(head: _Head) -> bool:
    return bool(
        head.status == 204
        or {'Content-Length', 'Transfer-Encoding'} & head.headers.keys()
    )


async def _read_body(
    reader: asyncio.StreamReader, head: _Head
) -> tuple[bytes, bool]:
    """Return what came of the body, and whether it ended as it should."""
    body = bytearray()
    try:
        if 'Transfer-Encoding' in head.headers:
            while chunk := await _read_chunk(reader):
                body += chunk
        elif _is_framed(head):
            length = int(head.headers.get('Content-Length', '0'))
            body += await reader.readexactly(length)
        else:
            body += await reader.read(-1)
    except asyncio.IncompleteReadError as error:
        return bytes(body) + error.partial, False
    except OSError:
        return bytes(body), False
    return bytes(body), True


async def _read_chunk(reader: asyncio.StreamReader) -> bytes:
    size = int(await reader.readuntil(b'\r\n'), 16)
    octets = await reader.readexactly(size + 2)
    return octets[:-2]


async def run_callers(plan: CallerPlan) -> None:
    """Send requests until the time is over, and write the record."""
    record = StutterRecord()
    callers = [Caller(plan, number, record) for number in range(plan.callers)]
    await asyncio.gather(*(caller.run() for caller in callers))
    record.write(pathlib.Path(plan.output))


if __name__ == '__main__':
    asyncio.run(
        run_callers(
            CallerPlan(
                **json.loads(pathlib.Path(sys.argv[1]).read_text('utf-8'))
            )
        )
    )
