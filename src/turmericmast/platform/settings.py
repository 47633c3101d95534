"""Reads the platform's settings file into ``InstanceSettings``."""

import math
import pathlib
from collections.abc import Iterator, Mapping
from typing import Any, TypeAlias

from returns.result import Failure, Result, Success

from turmericmast.addresses import is_address
from turmericmast.exceptions import SettingsError
from turmericmast.ids import DomainId, RegionId, Seconds
from turmericmast.instancesettings import (
    Bounds,
    Contract,
    HostLimits,
    InstanceSettings,
    ListenAddresses,
)
from turmericmast.jsontext import parse_json

JsonObject: TypeAlias = Mapping[str, Any]

OCTETS_PER_MEGABYTE = 1_000_000
OCTETS_PER_MEGABIT = 125_000
_STRING_KEYS = ('node_name', 'zone', 'region')
"""Keys that need a non-empty string."""
_KEY_BY_BOUND = (
    ('grace', 'grace_s'),
    ('drain', 'drain_s'),
    ('directory_ttl', 'ttl_max_s'),
    ('retry_ratio', 'retry_budget_ratio'),
    ('retry_window', 'budget_window_s'),
    ('retry_slack', 'budget_slack'),
    ('probe_rate', 'probe_per_s'),
    ('quota_window', 'quota_window_s'),
    ('quota_overage', 'quota_overage'),
    ('quota_slack', 'quota_slack'),
    ('exposure_share', 'exposure_share'),
    ('exposure_slack', 'exposure_slack'),
    ('rollback', 'rollback_s'),
)
"""Fields of ``Bounds`` with their keys in the platform's ``bounds``."""


def load_instance_settings(
    path: pathlib.Path,
) -> Result[InstanceSettings, SettingsError]:
    """Read and check a settings file, which the platform renders as JSON."""
    try:
        source = path.read_bytes()
    except OSError as error:
        return Failure(_unreadable(path, str(error)))
    parsed = parse_json(source)
    if isinstance(parsed, Success):
        return parse_instance_settings(parsed.unwrap())
    return Failure(_unreadable(path, parsed.failure()))


def _unreadable(path: pathlib.Path, cause: str) -> SettingsError:
    return SettingsError(
        f'cannot be read: {cause}',
        step='read settings',
        peer=path.name,
        hint='give a readable JSON file with --settings',
    )


def parse_instance_settings(
    tree: Any,
) -> Result[InstanceSettings, SettingsError]:
    """Return the settings in a document, or all faults in it.

    Unknown fields are ignored.
    """
    faults = list(_faults(tree))
    if faults:
        return Failure(
            SettingsError('\n'.join(faults), step='check settings'),
        )
    return Success(_build(tree))


def _faults(tree: Any) -> Iterator[str]:
    if not isinstance(tree, Mapping):
        yield 'document: not a JSON object'
        return
    yield from (
        f'{name}: found {tree.get(name)!r}; write a non-empty string'
        for name in _STRING_KEYS
        if not isinstance(tree.get(name), str) or not tree[name]
    )
    yield from _network_faults(tree)
    yield from (
        f'bounds.{name}: found {bound!r}; write a number'
        for name, bound in _bounds(tree).items()
        if name in {key for _, key in _KEY_BY_BOUND}
        and not isinstance(bound, int | float)
    )
    yield from _revocation_faults(_bounds(tree))


def _revocation_faults(bounds: JsonObject) -> Iterator[str]:
    """Yield what is wrong with the bound on revoked keys.

    A bound that is asked for and cannot be read must not be left out.
    """
    is_wanted = bounds.get('revoke_fail_closed')
    if is_wanted is not None and not isinstance(is_wanted, bool):
        yield (
            f'bounds.revoke_fail_closed: found {is_wanted!r}; write true, or '
            'leave it out'
        )
    revocation: Any = bounds.get('revoke_s')
    is_number = isinstance(revocation, int | float) and revocation is not True
    if is_wanted and not (is_number and 0 < revocation < math.inf):
        yield (
            f'bounds.revoke_s: found {revocation!r}; write a number of '
            'seconds above 0'
        )


def _network_faults(tree: JsonObject) -> Iterator[str]:
    listen = tree.get('listen')
    if isinstance(listen, Mapping):
        yield from (
            f'listen.{name}: found {address!r}; write IP-ADDRESS:PORT'
            for name, address in listen.items()
            if address and not is_address(address)
        )
    else:
        yield f'listen: found {listen!r}; write an object of addresses by name'
    ports = tree.get('port_range')
    if not isinstance(ports, list) or len(ports) != 2:
        yield f'port_range: found {ports!r}; write a list of two ports'
    if not isinstance(tree.get('zones'), Mapping):
        yield 'zones: not an object; write an object of regions by zone'
    seeds = tree.get('seeds')
    if not isinstance(seeds, list) or not all(map(is_address, seeds)):
        yield f'seeds: found {seeds!r}; write a list of addresses'


def _build(tree: JsonObject) -> InstanceSettings:
    listen = tree['listen']
    peer_port = tree['port_range'][0]
    # Two processes share the port range of a host: the core member, which
    # also serves operators, takes the first port, the edge the second.
    own_port = peer_port if listen.get('control') else peer_port + 1
    control = listen.get('control') or next(iter(tree['seeds']), ':0')
    return InstanceSettings(
        name=f'{tree["node_name"]}/{tree.get("role", "")}',
        region=RegionId(tree['region']),
        domain=DomainId(tree['zone']),
        listening=ListenAddresses(
            callers=listen.get('front') or '',
            readiness=listen.get('ready_address') or '',
            operators=listen.get('control') or '',
            directory=listen.get('directory') or '',
            peers=f'{tree.get("ip", "")}:{own_port}',
        ),
        # A seed is an address for operators. The same host serves peers at
        # the first port of the range.
        contacts=tuple(
            f'{seed.rpartition(":")[0]}:{peer_port}' for seed in tree['seeds']
        ),
        region_by_domain={
            DomainId(domain): RegionId(region)
            for domain, region in tree['zones'].items()
        },
        bounds=_build_bounds(tree),
        host_limits=_build_host_limits(tree),
        local_contact=(
            f'{tree.get("ip", "")}:{peer_port}' if tree.get('data_dir') else ''
        ),
        data=pathlib.Path(tree['data_dir']) if tree.get('data_dir') else None,
        is_first_start=tree.get('bootstrap') is True,
        operators_port=int(control.rpartition(':')[-1]),
        contracts=_build_contracts(tree),
    )


def _build_contracts(tree: JsonObject) -> frozenset[Contract]:
    """Return the parts in force; names of other parts are ignored."""
    named = tree.get('contracts')
    names = named if isinstance(named, list) else []
    return frozenset(
        contract for contract in Contract if contract.value in names
    )


def _build_bounds(tree: JsonObject) -> Bounds:
    bound_by_key = _bounds(tree)
    bound_by_field = {
        field: bound_by_key[name]
        for field, name in _KEY_BY_BOUND
        if isinstance(bound_by_key.get(name), int | float)
    }
    interval = tree.get('heartbeat_interval_s')
    if isinstance(interval, int | float):
        bound_by_field['report_interval'] = Seconds(interval)
    revocation = bound_by_key.get('revoke_s')
    if bound_by_key.get('revoke_fail_closed') is True and isinstance(
        revocation, int | float
    ):
        bound_by_field['revocation'] = Seconds(revocation)
    return Bounds(**bound_by_field)


def _build_host_limits(tree: JsonObject) -> HostLimits:
    limits = tree.get('limits')
    known = limits if isinstance(limits, Mapping) else {}
    numbers = {
        key: found
        for key, found in known.items()
        if isinstance(found, int | float) and found > 0
    }
    return HostLimits(
        memory_bytes=int(numbers.get('memory_mb', 0) * OCTETS_PER_MEGABYTE),
        descriptors=int(numbers.get('max_fds', 0)),
        link_rate=numbers.get('link_mbps', 0) * OCTETS_PER_MEGABIT,
    )


def _bounds(tree: JsonObject) -> JsonObject:
    bounds = tree.get('bounds')
    return bounds if isinstance(bounds, Mapping) else {}
