"""A request with a long body that crashes each upstream that runs it."""

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
BODY = b'x' * int(sys.argv[1] if len(sys.argv) > 1 else 100_000)
"""The configuration allows 67,108,864 bytes."""
SERVERS = 3
"""Upstreams in each zone."""
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
    with Cluster(record, REGION_BY_ZONE) as cluster:
        servers = [
            Fragile(
                f'i-{zone}-{number}',
                zone,
                cluster.server_address(zone),
                record,
            )
            for zone in cluster.ip_by_zone
            for number in range(SERVERS)
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
                BODY,
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
        record.write('counted', crashes=len(crashes), late_retries=len(late))
        return len(late) > MOST_RETRIES


run_case(pathlib.Path(__file__).resolve().parent, run)
