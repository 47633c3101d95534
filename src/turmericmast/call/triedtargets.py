"""The targets that one request was sent to, at this instance and elsewhere."""

import collections
from collections.abc import Collection, Iterable, Iterator
from typing import final

from turmericmast.ids import TargetId


@final
class TriedTargets(Collection[TargetId]):
    """The targets that get no further copy of a request from this instance.

    A target that gets a request id twice may run the request twice, and its
    failure of the first copy would be hidden by a success of the second one.
    """

    def __init__(self, reached_elsewhere: Iterable[TargetId] = ()) -> None:
        """Begin with the targets that other instances have reached."""
        self._reached = dict.fromkeys(reached_elsewhere)
        self._unreached: set[TargetId] = set()
        self._attempts_by_address: collections.Counter[str] = (
            collections.Counter()
        )

    def __contains__(self, target: object) -> bool:
        """Tell whether a target was tried."""
        return target in self._reached or target in self._unreached

    def __iter__(self) -> Iterator[TargetId]:
        """Yield the targets that were tried."""
        yield from self._reached
        yield from self._unreached

    def __len__(self) -> int:
        """Return how many targets were tried."""
        return len(self._reached) + len(self._unreached)

    @property
    def reached(self) -> tuple[TargetId, ...]:
        """Return the targets that may have got the request, oldest first."""
        return tuple(self._reached)

    def begin(self, target: TargetId, address: str) -> None:
        """Add a target to which the request is about to be sent."""
        self._reached[target] = None
        self._attempts_by_address[address] += 1

    def has_single_attempt_at(self, address: str) -> bool:
        """Tell whether at most one attempt goes to an address.

        Two targets are known at one address if the former has just ended. A
        response to the first attempt that comes late, on a kept connection,
        would be taken for that to the second one: both bear the same id.
        """
        return self._attempts_by_address[address] <= 1

    def mark_unreached(self, target: TargetId) -> None:
        """Record that no byte of the request was sent to a target.

        Another instance may have a path to it.
        """
        self._reached.pop(target, None)
        self._unreached.add(target)

    def add_reached(self, targets: Iterable[TargetId]) -> None:
        """Add targets that another instance has sent the request to."""
        added = dict.fromkeys(targets)
        self._unreached.difference_update(added)
        self._reached.update(added)
