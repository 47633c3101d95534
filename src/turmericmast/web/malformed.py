"""Responses that break the grammar of HTTP."""

from typing import final

from tornado.httputil import HTTPInputError

from turmericmast.web.rejection import Rejection

MAX_QUOTED = 40
"""Characters of a malformed part that an error repeats."""


@final
class MalformedResponseError(HTTPInputError):
    """A response that breaks the grammar, so that nothing of it is used."""

    def __init__(
        self, rejection: Rejection, message: str, status: int = 0
    ) -> None:
        """Note the reason, and the ``status``, 0 if it is not known."""
        super().__init__(message)
        self.rejection = rejection
        self.status = status


def quoted(text: str) -> str:
    """Return a part of a response as an error repeats it, in ASCII."""
    return ascii(text[:MAX_QUOTED])
