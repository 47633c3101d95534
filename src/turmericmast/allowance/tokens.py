"""What edges ask of the leader of the core, and what it grants."""

import dataclasses
from typing import final

from turmericmast.ids import TenantId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TokenDemand:
    """Tokens of one account that an edge asks for and gives back."""

    account: TenantId
    needed: int
    """Tokens for requests that wait."""
    spare: int
    """Tokens for requests that are expected."""
    returned: int
    """Tokens of earlier grants that no request has used or ever will."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TokenGrant:
    """The answer to a ``TokenDemand``."""

    tokens: int
    wait_ms: int
    """Milliseconds for which the edge asks for no more tokens.

    0 if all that were needed were granted."""
    filling: bool
    """Whether tokens lack only because the leader is new.

    The account may be within its limit then."""
