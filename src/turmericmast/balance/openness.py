"""What the targets of a service have said about wanting requests."""

from collections.abc import Iterable

from turmericmast.balance.departure import DepartureStage
from turmericmast.balance.targetview import TargetView, Withholding
from turmericmast.ids import Seconds


def has_last_resort(views: Iterable[TargetView], now: Seconds) -> bool:
    """Tell whether a leaving target may serve if no other one can."""
    return any(
        view.departure.stage(now) is DepartureStage.last_resort
        for view in views
    )


def withholdings(
    views: Iterable[TargetView], now: Seconds
) -> frozenset[Withholding]:
    """Return why some of the targets want no requests."""
    causes = {view.withheld_by(now) for view in views}
    return frozenset(filter(None, causes))
