"""Layout of a small fleet on one machine, and its settings files."""

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
"""First port of the range that addresses are taken from."""
HIGHEST_PORT = 32_000
"""End of that range, below the ephemeral ports of the kernel."""


@final
@dataclasses.dataclass(frozen=True)
class RegionShape:
    """Failure domains of a region, and the number of entries in each."""

    region: str
    domains: tuple[str, ...]
    entries_per_domain: int = 2


@final
@dataclasses.dataclass(frozen=True)
class FleetShape:
    """Regions of a fleet; the first is the ordering region of its document."""

    regions: tuple[RegionShape, ...]


@final
@dataclasses.dataclass(frozen=True)
class ProcessPlan:
    """Program, location, addresses and files of one process."""

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
    """Return loopback addresses on which no process listens.

    Their ports lie below the ephemeral range, so that no outgoing connection
    can take one before the process that it is meant for listens.
    """
    ports = random.sample(range(LOWEST_PORT, HIGHEST_PORT), 4 * count)
    free = filter(_is_free, ports)
    return [f'{HOST}:{port}' for port in itertools.islice(free, count)]


def free_address() -> str:
    """Return a loopback address at which no process listens."""
    return free_addresses(1)[0]


def free_block(count: int) -> list[int]:
    """Return consecutive loopback ports on which no process listens."""
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
    entries = list(_plan_entries(shape))
    count = len(members) + len(entries)
    addresses = iter(free_addresses(2 * count))
    plans = [
        _plan_process(
            member.name,
            member.program,
            member.region,
            member.domain,
            folder,
            addresses,
        )
        for member in members
    ] + [
        _plan_process(name, 'entry', region, domain, folder, addresses)
        for name, region, domain in entries
    ]
    plan_by_name = {plan.name: plan for plan in plans}
    regions = {
        region.region: {
            'domains': list(region.domains),
            'control': _group_settings(
                'control', region.region, members, plan_by_name
            ),
            'ledger': _group_settings(
                'ledger', region.region, members, plan_by_name
            ),
        }
        for region in shape.regions
    }
    for plan in plans:
        _write_settings(plan, shape.regions[0].region, regions)
    return plans


@final
@dataclasses.dataclass(frozen=True)
class _GroupMember:
    """Where a member of a control or ledger group runs.

    ``region`` is where its process runs, ``group`` the region that its group
    serves.
    """

    program: str
    name: str
    region: str
    domain: str
    group: str
    witness: bool


def _plan_members(shape: FleetShape) -> Iterator[_GroupMember]:
    """Yield the members of all control and ledger groups.

    A region with two failure domains gets a witness in the next region; in a
    fleet of one region, the witness runs in its first failure domain.
    """
    for position, region in enumerate(shape.regions):
        next_region = shape.regions[(position + 1) % len(shape.regions)]
        locations = [(region.region, domain) for domain in region.domains[:3]]
        witnesses = [(next_region.region, next_region.domains[0])]
        members = [(*location, False) for location in locations]
        if len(locations) == 2:
            members.extend((*location, True) for location in witnesses)
        for program in ('control', 'ledger'):
            for number, (region_name, domain, witness) in enumerate(members):
                name = f'{program}-{region.region}-{number}'
                yield _GroupMember(
                    program,
                    name,
                    region_name,
                    domain,
                    region.region,
                    witness,
                )


def _plan_entries(shape: FleetShape) -> Iterator[tuple[str, str, str]]:
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
            'member': member.name,
            'peer': plan_by_name[member.name].peer,
            'http': plan_by_name[member.name].http,
            'witness': member.witness,
        }
        for member in members
        if (member.program, member.group) == (program, region)
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
