"""The values that defaults and exceptions of a fleet may set."""

import dataclasses
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, final

from turmericmast.ids import RegionId


@final
@dataclasses.dataclass(frozen=True)
class Values:
    """What applies to a call; field names are the names in the document."""

    home_regions: tuple[RegionId, ...] = ()
    """Regions that may serve and keep the request; empty means any."""
    ledger_region: RegionId = RegionId('')
    """Region that keeps the records of keyed requests."""
    timeout_ms: int = 10_000
    """Longest time for a call, whatever its caller asks for."""
    max_body_bytes: int = 67_108_864
    """Largest request body."""
    queue_limit: int = 200
    """Calls that may wait at one entry for one service."""
    retry_ratio: float = 0.1
    """Retries allowed for each first attempt."""
    address_ttl_ms: int = 2000
    """How long a caller may keep an answer about addresses."""
    measure_bytes_per_second: int = 4096
    """Budget of one entry for hearing of load, requests and answers."""
    key_retention_s: int = 86_400
    """How long a record of a keyed request is kept after its end."""

    def with_changes(self, changes: Mapping[str, Any]) -> 'Values':
        """Return the values with those of an exception put in."""
        return dataclasses.replace(self, **changes)

    def resolve_ledger_region(self, default: RegionId) -> RegionId:
        """Return the region whose ledger keeps keyed requests.

        ``default`` is the same at every entry of the fleet.
        """
        if self.home_regions:
            return self.home_regions[0]
        return self.ledger_region or default


FIELD_BY_NAME = MappingProxyType(
    {field.name: field for field in dataclasses.fields(Values)},
)

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
"""Smallest and largest value of each number."""
