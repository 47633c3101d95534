"""Builds JSON documents that show the state of a region to operators."""

from typing import TYPE_CHECKING, Any

from turmericmast.fleet.fleet import ChangeState
from turmericmast.ids import Version

if TYPE_CHECKING:
    from turmericmast.programs.control import Control


def version_document(
    control: 'Control',
    version: Version | int | None,
) -> dict[str, Any]:
    """Return the rollout of a fleet version; ``None`` is the current one.

    The digest is always that of the current version.
    """
    region = control.region
    fleet = region.fleet
    shown_version = Version(version) if version else fleet.current.version
    state = fleet.state_of(shown_version)
    waiting_regions = (
        fleet.waiting_for(shown_version, region.regions)
        if state is ChangeState.pending
        else ()
    )
    return {
        'version': shown_version,
        'digest': fleet.current.digest,
        'current': fleet.current.version,
        'accepted': fleet.accepted,
        'state': state.value,
        'waiting_for': list(waiting_regions),
    }


def placement_document(placement: Any) -> dict[str, Any]:
    """Return the specification of a target and its owner."""
    spec = placement.spec
    return {
        'target': spec.target,
        'service': spec.service,
        'address': spec.address,
        'domain': spec.domain,
        'slots': spec.slots,
        'owner': placement.owner,
    }


def members_document(control: 'Control') -> list[dict[str, Any]]:
    """Return the members of the control group.

    ``behind`` is the number of committed log entries that a member is not
    known to have.
    """
    replica_state = control.group.replica.state
    return [
        {
            'member': seat.member,
            'witness': seat.witness,
            'incarnation': seat.incarnation,
            'behind': control.group.replica.lag(seat.member),
        }
        for seat in replica_state.membership.seats
    ]
