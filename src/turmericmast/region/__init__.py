"""The region aggregate: sessions, ownership, outages and quarantine."""

from turmericmast.region.records import Feed as Feed
from turmericmast.region.records import OutageKind as OutageKind
from turmericmast.region.records import Placement as Placement
from turmericmast.region.region import Region as Region
from turmericmast.region.view import RegionView as RegionView
