"""A withdrawal that a frozen machine carries out when it wakes."""

import asyncio
import itertools
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from common.standins import (
    BOUNDS,
    REGION_BY_ZONE,
    TROUBLE,
    Cluster,
    Record,
    Upstream,
    call,
    request_headers,
    route,
    run_case,
    service,
)

HOST = 'jepu9.example'
ZONE = 'wien-a'
"""The zone that is evacuated."""
FROZEN = 'kaernten-a'
"""The zone of the machine that freezes."""
FREEZE_S = 4.0
"""The site's ``node_freeze`` of a core machine lasts 4 s (7.3 s in a day)."""
WATCH_S = 10.0
"""Time for which the second evacuation is watched, after its bound."""
RETRY_S = 1.0
"""The operator moves on after a second without a response."""


class Operator:
    """Sends orders, each to one node after the other until one answers."""

    def __init__(self, cluster: Cluster, record: Record) -> None:
        self._addresses = cluster.control_addresses()
        self._record = record

    async def order(self, method: str, first: int) -> float:
        """Return when the order was acknowledged."""
        for number in itertools.count(first):
            address = self._addresses[number % len(self._addresses)]
            answer = await call(
                address, method, f'/-/evacuations/{ZONE}', timeout=RETRY_S
            )
            self._record.write(
                'order',
                method=method,
                node=number % len(self._addresses),
                status=answer.status,
                error=answer.error,
            )
            if 200 <= answer.status < 300:
                return time.monotonic()
            if number - first > 8:
                raise TimeoutError(f'{method} was not acknowledged')
        raise AssertionError


async def run(record: Record) -> bool:
    """Return whether the evacuated zone got requests after the bound."""
    with Cluster(record, REGION_BY_ZONE) as cluster:
        servers = [
            Upstream(f'i-{zone}', zone, cluster.server_address(zone), record)
            for zone in cluster.ip_by_zone
        ]
        for server in servers:
            await server.start()
        await cluster.put_config(
            {'r-1': route(HOST, '/stock/')}, {'stock': service()}
        )
        for server in servers:
            server.announce(cluster)
        await cluster.wait_until_served('/stock/first', HOST)
        zones = list(cluster.ip_by_zone)
        frozen, other = zones.index(FROZEN), zones.index('tirol-a')
        operator = Operator(cluster, record)
        is_over = asyncio.Event()

        async def use(zone: str) -> int:
            served = 0
            for number in itertools.count():
                if is_over.is_set():
                    return served
                answer = await call(
                    cluster.front(zone),
                    'GET',
                    f'/stock/{number}',
                    request_headers(HOST, f'q-{zone}-{number}', 1200),
                )
                served += answer.status == 200
                record.write(
                    'answered', id=f'q-{zone}-{number}', status=answer.status
                )
                await asyncio.sleep(0.05)
            return served

        async def operate() -> float:
            await operator.order('POST', other)
            await asyncio.sleep(2)
            if TROUBLE:
                cluster.signal('core', FROZEN, signal.SIGSTOP)
            frozen_at = time.monotonic()
            await operator.order('DELETE', frozen)
            await asyncio.sleep(0.5)
            acked_at = await operator.order('POST', other)
            await asyncio.sleep(frozen_at + FREEZE_S - time.monotonic())
            if TROUBLE:
                cluster.signal('core', FROZEN, signal.SIGCONT)
            bound_at = acked_at + BOUNDS['evacuation_s']
            await asyncio.sleep(bound_at + WATCH_S - time.monotonic())
            is_over.set()
            return bound_at

        bound_at, *served = await asyncio.gather(
            operate(), *map(use, cluster.ip_by_zone)
        )
        for server in servers:
            server.stop()
        late = [
            request.id
            for server in servers
            if server.zone == ZONE
            for request in server.runs
            if request.at > bound_at
        ]
        record.write('counted', late=len(late), served=served)
        if min(served) < 50:
            raise RuntimeError('too few requests were served')
        return bool(late)


run_case(pathlib.Path(__file__).resolve().parent, run)
