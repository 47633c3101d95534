"""A request that crashes each upstream that runs it."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from common.standins import (
    BOUNDS,
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
VARIANTS = (
    ('long body', 100_000, 3),
    ('few upstreams', 1_000, 1),
    ('control', 10_000, 3),
)
"""Each with the bytes of the body and the upstreams in each of three zones.

The configuration allows bodies of 67,108,864 bytes. The control isn't judged:
it shows a request that is refused after the third crash."""
DOWN_S = 2.5
"""An upstream is back "after some seconds"."""
INTERVAL_S = 1.2
REPEATS = 16
CRASHES = 3
MOST_RETRIES = 3


class Fragile(Upstream):
    """Crashes when it begins to run a certain request."""

    cluster: Cluster
    incarnation = 0

    async def serve(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        if TROUBLE and request.path.endswith('/crash'):
            self.record.write('crashed', at=self.name, id=request.id)
            asyncio.ensure_future(self._come_back())
            self.stop()
            raise ConnectionError
        await super().serve(request, writer)

    async def _come_back(self) -> None:
        await asyncio.sleep(DOWN_S)
        self.incarnation += 1
        self.name = f'{self.name.partition("_")[0]}_{self.incarnation}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start()
        self.announce(self.cluster)
        self.record.write('back', server=self.name)


async def run(record: Record) -> bool:
    """Return whether the request reached upstreams after its quarantine."""
    late = {}
    for name, size, servers in VARIANTS:
        record.write('variant', name=name)
        late[name] = await _play(record, b'x' * size, servers)
    record.write('counted', late_retries=late)
    late.pop('control')
    return max(late.values()) > MOST_RETRIES


async def _play(record: Record, body: bytes, count: int) -> int:
    """Return the retries later than the contact window after three crashes."""
    with Cluster(record, REGION_BY_ZONE) as cluster:
        servers = [
            Fragile(
                f'i-{zone}-{number}',
                zone,
                cluster.server_address(zone),
                record,
            )
            for zone in cluster.ip_by_zone
            for number in range(count)
        ]
        for server in servers:
            server.cluster = cluster
            await server.start()
        await cluster.put_config(
            {
                'r-1': route(HOST, '/stock/'),
                'r-2': route(HOST, '/order/', kind='unsafe'),
            },
            {'stock': service()},
        )
        for server in servers:
            server.announce(cluster)
        await cluster.wait_until_served('/stock/first', HOST)
        zones = tuple(cluster.ip_by_zone)
        for number in range(REPEATS):
            answer = await call(
                cluster.front(zones[number % len(zones)]),
                'POST',
                '/order/crash',
                request_headers(HOST, f'q-{number}', 1500),
                body,
            )
            record.write(
                'answered',
                id=f'q-{number}',
                status=answer.status,
                error=answer.error,
            )
            await asyncio.sleep(INTERVAL_S)
        runs = sorted(
            request.at
            for server in servers
            for request in server.runs
            if request.path.endswith('/crash')
        )
        for server in servers:
            server.stop()
        if not TROUBLE and len(runs) < REPEATS / 2:
            raise RuntimeError('too few requests ran')
        crashes = runs if TROUBLE else []
        late = [
            at
            for at in crashes[CRASHES:]
            if at > crashes[CRASHES - 1] + BOUNDS['contact_window_s']
        ]
        record.write('crashes', count=len(crashes), late_retries=len(late))
        return len(late)


run_case(pathlib.Path(__file__).resolve().parent, run)
