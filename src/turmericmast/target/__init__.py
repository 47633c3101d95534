"""The target aggregate."""

from turmericmast.target.announcement import Announcement as Announcement
from turmericmast.target.announcement import TargetSpec as TargetSpec
from turmericmast.target.announcement import TargetState as TargetState
from turmericmast.target.announcement import (
    parse_announcement as parse_announcement,
)
from turmericmast.target.target import Ending as Ending
from turmericmast.target.target import Target as Target
