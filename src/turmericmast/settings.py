"""Settings of a process: one JSON file, checked as a whole."""

import dataclasses
import enum
import ipaddress
import json
import pathlib
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any, TypeAlias, final

from returns.result import Failure, Result, Success

from turmericmast.exceptions import SettingsError
from turmericmast.ids import DomainId, InstanceId, MemberId, RegionId

Fault: TypeAlias = tuple[str, str, str]
"""Path in the document, what was found, what to write."""


@final
class GroupKind(enum.Enum):
    """The two groups of a region; the value is the key in the settings."""

    control = 'control'
    ledger = 'ledger'


@final
@dataclasses.dataclass(frozen=True)
class MemberSettings:
    """A member of a replicated group."""

    member: MemberId
    peer: str
    """Address for other processes, IP number and port."""
    http: str
    """Address for operators and metrics."""
    witness: bool


@final
@dataclasses.dataclass(frozen=True)
class RegionSettings:
    """The groups of one region."""

    region: RegionId
    domains: tuple[DomainId, ...]
    control: tuple[MemberSettings, ...]
    ledger: tuple[MemberSettings, ...]

    def group(self, kind: GroupKind) -> tuple[MemberSettings, ...]:
        """Return the members of one of the groups."""
        return self.control if kind is GroupKind.control else self.ledger


@final
@dataclasses.dataclass(frozen=True)
class Settings:
    """Everything that one process is told."""

    name: str
    region: RegionId
    domain: DomainId
    http: str
    peer: str
    data: pathlib.Path | None
    events: pathlib.Path | None
    ordering_region: RegionId
    """Region whose group orders changes of the fleet document."""
    region_by_id: Mapping[RegionId, RegionSettings]

    @property
    def instance(self) -> InstanceId:
        """Return the name as that of an entry instance."""
        return InstanceId(self.name)

    @property
    def regions(self) -> frozenset[RegionId]:
        """Return all regions of the fleet."""
        return frozenset(self.region_by_id)

    @property
    def own(self) -> RegionSettings:
        """Return the region of this process."""
        return self.region_by_id[self.region]

    def group_of_control(self, member: MemberId) -> MemberSettings | None:
        """Return the settings of a member of a control group."""
        return next(
            (
                one
                for region in self.region_by_id.values()
                for one in region.control
                if one.member == member
            ),
            None,
        )

    def group_of(
        self,
        kind: GroupKind,
        member: MemberId,
    ) -> tuple[RegionId, tuple[MemberSettings, ...]] | None:
        """Return the region and the group that a member sits in."""
        return next(
            (
                (region.region, region.group(kind))
                for region in self.region_by_id.values()
                if any(one.member == member for one in region.group(kind))
            ),
            None,
        )


def load_settings(path: pathlib.Path) -> Result[Settings, SettingsError]:
    """Read and check a settings file."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        found = error.strerror if isinstance(error, OSError) else 'not UTF-8'
        return Failure(
            SettingsError(
                f'cannot be read: {found}',
                step='read settings',
                peer=path.name,
                hint='give a readable file with --settings',
            ),
        )
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, SettingsError]:
    """Check a settings document and return it, or all of its faults."""
    try:
        tree = json.loads(text)
    except ValueError as error:
        faults = [('document', f'no JSON: {error}', 'mend the JSON')]
    else:
        faults = list(_faults(tree))
    if faults:
        lines = [f'{path}: {found}; {hint}' for path, found, hint in faults]
        return Failure(
            SettingsError('\n'.join(lines), step='check settings'),
        )
    return Success(_build(tree))


_TEXT_KEYS = ('name', 'region', 'domain', 'ordering_region')
_ADDRESS_KEYS = ('http', 'peer')
_PATH_KEYS = ('data', 'events')
_KEYS = frozenset((*_TEXT_KEYS, *_ADDRESS_KEYS, *_PATH_KEYS, 'regions'))
_MEMBER_KEYS = frozenset(('member', 'peer', 'http', 'witness'))
_REGION_KEYS = frozenset(('domains', 'control', 'ledger'))


def _faults(tree: object) -> Iterator[Fault]:
    if not isinstance(tree, Mapping):
        yield ('document', 'not an object', 'write {"name": …}')
        return
    yield from _unknown('', tree, _KEYS)
    yield from _texts('', tree, _TEXT_KEYS)
    yield from _addresses('', tree, ('http',))
    if 'peer' in tree:
        yield from _addresses('', tree, ('peer',))
    for key in _PATH_KEYS:
        if not isinstance(tree.get(key, ''), str):
            yield (key, f'found {tree[key]!r}', 'write a path as a string')
    regions = tree.get('regions')
    if not isinstance(regions, Mapping) or not regions:
        yield ('regions', f'found {regions!r}', 'write {"REGION": {…}}')
        return
    for name, region in regions.items():
        yield from _region_faults(f'regions.{name}', region)
    yield from _reference_faults(tree, regions)
    yield from _duplicate_faults(regions)


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
        yield ('domain', f'found {tree.get("domain")!r}', f'one of {known}')


def _region_faults(path: str, region: object) -> Iterator[Fault]:
    if not isinstance(region, Mapping):
        yield (path, 'not an object', 'write domains, control and ledger')
        return
    yield from _unknown(path, region, _REGION_KEYS)
    domains = region.get('domains')
    is_names = isinstance(domains, list) and all(
        isinstance(domain, str) and domain for domain in domains
    )
    if not is_names or not domains:
        yield (
            f'{path}.domains',
            f'found {domains!r}',
            'write a list of failure domains',
        )
    for kind in GroupKind:
        where = f'{path}.{kind.value}'
        yield from _group_faults(where, region.get(kind.value))


def _group_faults(path: str, group: object) -> Iterator[Fault]:
    if not isinstance(group, list):
        yield (path, f'found {group!r}', 'write a list of members')
        return
    for position, member in enumerate(group):
        where = f'{path}[{position}]'
        if not isinstance(member, Mapping):
            yield (where, 'not an object', 'write member, peer and http')
            continue
        yield from _unknown(where, member, _MEMBER_KEYS)
        yield from _texts(where, member, ('member',))
        yield from _addresses(where, member, _ADDRESS_KEYS)
        if not isinstance(member.get('witness', False), bool):
            yield (f'{where}.witness', 'not a boolean', 'write true or false')
    if len(group) % 2 == 0:
        yield (
            path,
            f'{len(group)} votes',
            'write an odd number of members, so that a majority exists',
        )
    elif all(isinstance(one, Mapping) for one in group):
        full = [one for one in group if not one.get('witness', False)]
        if 2 * len(full) <= len(group):
            yield (path, 'too many witnesses', 'make most members full ones')


def _duplicate_faults(regions: Mapping[str, Any]) -> Iterator[Fault]:
    members = [
        (key, str(member.get(key)))
        for region in regions.values()
        if isinstance(region, Mapping)
        for kind in GroupKind
        for member in _members(region.get(kind.value))
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


def _unknown(
    path: str,
    tree: Mapping[str, Any],
    known: frozenset[str],
) -> Iterator[Fault]:
    wanted = f'use one of {", ".join(sorted(known))}'
    for key in tree:
        if key not in known:
            yield (_join(path, key), 'unknown key', wanted)


def _texts(
    path: str,
    tree: Mapping[str, Any],
    keys: tuple[str, ...],
) -> Iterator[Fault]:
    for key in keys:
        given = tree.get(key)
        if key not in tree:
            yield (_join(path, key), 'missing', 'write a non-empty string')
        elif not isinstance(given, str) or not given:
            yield (
                _join(path, key),
                f'found {given!r}',
                'write a non-empty string',
            )


def _addresses(
    path: str,
    tree: Mapping[str, Any],
    keys: tuple[str, ...],
) -> Iterator[Fault]:
    for key in keys:
        if key not in tree:
            yield (_join(path, key), 'missing', 'write IP-NUMBER:PORT')
        elif not is_address(tree[key]):
            yield (
                _join(path, key),
                f'found {tree[key]!r}',
                'write an IP number and a port, such as 127.0.0.1:7000',
            )


def is_address(given: object) -> bool:
    """Tell whether a text is an IP number and a port."""
    host, _, port = str(given).rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) < 2**16


def _join(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key


def _build(tree: Mapping[str, Any]) -> Settings:
    return Settings(
        name=tree['name'],
        region=RegionId(tree['region']),
        domain=DomainId(tree['domain']),
        http=tree['http'],
        peer=tree.get('peer', ''),
        data=pathlib.Path(tree['data']) if tree.get('data') else None,
        events=pathlib.Path(tree['events']) if tree.get('events') else None,
        ordering_region=RegionId(tree['ordering_region']),
        region_by_id={
            RegionId(name): RegionSettings(
                RegionId(name),
                tuple(region['domains']),
                _build_group(region['control']),
                _build_group(region['ledger']),
            )
            for name, region in tree['regions'].items()
        },
    )


def _build_group(group: list[Mapping[str, Any]]) -> tuple[MemberSettings, ...]:
    return tuple(
        MemberSettings(
            MemberId(one['member']),
            one['peer'],
            one['http'],
            bool(one.get('witness', False)),
        )
        for one in group
    )
