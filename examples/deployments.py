"""Writes the settings of two example deployments, one file per process.

    python examples/deployments.py FOLDER

Addresses have the form 10.REGION.DOMAIN.INSTANCE, with numbers from 1 for
region and domain. ``examples/DEPLOYMENT`` holds the fleet document of each and
the settings of some of its processes, at least one of each program.
"""

import itertools
import json
import pathlib
import sys
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

REGIONS_BY_DEPLOYMENT: Mapping[str, tuple[str, ...]] = MappingProxyType(
    {
        'schilfdach': ('tirol', 'kaernten', 'wien'),
        'senderos': ('andina', 'caribe', 'pacifico'),
    },
)
ENTRIES_PER_DOMAIN = 3
"""Gives 18 small entry instances: three regions with two failure domains."""
ENTRY_PORT = 8000
"""Port on which entries serve callers."""
PORT_BY_KIND = MappingProxyType({'control': 7000, 'ledger': 7100})
"""Peer port of a group's members by kind of group; HTTP is one above."""
DATA_FOLDER = '/var/lib/turmericmast'
LOG_FOLDER = '/var/log/turmericmast'

Document: TypeAlias = dict[str, Any]


def generate_settings(deployment: str) -> Iterator[tuple[str, Document]]:
    """Yield the name and the settings of every process of a deployment."""
    regions = REGIONS_BY_DEPLOYMENT[deployment]
    shared: Document = {
        'ordering_region': regions[0],
        'regions': {
            region: _region_document(deployment, region) for region in regions
        },
    }
    for region in regions:
        documents = (
            *_member_settings(deployment, region),
            *_entry_settings(deployment, region),
        )
        yield from (
            (str(document['name']), document | shared) for document in documents
        )


def _member_settings(deployment: str, region: str) -> Iterator[Document]:
    domains = [*_domains(region), _domains(_next_region(deployment, region))[0]]
    for kind, number in itertools.product(PORT_BY_KIND, range(3)):
        member = _group_members(deployment, region, kind)[number]
        name = member['member']
        yield {
            'name': name,
            'region': _next_region(deployment, region)
            if number == 2
            else region,
            'domain': domains[number],
            'http': member['http'],
            'peer': member['peer'],
            'data': f'{DATA_FOLDER}/{name}',
            'events': f'{LOG_FOLDER}/{name}.jsonl',
        }


def _entry_settings(deployment: str, region: str) -> Iterator[Document]:
    region_number = REGIONS_BY_DEPLOYMENT[deployment].index(region) + 1
    for domain_number, domain in enumerate(_domains(region), 1):
        for instance in range(ENTRIES_PER_DOMAIN):
            name = f'entry-{domain}-{instance}'
            host = f'10.{region_number}.{domain_number}.{10 + instance}'
            yield {
                'name': name,
                'region': region,
                'domain': domain,
                'http': f'{host}:{ENTRY_PORT}',
                'events': f'{LOG_FOLDER}/{name}.jsonl',
            }


def _next_region(deployment: str, region: str) -> str:
    regions = REGIONS_BY_DEPLOYMENT[deployment]
    return regions[(regions.index(region) + 1) % len(regions)]


def _domains(region: str) -> list[str]:
    return [f'{region}-{letter}' for letter in 'ab']


def _region_document(deployment: str, region: str) -> Document:
    return {
        'domains': _domains(region),
        **{
            kind: _group_members(deployment, region, kind)
            for kind in PORT_BY_KIND
        },
    }


def _group_members(deployment: str, region: str, kind: str) -> list[Document]:
    """Return two full members in the region and a witness in the next one."""
    regions = REGIONS_BY_DEPLOYMENT[deployment]
    region_number = regions.index(region) + 1
    next_region_number = region_number % len(regions) + 1
    hosts = [
        f'10.{region_number}.1.2',
        f'10.{region_number}.2.2',
        f'10.{next_region_number}.1.3',
    ]
    port = PORT_BY_KIND[kind]
    return [
        {
            'member': f'{kind}-{region}-{number}',
            'peer': f'{host}:{port}',
            'http': f'{host}:{port + 1}',
            'witness': number == 2,
        }
        for number, host in enumerate(hosts)
    ]


def write_settings(deployment: str, folder: pathlib.Path) -> None:
    """Write one file with settings for every process of a deployment."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, document in generate_settings(deployment):
        path = folder / f'{name}.json'
        path.write_text(f'{json.dumps(document, indent=1)}\n', 'utf-8')


if __name__ == '__main__':
    for deployment_name in REGIONS_BY_DEPLOYMENT:
        write_settings(
            deployment_name, pathlib.Path(sys.argv[1]) / deployment_name
        )
