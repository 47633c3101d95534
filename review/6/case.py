"""RECOVER: entries of another writer put all servers out of use for good.

Another writer reports each server's address under a service that no
configuration names. Then all processes of the system are killed at once, and
come back.
"""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import fleet as deployment  # noqa: E402
import recovery  # noqa: E402

PER_ZONE = 5
WORK_S = 0.09
REQUESTS_PER_S = 90
WRITES_AT = 13.0


async def main(record, has_trouble):
    kinds = os.environ.get('TROUBLE', '1')
    has_writer = has_trouble and kinds != 'fault'
    has_fault = has_trouble and kinds != 'writer'
    with deployment.Fleet(record) as fleet:
        fleet.start_all()
        routes = {'stock': deployment.route('safe', '/stock/')}
        await deployment.Operator(fleet).order(
            'PUT', '/-/config', deployment.config(1, 0, routes)
        )
        servers = [
            deployment.Server(fleet, f'u-{zone}-{number}', zone, work=WORK_S)
            for zone in fleet.zones
            for number in range(PER_ZONE)
        ]
        for server in servers:
            await server.start()
        await deployment.wait_ready(fleet)
        await deployment.wait_served(fleet, '/stock/warm')
        # The contact window passes after the start.
        await asyncio.sleep(4)

        async def write(began_at):
            await asyncio.sleep(began_at + WRITES_AT - time.monotonic())
            await _write_entries(fleet, record, servers)

        traffic = recovery.Traffic(
            fleet, record, REQUESTS_PER_S, lambda _, number: f'/stock/{number}'
        )
        return await recovery.play(
            fleet,
            record,
            traffic,
            trouble=write if has_writer else None,
            has_fault=has_fault,
        )


async def _write_entries(fleet, record, servers):
    """Report each address once, as a service that is not named here."""
    core = fleet.address(fleet.cores[0], 'control')
    for number, server in enumerate(servers):
        entry = server.report_body()
        entry['born'] = int(time.time() * 1000)
        entry['info']['service'] = 'inventory'
        entry['status']['sequence'] = 1
        answer = await deployment.call(
            core, 'PUT', f'/-/instances/agent-{number}', entry
        )
        record.write(
            'entry_of_other_writer',
            address=entry['address'],
            service='inventory',
            status=answer.status,
        )


deployment.run_case(main, FOLDER)
