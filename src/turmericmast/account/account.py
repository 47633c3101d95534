"""A client account and the identity of a caller."""

import dataclasses
from collections.abc import Iterator
from typing import final

from turmericmast.ids import ApiKey, RegionId, TenantId
from turmericmast.names import MAX_NAME_LENGTH, is_token

NO_REGION = RegionId('-')
"""Stands for no region where home regions of route and account are disjoint.

An empty set of home regions would allow every region."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account of the configuration."""

    account: TenantId
    keys: frozenset[ApiKey] = dataclasses.field(repr=False)
    """Keys by which its requests are recognised; secret."""
    priority: int = 0
    """Priority of its requests instead of the route's; 0 is the highest."""
    rate: float = 0
    """Requests a second over all instances; 0 means no limit."""
    burst: float = 0
    """Requests beyond the rate that may come at once."""
    home_regions: frozenset[RegionId] = frozenset()
    """Regions that may serve the requests; any region when empty."""

    def find_faults(self) -> Iterator[str]:
        """Yield what is wrong with the account; keys are not repeated."""
        if not is_token(self.account):
            yield (
                f'name: write 1 to {MAX_NAME_LENGTH} printable ASCII '
                'characters without spaces'
            )
        if not all(map(is_token, self.keys)):
            yield (
                f'keys: write 1 to {MAX_NAME_LENGTH} printable ASCII '
                'characters without spaces for each'
            )
        if self.rate < 0:
            yield 'rate: must not be negative; leave it out for no limit'
        if self.burst < 0:
            yield 'burst: must not be negative'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who a caller is, where the configuration has accounts."""

    account: Account | None = None
    """The account of the key, ``None`` on a public route."""


def combine_home_regions(
    route_homes: frozenset[RegionId], identity: Identity | None
) -> frozenset[RegionId]:
    """Return the regions that may serve a request; all when empty.

    Both the route's and the account's home regions bind.
    """
    account = identity.account if identity else None
    if account is None or not account.home_regions:
        return route_homes
    if not route_homes:
        return account.home_regions
    return (route_homes & account.home_regions) or frozenset((NO_REGION,))
