"""Whether a response lets its connection serve another request."""

from collections.abc import Sequence

BODILESS_STATUSES = frozenset(('204', '304'))
"""Statuses of responses without a body."""


def persists(lines: Sequence[str], method: str) -> bool:
    """Tell whether a connection goes on after a response (RFC 9112, 9.3).

    ``lines`` are those of the head, ``method`` is that of the request.
    """
    version, _, rest = lines[0].partition(' ')
    fields = [line.lower().partition(':') for line in lines[1:]]
    content_by_name = {name: content for name, _, content in fields}
    if version == 'HTTP/1.0' or any(
        name == 'connection' and 'close' in content
        for name, _, content in fields
    ):
        return False
    if method == 'HEAD' or rest[:3] in BODILESS_STATUSES:
        return True
    encoding = content_by_name.get('transfer-encoding')
    if encoding is None:
        return 'content-length' in content_by_name
    return encoding.strip().endswith('chunked')
