"""The shape of a small fleet on one machine, and its settings files."""

import dataclasses
import itertools
import json
import pathlib
import random
import socket
from collections.abc import Iterator
from typing import Any, final

HOST = '127.0.0.1'
LOWEST_PORT = 10_000
HIGHEST_PORT = 32_000


@final
@dataclasses.dataclass(frozen=True)
class RegionShape:
    """A region and what runs in it."""

    region: str
    domains: tuple[str, ...]
    entries_per_domain: int = 2


@final
@dataclasses.dataclass(frozen=True)
class FleetShape:
    """All regions; the first one orders changes of the fleet document."""

    regions: tuple[RegionShape, ...]


@final
@dataclasses.dataclass(frozen=True)
class ProcessPlan:
    """One process of the system."""

    name: str
    program: str
    region: str
    domain: str
    http: str
    peer: str
    settings: pathlib.Path
    data: pathlib.Path | None
    events: pathlib.Path


def free_addresses(count: int) -> list[str]:
    """Return addresses on loopback that nobody listens on.

    The ports lie below those that the system gives to outgoing connections,
    so that none of these can take one before its process listens.
    """
    ports = random.sample(range(LOWEST_PORT, HIGHEST_PORT), 4 * count)
    free = filter(_is_free, ports)
    return [f'{HOST}:{port}' for port in itertools.islice(free, count)]


def free_block(count: int) -> list[int]:
    """Return consecutive ports on loopback that nobody listens on."""
    starts = random.sample(range(LOWEST_PORT, HIGHEST_PORT - count), 4 * count)
    blocks = (list(range(start, start + count)) for start in starts)
    return next(block for block in blocks if all(map(_is_free, block)))


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def plan_fleet(shape: FleetShape, folder: pathlib.Path) -> list[ProcessPlan]:
    """Write settings for every process and return the plans."""
    members = list(_plan_members(shape))
    entries = list(_entries(shape))
    count = len(members) + len(entries)
    addresses = iter(free_addresses(2 * count))
    plans = [
        _plan_process(
            one.name,
            one.program,
            one.region,
            one.domain,
            folder,
            addresses,
        )
        for one in members
    ] + [
        _plan_process(name, 'entry', region, domain, folder, addresses)
        for name, region, domain in entries
    ]
    plan_by_name = {plan.name: plan for plan in plans}
    regions = {
        one.region: {
            'domains': list(one.domains),
            'control': _group_settings(
                'control', one.region, members, plan_by_name
            ),
            'ledger': _group_settings(
                'ledger', one.region, members, plan_by_name
            ),
        }
        for one in shape.regions
    }
    for plan in plans:
        _write_settings(plan, shape.regions[0].region, regions)
    return plans


@final
@dataclasses.dataclass(frozen=True)
class _GroupMember:
    """A member of a group: where it runs, and whose group it is."""

    program: str
    name: str
    region: str
    domain: str
    group: str
    witness: bool


def _plan_members(shape: FleetShape) -> Iterator[_GroupMember]:
    """Yield the members of all groups.

    A region with two failure domains gets a witness in the next region; a
    fleet of one region has it in its first failure domain.
    """
    for position, region in enumerate(shape.regions):
        following = shape.regions[(position + 1) % len(shape.regions)]
        places = [(region.region, domain) for domain in region.domains[:3]]
        witnesses = [(following.region, following.domains[0])]
        members = [(*place, False) for place in places]
        if len(places) == 2:
            members.extend((*place, True) for place in witnesses)
        for program in ('control', 'ledger'):
            for number, (where, domain, witness) in enumerate(members):
                name = f'{program}-{region.region}-{number}'
                yield _GroupMember(
                    program,
                    name,
                    where,
                    domain,
                    region.region,
                    witness,
                )


def _entries(shape: FleetShape) -> Iterator[tuple[str, str, str]]:
    for region in shape.regions:
        numbers = itertools.count()
        for domain, _ in itertools.product(
            region.domains,
            range(region.entries_per_domain),
        ):
            yield (
                f'entry-{region.region}-{next(numbers)}',
                region.region,
                domain,
            )


def _plan_process(
    name: str,
    program: str,
    region: str,
    domain: str,
    folder: pathlib.Path,
    addresses: Iterator[str],
) -> ProcessPlan:
    return ProcessPlan(
        name=name,
        program=program,
        region=region,
        domain=domain,
        http=next(addresses),
        peer=next(addresses),
        settings=folder / f'{name}.json',
        data=None if program == 'entry' else folder / 'data' / name,
        events=folder / 'events' / f'{name}.jsonl',
    )


def _group_settings(
    program: str,
    region: str,
    members: list[_GroupMember],
    plan_by_name: dict[str, ProcessPlan],
) -> list[dict[str, Any]]:
    return [
        {
            'member': one.name,
            'peer': plan_by_name[one.name].peer,
            'http': plan_by_name[one.name].http,
            'witness': one.witness,
        }
        for one in members
        if (one.program, one.group) == (program, region)
    ]


def _write_settings(
    plan: ProcessPlan, ordering: str, regions: dict[str, Any]
) -> None:
    document = {
        'name': plan.name,
        'region': plan.region,
        'domain': plan.domain,
        'http': plan.http,
        'events': str(plan.events),
        'ordering_region': ordering,
        'regions': regions,
    }
    if plan.data:
        document |= {'peer': plan.peer, 'data': str(plan.data)}
    plan.settings.parent.mkdir(parents=True, exist_ok=True)
    plan.settings.write_text(json.dumps(document, indent=1), encoding='utf-8')
