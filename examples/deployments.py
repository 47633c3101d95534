"""Writes the settings of two example deployments, one file a process.

    python examples/deployments.py FOLDER

Addresses follow one plan: 10.REGION.DOMAIN.INSTANCE. ``examples/NAME`` holds
the fleet document of each and the settings of one process of each kind.
"""

import itertools
import json
import pathlib
import sys
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

SITES: Mapping[str, tuple[str, ...]] = MappingProxyType(
    {
        'schilfdach': ('tirol', 'kaernten', 'wien'),
        'senderos': ('andina', 'caribe', 'pacifico'),
    },
)
ENTRIES_PER_DOMAIN = 3
"""18 small entry instances over three regions with two failure domains."""
CALLERS_PORT = 8000
PORTS = MappingProxyType({'control': 7000, 'ledger': 7100})
DATA = '/var/lib/turmericmast'
LOGS = '/var/log/turmericmast'

Document: TypeAlias = dict[str, Any]


def settings_of(site: str) -> Iterator[tuple[str, Document]]:
    """Yield the name and the settings of every process of a site."""
    regions = SITES[site]
    shared: Document = {
        'ordering_region': regions[0],
        'regions': {region: _region(site, region) for region in regions},
    }
    for region in regions:
        own = (*_members_of(site, region), *_entries_of(site, region))
        yield from ((str(one['name']), one | shared) for one in own)


def _members_of(site: str, region: str) -> Iterator[Document]:
    places = [*_domains(region), _domains(_following(site, region))[0]]
    for kind, seat in itertools.product(PORTS, range(3)):
        member = _group(site, region, kind)[seat]
        name = member['member']
        yield {
            'name': name,
            'region': _following(site, region) if seat == 2 else region,
            'domain': places[seat],
            'http': member['http'],
            'peer': member['peer'],
            'data': f'{DATA}/{name}',
            'events': f'{LOGS}/{name}.jsonl',
        }


def _entries_of(site: str, region: str) -> Iterator[Document]:
    number = SITES[site].index(region) + 1
    for position, domain in enumerate(_domains(region), 1):
        for instance in range(ENTRIES_PER_DOMAIN):
            name = f'entry-{domain}-{instance}'
            host = f'10.{number}.{position}.{10 + instance}'
            yield {
                'name': name,
                'region': region,
                'domain': domain,
                'http': f'{host}:{CALLERS_PORT}',
                'events': f'{LOGS}/{name}.jsonl',
            }


def _following(site: str, region: str) -> str:
    regions = SITES[site]
    return regions[(regions.index(region) + 1) % len(regions)]


def _domains(region: str) -> list[str]:
    return [f'{region}-{letter}' for letter in 'ab']


def _region(site: str, region: str) -> Document:
    return {
        'domains': _domains(region),
        **{kind: _group(site, region, kind) for kind in PORTS},
    }


def _group(site: str, region: str, kind: str) -> list[Document]:
    """Return two full members, and a witness in the next region."""
    regions = SITES[site]
    own = regions.index(region) + 1
    following = own % len(regions) + 1
    hosts = [f'10.{own}.1.2', f'10.{own}.2.2', f'10.{following}.1.3']
    port = PORTS[kind]
    return [
        {
            'member': f'{kind}-{region}-{seat}',
            'peer': f'{host}:{port}',
            'http': f'{host}:{port + 1}',
            'witness': seat == 2,
        }
        for seat, host in enumerate(hosts)
    ]


def write_site(site: str, folder: pathlib.Path) -> None:
    """Write the settings of every process of a site."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, document in settings_of(site):
        path = folder / f'{name}.json'
        path.write_text(f'{json.dumps(document, indent=1)}\n', 'utf-8')


if __name__ == '__main__':
    for given_site in SITES:
        write_site(given_site, pathlib.Path(sys.argv[1]) / given_site)
