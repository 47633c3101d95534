"""A failure of a second upstream while the first one's answer is streamed."""

import asyncio
import itertools
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from common.standins import (
    REGION_BY_ZONE,
    TROUBLE,
    Cluster,
    Record,
    Request,
    Upstream,
    call,
    request_headers,
    route,
    run_case,
    service,
)

HOST = 'jepu9.example'
DOCUMENT = random.Random(1).randbytes(400_000)
"""``plan-fetch`` answers have 540,000 bytes at most in the site file."""
QUICK_S = 0.072
"""The mean work of ``plan-fetch``; the most is 0.54 s."""
FIRST_BYTE_S = (0.19, 0.27)
"""Work until a long document begins; it then comes within 0.3 s."""
PIECES = 10
MISSING = b'no such document\n'
SERVERS = 7
"""Upstreams in each zone, of which one is grey: a share of 0.143."""
GREY_SHARE = 0.45
"""Share of its requests that it fails."""
GREY_S = 6.5
CLIENTS = 10
"""Clients of each zone."""
WARM_UP_S = 3.0


class Archive(Upstream):
    """Hands out documents, some of which take long."""

    is_grey = False

    async def serve(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_grey and random.random() < GREY_SHARE:
            await asyncio.sleep(QUICK_S)
            self.record.write('failed', at=self.name, id=request.id)
            await self.answer(writer, request, 404, MISSING)
        elif '/long/' in request.path:
            await self._send_slowly(request, writer)
        else:
            await asyncio.sleep(QUICK_S)
            await self.answer(writer, request, 200, DOCUMENT)

    async def _send_slowly(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(random.uniform(*FIRST_BYTE_S))
        lines = [
            'HTTP/1.1 200 OK',
            *self.base_headers(request),
            'X-Response-Signature: 3e1b.07',
            f'Content-Length: {len(DOCUMENT)}',
        ]
        writer.write('\r\n'.join((*lines, '', '')).encode())
        size = len(DOCUMENT) // PIECES
        for start in range(0, len(DOCUMENT), size):
            writer.write(DOCUMENT[start : start + size])
            await writer.drain()
            await asyncio.sleep(0.3 / PIECES)


async def _request(
    cluster: Cluster, record: Record, zone: str, number: int
) -> bool:
    """Return whether the body of a success holds what no upstream sent."""
    kind = 'quick' if number % 5 < 3 else 'long'
    answer = await call(
        cluster.front(zone),
        'GET',
        f'/plans/{kind}/{number}',
        request_headers(HOST, f'q-{number}', 1200),
        timeout=1.7,
    )
    is_wrong = answer.status == 200 and not DOCUMENT.startswith(answer.body)
    if answer.status == 404 and answer.body != MISSING:
        # Not counted: the rule speaks of the bodies of successes.
        record.write('mixed failure', id=f'q-{number}', size=len(answer.body))
    record.write(
        'answered',
        id=f'q-{number}',
        status=answer.status,
        bytes=len(answer.body),
        whole=answer.is_whole,
        wrong=is_wrong,
        error=answer.error,
    )
    if is_wrong:
        record.write('foreign bytes', end=answer.body[-220:])
    return is_wrong


async def run(record: Record) -> bool:
    """Return whether a client got a success with foreign bytes in it."""
    with Cluster(record, REGION_BY_ZONE) as cluster:
        zones = tuple(cluster.ip_by_zone)
        servers = [
            Archive(
                f'i-{zone}-{number}',
                zone,
                cluster.server_address(zone),
                record,
            )
            for number in range(SERVERS)
            for zone in zones
        ]
        for server in servers:
            await server.start()
        await cluster.put_config(
            {'r-1': route(HOST, '/plans/', kind='download', goal_s=0.3)},
            {'stock': service()},
        )
        for server in servers:
            server.announce(cluster)
        await cluster.wait_until_served('/plans/first', HOST)
        numbers = itertools.count()
        wrong: list[bool] = []
        began_at = time.monotonic()
        ends_at = began_at + WARM_UP_S + GREY_S

        async def use(zone: str) -> None:
            while time.monotonic() < ends_at:
                wrong.append(
                    await _request(cluster, record, zone, next(numbers))
                )

        async def turn_grey() -> None:
            await asyncio.sleep(WARM_UP_S)
            for server in servers[: len(zones)]:
                server.is_grey = TROUBLE
                record.write('grey', server=server.name, on=TROUBLE)

        await asyncio.gather(turn_grey(), *map(use, CLIENTS * zones))
        for server in servers:
            server.stop()
        record.write('counted', requests=len(wrong), wrong=sum(wrong))
        return any(wrong)


run_case(pathlib.Path(__file__).resolve().parent, run)
