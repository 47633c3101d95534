"""The values that a fleet document can set, and their ranges."""

import dataclasses
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, final

from turmericmast.ids import RegionId


@final
@dataclasses.dataclass(frozen=True)
class Values:
    """Values for a call; the field names are the keys in the document."""

    home_regions: tuple[RegionId, ...] = ()
    """Regions that may serve the request and keep its record; empty: any."""
    ledger_region: RegionId = RegionId('')
    """Region whose ledger keeps keyed requests without home regions."""
    timeout_ms: int = 10_000
    """Timeout of a call in milliseconds; callers may only shorten it."""
    max_body_bytes: int = 67_108_864
    """Largest request body in bytes."""
    queue_limit: int = 200
    """Calls that may wait at one entry for one service."""
    retry_ratio: float = 0.1
    """Retries allowed for each first attempt, as a fraction."""
    address_ttl_ms: int = 2000
    """Milliseconds that a caller may cache resolved addresses."""
    measure_bytes_per_second: int = 4096
    """Bytes per second at one entry for announcements and their answers."""
    key_retention_s: int = 86_400
    """Seconds that the record of a keyed request is kept after its end."""

    def with_changes(self, changes: Mapping[str, Any]) -> 'Values':
        """Return a copy with the changes of an exception."""
        return dataclasses.replace(self, **changes)

    def resolve_ledger_region(self, default: RegionId) -> RegionId:
        """Return the region whose ledger keeps keyed requests.

        It is the first home region, else ``ledger_region``, else ``default``,
        which is the same at every entry of the fleet.
        """
        if self.home_regions:
            return self.home_regions[0]
        return self.ledger_region or default


FIELD_BY_NAME = MappingProxyType(
    {field.name: field for field in dataclasses.fields(Values)},
)
"""The values that a document can set, in the order of their explanation."""

RANGE_BY_NAME: Mapping[str, tuple[float, float]] = MappingProxyType(
    {
        'timeout_ms': (10, 600_000),
        'max_body_bytes': (0, 17_179_869_184),
        'queue_limit': (0, 100_000),
        'retry_ratio': (0, 1),
        'address_ttl_ms': (100, 3000),
        'measure_bytes_per_second': (256, 10_000_000),
        'key_retention_s': (60, 2_592_000),
    }
)
"""Smallest and largest allowed value of each number, both inclusive."""
