"""What a front end says beside requests and answers, whatever its headers."""

import abc
import dataclasses
from typing import ClassVar, final

from tornado.httputil import HTTPHeaders

from turmericmast.balance.load import LoadReport
from turmericmast.ids import Seconds, TargetId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller says beside its request."""

    request_id: str
    caller_timeout: Seconds | None
    """How long the caller will wait, where it says so."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What a target says beside its answer."""

    request_id: str
    is_signed: bool
    is_not_run: bool
    """Whether the target vouches that it has not run the request."""
    is_misdirected: bool
    """Whether another target than the expected one answered."""
    load: LoadReport | None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class HealthMetadata:
    """What a target says of its health."""

    target: TargetId
    cold_time_left: Seconds
    """How much longer it stays cold, 0 when it is warm."""
    load: LoadReport | None
    is_not_run: bool
    """Whether it was too busy to look."""


class HeaderFormat(abc.ABC):
    """Reads and writes the headers of one kind of callers and targets."""

    replaced_headers: ClassVar[frozenset[str]]
    """Headers in lower case that are set here and not passed on."""

    @abc.abstractmethod
    def read_request(self, headers: HTTPHeaders) -> RequestMetadata:
        """Return what a caller says beside its request."""

    @abc.abstractmethod
    def target_headers(
        self,
        target: TargetId,
        time_left: Seconds,
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers that go to a target; ``left`` is its time."""

    @abc.abstractmethod
    def read_response(
        self, status: int, headers: HTTPHeaders
    ) -> ResponseMetadata:
        """Return what a target says beside its answer."""

    @abc.abstractmethod
    def read_health(self, headers: HTTPHeaders) -> HealthMetadata:
        """Return what a target says of its health."""
