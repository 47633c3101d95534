"""Failure domains that operators take out of service."""

from collections.abc import Iterable
from typing import final

from turmericmast.cluster.commands import SetEvacuation
from turmericmast.ids import DomainId, Index


@final
class Evacuations:
    """The evacuated failure domains, and the last order about each domain."""

    def __init__(self) -> None:
        """Begin with all domains in service."""
        self.domains: frozenset[DomainId] = frozenset()
        """The evacuated domains."""
        self._index_by_domain: dict[DomainId, Index] = {}
        self._restored_at = Index(0)

    def restore(self, domains: Iterable[DomainId], index: Index) -> None:
        """Replace the state by that of a snapshot.

        Snapshots do not say when orders came. All count as from ``index``.
        """
        self.domains = frozenset(domains)
        self._index_by_domain.clear()
        self._restored_at = index

    def set(self, domain: DomainId, *, evacuated: bool, index: Index) -> bool:
        """Begin or end an evacuation; return whether that is a change.

        An order that changes nothing is acknowledged like others, so no
        earlier one may undo it.
        """
        self._index_by_domain[domain] = index
        if self.is_set(domain, evacuated=evacuated):
            return False
        self.domains ^= {domain}
        return True

    def is_set(self, domain: DomainId, *, evacuated: bool) -> bool:
        """Tell whether a domain is in the given state."""
        return (domain in self.domains) == evacuated

    def is_overtaken(self, order: SetEvacuation, known: Index) -> bool:
        """Tell whether an order would undo one from after ``known``."""
        if self.is_set(order.domain, evacuated=order.evacuated):
            return False
        ordered_at = self._index_by_domain.get(order.domain, self._restored_at)
        return ordered_at > known
