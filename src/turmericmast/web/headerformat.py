"""Interface to the headers by which callers, edges and targets cooperate."""

import abc
import dataclasses
from typing import final

from tornado.httputil import HTTPHeaders

from turmericmast.balance.load import LoadReport
from turmericmast.balance.statement import NO_STATEMENT, TargetStatement
from turmericmast.ids import ApiKey, Seconds, TargetId, TenantId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata in the headers of a caller's request."""

    request_id: str
    """Id chosen by the caller; empty if there is none."""
    caller_timeout: Seconds | None
    """Seconds for which the caller waits, ``None`` if not given."""
    keys: tuple[ApiKey, ...] = dataclasses.field(default=(), repr=False)
    """Keys of client accounts, one for each header with a key."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata in the headers of a target's response."""

    request_id: str
    """Id of the request that the response belongs to."""
    is_signed: bool
    """Whether one signature is present; it is not verified."""
    is_not_run: bool
    """Whether the target states that it has not run the request."""
    is_misdirected: bool
    """Whether the request reached another target than the intended one."""
    load: LoadReport | None
    """Load report of the target, ``None`` if it sent no valid one."""
    has_reached_target: bool = True
    """Whether a target got the request.

    False only if another instance says so."""
    tried: tuple[TargetId, ...] = ()
    """Targets that may have got the request, if another instance says so."""
    statement: TargetStatement = NO_STATEMENT
    """What the target states about itself."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class HealthMetadata:
    """Metadata in the headers of the response to a health check."""

    target: TargetId
    """Id of the target that responded; empty if not given."""
    cold_time_left: Seconds
    """Seconds until the target is warm, 0 if it is (slow start)."""
    load: LoadReport | None
    """Load report of the target, ``None`` if it sent no valid one."""
    is_not_run: bool
    """Whether the target was too busy to run the health check."""
    answers_request: bool = False
    """Whether it is the response to an earlier request, not to this check."""
    statement: TargetStatement = NO_STATEMENT
    """What the target states about itself."""


class HeaderFormat(abc.ABC):
    """Reads and writes the headers that one platform uses for metadata."""

    @property
    @abc.abstractmethod
    def replaced_headers(self) -> frozenset[str]:
        """Return the names in lower case that ``target_headers`` sets anew.

        Those that the caller sent are not forwarded.
        """

    @abc.abstractmethod
    def read_request(self, headers: HTTPHeaders) -> RequestMetadata:
        """Return the metadata of a caller's request."""

    @abc.abstractmethod
    def timeout_headers(
        self, time_left: Seconds
    ) -> tuple[tuple[str, str], ...]:
        """Return the header with the time until the deadline, in seconds."""

    @abc.abstractmethod
    def target_headers(
        self,
        target: TargetId,
        time_left: Seconds,
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers to add to a request that goes to a target.

        ``time_left`` is the time until the deadline, in seconds.
        """

    @property
    @abc.abstractmethod
    def account_headers(self) -> frozenset[str]:
        """Return the names in lower case of headers about client accounts.

        Where there are accounts, targets get none of them from the caller.
        """

    @abc.abstractmethod
    def name_account(self, account: TenantId) -> tuple[tuple[str, str], ...]:
        """Return the header that tells a target the account of a request."""

    @abc.abstractmethod
    def read_response(
        self, status: int, headers: HTTPHeaders
    ) -> ResponseMetadata:
        """Return the metadata of a target's response."""

    @abc.abstractmethod
    def read_health(self, headers: HTTPHeaders) -> HealthMetadata:
        """Return the metadata of the response to a health check."""
