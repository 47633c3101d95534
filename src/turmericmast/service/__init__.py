"""The service aggregate."""

from turmericmast.service.backlog import Waiting as Waiting
from turmericmast.service.policy import LeastAgePolicy as LeastAgePolicy
from turmericmast.service.policy import Policy as Policy
from turmericmast.service.service import Dispatch as Dispatch
from turmericmast.service.service import Service as Service
