"""Demands of several edges that a member sends to the leader as one ask."""

import itertools
from collections.abc import Iterator
from typing import final

from turmericmast.allowance.tokens import TokenDemand, TokenGrant


@final
class DemandBatch:
    """Collects demands, and splits the leader's grants among the askers."""

    def __init__(self) -> None:
        """Begin without demands."""
        self._asks: list[tuple[TokenDemand, ...]] = []

    def add(self, demands: tuple[TokenDemand, ...]) -> int:
        """Add the demands of one edge; return the number of this ask."""
        self._asks.append(demands)
        return len(self._asks) - 1

    def merged(self) -> tuple[TokenDemand, ...]:
        """Return all demands, in the order of the asks."""
        return tuple(itertools.chain.from_iterable(self._asks))

    def split(
        self, grants: tuple[TokenGrant, ...]
    ) -> tuple[tuple[TokenGrant, ...], ...]:
        """Return the grants of each ask, by its number.

        ``grants`` has one for each of the merged demands, in their order.
        """
        return tuple(self._parts(iter(grants)))

    def _parts(
        self, grants: Iterator[TokenGrant]
    ) -> Iterator[tuple[TokenGrant, ...]]:
        for demands in self._asks:
            yield tuple(itertools.islice(grants, len(demands)))
