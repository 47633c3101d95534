"""Checks a settings document and reports every fault, not only the first."""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any, TypeAlias

from turmericmast.addresses import is_address

Fault: TypeAlias = tuple[str, str, str]
"""Path in the document, what was found there, what to write instead."""

GROUPS = ('control', 'ledger')
"""Keys of the groups in the settings of a region."""

_STRING_KEYS = ('name', 'region', 'domain', 'ordering_region')
_ADDRESS_KEYS = ('http', 'peer')
_PATH_KEYS = ('data', 'events')
_KEYS = frozenset((*_STRING_KEYS, *_ADDRESS_KEYS, *_PATH_KEYS, 'regions'))
_MEMBER_KEYS = frozenset(('member', 'peer', 'http', 'witness'))
_REGION_KEYS = frozenset(('domains', 'control', 'ledger'))


def settings_faults(tree: object) -> Iterator[Fault]:
    """Yield the faults of a document; none if it is valid."""
    if not isinstance(tree, Mapping):
        yield ('document', 'not an object', 'write {"name": …}')
        return
    yield from _top_level_faults(tree)
    regions = tree.get('regions')
    if not isinstance(regions, Mapping) or not regions:
        yield ('regions', f'found {regions!r}', 'write {"REGION": {…}}')
        return
    for name, region in regions.items():
        yield from _region_faults(f'regions.{name}', region)
    yield from _reference_faults(tree, regions)
    yield from _duplicate_faults(regions)


def _top_level_faults(tree: Mapping[str, Any]) -> Iterator[Fault]:
    yield from _unknown_key_faults('', tree, _KEYS)
    yield from _string_faults('', tree, _STRING_KEYS)
    address_keys = ('http', 'peer') if 'peer' in tree else ('http',)
    yield from _address_faults('', tree, address_keys)
    yield from (
        (key, f'found {tree[key]!r}', 'write a path as a string')
        for key in _PATH_KEYS
        if not isinstance(tree.get(key, ''), str)
    )


def _reference_faults(
    tree: Mapping[str, Any],
    regions: Mapping[str, Any],
) -> Iterator[Fault]:
    for key in ('region', 'ordering_region'):
        if isinstance(tree.get(key), str) and tree[key] not in regions:
            known = ', '.join(regions)
            yield (key, f'found {tree[key]!r}', f'write one of {known}')
    own = regions.get(str(tree.get('region')))
    domains = own.get('domains') if isinstance(own, Mapping) else None
    if isinstance(domains, list) and tree.get('domain') not in domains:
        known = ', '.join(map(str, domains))
        yield (
            'domain',
            f'found {tree.get("domain")!r}',
            f'write one of {known}',
        )


def _region_faults(path: str, region: object) -> Iterator[Fault]:
    if not isinstance(region, Mapping):
        yield (path, 'not an object', 'write domains, control and ledger')
        return
    yield from _unknown_key_faults(path, region, _REGION_KEYS)
    domains = region.get('domains')
    are_names = isinstance(domains, list) and all(
        isinstance(domain, str) and domain for domain in domains
    )
    if not are_names or not domains:
        yield (
            f'{path}.domains',
            f'found {domains!r}',
            'write a list of failure domains',
        )
    for group in GROUPS:
        group_path = f'{path}.{group}'
        yield from _group_faults(group_path, region.get(group))


def _group_faults(path: str, group: object) -> Iterator[Fault]:
    if not isinstance(group, list):
        yield (path, f'found {group!r}', 'write a list of members')
        return
    for position, member in enumerate(group):
        yield from _member_faults(f'{path}[{position}]', member)
    witnesses = [voter for voter in _members(group) if voter.get('witness')]
    if len(group) % 2 == 0:
        yield (
            path,
            f'{len(group)} votes',
            'write an odd number of members, so that a majority exists',
        )
    elif 2 * len(witnesses) >= len(group):
        yield (
            path,
            'too many witnesses',
            'make fewer than half of the members witnesses',
        )


def _member_faults(path: str, member: object) -> Iterator[Fault]:
    if not isinstance(member, Mapping):
        yield (path, 'not an object', 'write member, peer and http')
        return
    yield from _unknown_key_faults(path, member, _MEMBER_KEYS)
    yield from _string_faults(path, member, ('member',))
    yield from _address_faults(path, member, _ADDRESS_KEYS)
    if not isinstance(member.get('witness', False), bool):
        yield (f'{path}.witness', 'not a boolean', 'write true or false')


def _duplicate_faults(regions: Mapping[str, Any]) -> Iterator[Fault]:
    members = [
        (key, str(member.get(key)))
        for region in regions.values()
        if isinstance(region, Mapping)
        for kind in GROUPS
        for member in _members(region.get(kind))
        for key in ('member', *_ADDRESS_KEYS)
        if member.get(key) is not None
    ]
    for (key, name), times in Counter(members).items():
        if times > 1:
            yield (
                'regions',
                f'{key} {name!r} is used {times} times',
                'give each member its own',
            )


def _members(group: object) -> list[Mapping[str, Any]]:
    if not isinstance(group, list):
        return []
    return [member for member in group if isinstance(member, Mapping)]


def _unknown_key_faults(
    path: str,
    tree: Mapping[str, Any],
    known: frozenset[str],
) -> Iterator[Fault]:
    hint = f'use one of {", ".join(sorted(known))}'
    for key in tree:
        if key not in known:
            yield (_join_path(path, key), 'unknown key', hint)


def _string_faults(
    path: str,
    tree: Mapping[str, Any],
    keys: tuple[str, ...],
) -> Iterator[Fault]:
    for key in keys:
        text = tree.get(key)
        if key not in tree:
            yield (_join_path(path, key), 'missing', 'write a non-empty string')
        elif not isinstance(text, str) or not text:
            yield (
                _join_path(path, key),
                f'found {text!r}',
                'write a non-empty string',
            )


def _address_faults(
    path: str,
    tree: Mapping[str, Any],
    keys: tuple[str, ...],
) -> Iterator[Fault]:
    for key in keys:
        if key not in tree:
            yield (_join_path(path, key), 'missing', 'write IP-ADDRESS:PORT')
        elif not is_address(tree[key]):
            yield (
                _join_path(path, key),
                f'found {tree[key]!r}',
                'write an IP address and a port, such as 127.0.0.1:7000',
            )


def _join_path(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key
