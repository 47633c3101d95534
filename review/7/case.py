"""RECOVER: a request that many callers send is refused after a final fault.

Some servers crash, for a reason of their own, and come back. Most callers ask
for the same price list, which the servers were running. Then all processes of
the system are killed at once, and come back.
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

SERVERS = 42
CRASHING = 5
"""Servers that crash together: a share of 0.12."""
CRASH_AT = 9.0
DOWN_S = 4.5
WORK_S = 0.19
REQUESTS_PER_S = 133
POPULAR_SHARE = 0.85


async def main(record, has_trouble):
    kinds = os.environ.get('TROUBLE', '1')
    has_crashes = has_trouble and kinds != 'fault'
    has_fault = has_trouble and kinds != 'crashes'
    with deployment.Fleet(record) as fleet:
        fleet.start_all()
        routes = {
            'price': deployment.route(
                'safe', '/price/', timeout_s=6.996, goal_s=0.709
            )
        }
        await deployment.Operator(fleet).order(
            'PUT', '/-/config', deployment.config(1, 0, routes)
        )
        servers = await _start_servers(fleet)
        await deployment.wait_ready(fleet)
        await deployment.wait_served(fleet, '/price/warm')
        # The contact window passes after the start.
        await asyncio.sleep(4)

        async def crash(began_at):
            await asyncio.sleep(began_at + CRASH_AT - time.monotonic())
            await _crash(fleet, record, servers[:CRASHING])

        traffic = recovery.Traffic(fleet, record, REQUESTS_PER_S, _path)
        return await recovery.play(
            fleet,
            record,
            traffic,
            trouble=crash if has_crashes else None,
            has_fault=has_fault,
        )


def _path(draw, number):
    return '/price/list' if draw < POPULAR_SHARE else f'/price/{number}'


async def _start_servers(fleet):
    zones = list(fleet.zones)
    servers = [
        deployment.Server(
            fleet, f'u-{number}', zones[number % len(zones)], work=WORK_S
        )
        for number in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    return servers


async def _crash(fleet, record, crashed):
    """Let servers crash, and start again under new ids at their addresses."""
    for server in crashed:
        record.write('server_crashes', server=server.name)
        await server.stop_listening()
    await asyncio.sleep(DOWN_S)
    for server in crashed:
        started = deployment.Server(
            fleet, f'{server.name}-again', server.zone, work=WORK_S
        )
        await started.start(server.port)
        record.write('server_starts', server=started.name)


deployment.run_case(main, FOLDER)
