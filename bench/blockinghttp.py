"""Blocking HTTP requests, for scripts and for code that runs in a thread."""

import http.client
import json
import urllib.parse
from collections.abc import Mapping
from typing import Any

TIMEOUT = 6.0
"""Default timeout of a request, in seconds."""


def request(
    method: str,
    url: str,
    body: bytes = b'',
    headers: Mapping[str, str] | None = None,
    timeout: float = TIMEOUT,
) -> tuple[int, Mapping[str, str], bytes]:
    """Return status, headers and body; the status is 0 without an answer."""
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(parts.netloc, timeout=timeout)
    path = f'{parts.path}?{parts.query}' if parts.query else parts.path
    try:
        connection.request(method, path, body or None, dict(headers or {}))
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b''
    finally:
        connection.close()


def fetch_json(url: str) -> dict[str, Any]:
    """Return the JSON object at a URL, empty when there is none."""
    _, _, octets = request('GET', url)
    try:
        document = json.loads(octets)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def fetch_status(url: str) -> int:
    """Return the status of a GET request, 0 without an answer."""
    return request('GET', url)[0]
