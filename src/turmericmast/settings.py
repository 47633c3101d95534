"""Settings of an entry, control or ledger process, from a JSON file."""

import dataclasses
import enum
import pathlib
from collections.abc import Mapping
from typing import Any, final

from returns.result import Failure, Result, Success

from turmericmast.exceptions import SettingsError
from turmericmast.ids import DomainId, InstanceId, MemberId, RegionId
from turmericmast.jsontext import parse_json
from turmericmast.validation import settings_faults


@final
class GroupKind(enum.Enum):
    """The replicated groups of a region; values are keys of the settings."""

    control = 'control'
    ledger = 'ledger'


@final
@dataclasses.dataclass(frozen=True)
class MemberSettings:
    """Id and addresses of a member of a replicated group."""

    member: MemberId
    peer: str
    """Address for other processes, IP address and port."""
    http: str
    """Address for operators and metrics."""
    witness: bool
    """Whether the member votes without storing the state."""


@final
@dataclasses.dataclass(frozen=True)
class RegionSettings:
    """The failure domains and the groups of a region."""

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
    """The settings of one process."""

    name: str
    region: RegionId
    domain: DomainId
    http: str
    """Address for calls at an entry, for operators and metrics at a member."""
    peer: str
    """Address of a group member for other processes; empty at an entry."""
    data: pathlib.Path | None
    """Data folder of a group member."""
    events: pathlib.Path | None
    """File for events, ``None`` to write no file."""
    ordering_region: RegionId
    """Region whose control group orders changes of the fleet document."""
    region_by_id: Mapping[RegionId, RegionSettings]
    logs_to_stdout: bool = False
    """Whether events go to standard output, as JSON lines."""

    @property
    def instance(self) -> InstanceId:
        """Return the instance id, which is the name of the process."""
        return InstanceId(self.name)

    @property
    def regions(self) -> frozenset[RegionId]:
        """Return the ids of all regions of the fleet."""
        return frozenset(self.region_by_id)

    @property
    def own_region(self) -> RegionSettings:
        """Return the settings of the region of this process."""
        return self.region_by_id[self.region]

    def find_control_member(self, member: MemberId) -> MemberSettings | None:
        """Return the settings of a member of any region's control group."""
        return next(
            (
                control_member
                for region in self.region_by_id.values()
                for control_member in region.control
                if control_member.member == member
            ),
            None,
        )

    def find_group(
        self,
        kind: GroupKind,
        member: MemberId,
    ) -> tuple[RegionId, tuple[MemberSettings, ...]] | None:
        """Return the region and the members of the group with ``member``."""
        return next(
            (
                (region.region, region.group(kind))
                for region in self.region_by_id.values()
                if any(other.member == member for other in region.group(kind))
            ),
            None,
        )


def load_settings(path: pathlib.Path) -> Result[Settings, SettingsError]:
    """Read a settings file and return its settings, or all of its faults."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        cause = error.strerror if isinstance(error, OSError) else 'not UTF-8'
        return Failure(
            SettingsError(
                f'cannot be read: {cause}',
                step='read settings',
                peer=path.name,
                hint='give a readable file with --settings',
            ),
        )
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, SettingsError]:
    """Check a settings document and return it, or all of its faults."""
    parsed = parse_json(text)
    faults = (
        list(settings_faults(parsed.unwrap()))
        if isinstance(parsed, Success)
        else [('document', parsed.failure(), 'correct the JSON syntax')]
    )
    if faults:
        lines = [f'{path}: {problem}; {hint}' for path, problem, hint in faults]
        return Failure(
            SettingsError('\n'.join(lines), step='check settings'),
        )
    return Success(_build(parsed.unwrap()))


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
            MemberId(member['member']),
            member['peer'],
            member['http'],
            bool(member.get('witness', False)),
        )
        for member in group
    )
