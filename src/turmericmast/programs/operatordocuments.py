"""From the state of a region to JSON documents for operators."""

from typing import TYPE_CHECKING, Any

from turmericmast.fleet.fleet import ChangeState
from turmericmast.ids import Version

if TYPE_CHECKING:
    from turmericmast.programs.control import Control


def version_document(
    control: 'Control',
    version: Version | int | None,
) -> dict[str, Any]:
    """Return how far a version has come; ``None`` is the present one."""
    region = control.region
    fleet = region.fleet
    shown = Version(version) if version else fleet.current.version
    state = fleet.state_of(shown)
    waiting = (
        fleet.waiting_for(shown, region.regions)
        if state is ChangeState.pending
        else ()
    )
    return {
        'version': shown,
        'digest': fleet.current.digest,
        'current': fleet.current.version,
        'accepted': fleet.accepted,
        'state': state.value,
        'waiting_for': list(waiting),
    }


def placement_document(placement: Any) -> dict[str, Any]:
    """Return a target with its owner."""
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
    """Return the members of the group, and how far each is behind."""
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
