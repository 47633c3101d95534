"""Announce many targets from one process, to measure the cost of control.

The targets do not serve requests.
"""

import asyncio
from collections.abc import Callable, Sequence

from absl import app, flags

from bench.announcer import Announcer

COUNT = flags.DEFINE_integer('count', 100, 'Number of targets.')
SERVICES = flags.DEFINE_integer(
    'services', 10, 'Number of services, assigned in turn.'
)
REGION = flags.DEFINE_string('region', 'tirol', 'Region of the targets.')
DOMAINS = flags.DEFINE_list('domains', [], 'Failure domains, assigned in turn.')
ENTRIES = flags.DEFINE_list('entries', [], 'Entries to announce to.')

START_PAUSE = 0.005
"""Seconds between the first announcements of two targets."""


def _document(number: int) -> Callable[[], dict[str, object]]:
    document: dict[str, object] = {
        'target': f'herd-{number}',
        'service': f'service-{number % SERVICES.value}',
        'address': f'127.0.0.1:{20000 + number}',
        'region': REGION.value,
        'domain': DOMAINS.value[number % len(DOMAINS.value)],
        'slots': 4,
        'cold_slots': 1,
        'incarnation': 'i',
        'state': 'ready',
        'in_flight': 0,
    }
    return lambda: document


async def _main() -> None:
    tasks = []
    for number in range(COUNT.value):
        announcer = Announcer(ENTRIES.value, _document(number))
        tasks.append(asyncio.ensure_future(announcer.run()))
        await asyncio.sleep(START_PAUSE)
    await asyncio.gather(*tasks)


def _run(arguments: Sequence[str]) -> None:
    asyncio.run(_main())


if __name__ == '__main__':
    app.run(_run)
