"""In which order an edge asks the members of the core."""

from collections.abc import Iterable
from typing import final

from turmericmast.ids import DomainId, MemberId, RegionId, Seconds
from turmericmast.instancesettings import InstanceSettings
from turmericmast.replica.seat import Seat


@final
class MemberRanking:
    """Ranks members by their last failure, then by their distance."""

    def __init__(self) -> None:
        """Begin without a known member."""
        self.seats: tuple[Seat, ...] = ()
        """The members, as one of them told them last."""
        self._deprioritized_until_by_member: dict[MemberId, float] = {}

    def deprioritize(self, member: MemberId, until: float) -> None:
        """Put a member that failed behind all others until a time."""
        self._deprioritized_until_by_member[member] = until

    def order(self, settings: InstanceSettings, now: Seconds) -> list[MemberId]:
        """Return the known members, preferred ones first.

        Members that did not fail recently come first, then those whose failure
        was longest ago; near ones come before distant ones. ``settings`` are
        those of the edge, which may change while it runs.
        """
        return sorted(
            self._known(settings, now),
            key=lambda member: (
                self._failed_until(member, now),
                self._distance(member, settings),
                member,
            ),
        )

    def _known(
        self, settings: InstanceSettings, now: Seconds
    ) -> Iterable[MemberId]:
        """Return the members, plus the contacts if none of them works.

        The member on the same host is among them: after a loss of power it is
        often back before the contacts of the settings.
        """
        members = [seat.member for seat in self.seats]
        is_working = any(
            not self._failed_until(member, now) for member in members
        )
        contacts = (
            () if is_working else (settings.local_contact, *settings.contacts)
        )
        return filter(None, dict.fromkeys((*members, *map(MemberId, contacts))))

    def _failed_until(self, member: MemberId, now: Seconds) -> float:
        """Return until when a member is deprioritized, 0 if it is not."""
        until = self._deprioritized_until_by_member.get(member, 0)
        return until if until > now else 0

    def _distance(self, member: MemberId, settings: InstanceSettings) -> int:
        """Return 0 in the own domain or host, 1 in the own region, else 2."""
        domain = next(
            (seat.domain for seat in self.seats if seat.member == member),
            DomainId(''),
        )
        is_own_host = _host(member) == _host(settings.listening.peers)
        if domain == settings.domain or is_own_host:
            return 0
        region = settings.region_by_domain.get(domain, RegionId(''))
        return 1 if region == settings.region else 2


def _host(address: str) -> str:
    return address.rpartition(':')[0]
