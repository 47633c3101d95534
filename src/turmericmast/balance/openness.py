"""What targets have said themselves about wanting requests."""

import enum
from collections.abc import Iterable
from typing import final

from turmericmast.balance.departure import DepartureStage
from turmericmast.balance.targetview import TargetView
from turmericmast.ids import Seconds


@final
class Withholding(enum.Enum):
    """What a target has said that keeps requests from it.

    The values are metric labels.
    """

    leaving = 'leaving'
    paused = 'paused'


def withheld_by(
    view: TargetView, now: Seconds, *, as_last_resort: bool = False
) -> Withholding | None:
    """Return why a target wants no request of this instance now.

    ``as_last_resort`` tells that no other target can serve the request.
    """
    if view.departure.has_begun:
        stage = view.departure.stage(now)
        if not as_last_resort or stage is DepartureStage.closed:
            return Withholding.leaving
    return Withholding.paused if now < view.pause.returns_at else None


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
    causes = {withheld_by(view, now) for view in views}
    return frozenset(filter(None, causes))


def time_until_open(view: TargetView, now: Seconds) -> float:
    """Return the seconds until an ejection and a pause have ended."""
    return max(view.ejected_until() - now, view.pause.time_left(now))
