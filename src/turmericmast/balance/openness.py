"""Which targets want requests, by what they have said themselves."""

from collections.abc import Iterable, Iterator

from turmericmast.balance.candidate import Requirements
from turmericmast.balance.departure import DepartureStage
from turmericmast.balance.targetview import TargetView, Withholding
from turmericmast.ids import Seconds


def open_targets(
    views: Iterable[TargetView], requirements: Requirements, now: Seconds
) -> Iterator[TargetView]:
    """Yield the targets that want the request."""
    as_last_resort = requirements.allows_leaving
    return (
        view
        for view in views
        if view.withheld_by(now, as_last_resort=as_last_resort) is None
    )


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
    return frozenset(cause for cause in causes if cause)
