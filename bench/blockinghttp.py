"""Blocking requests to pages of the system, for scripts and checks."""

import http.client
import json
import urllib.parse
from collections.abc import Mapping
from typing import Any

TIMEOUT = 6.0


def request(
    method: str,
    url: str,
    body: bytes = b'',
    headers: Mapping[str, str] | None = None,
    timeout: float = TIMEOUT,
) -> tuple[int, Mapping[str, str], bytes]:
    """Return status, headers and body; status 0 when there is no answer."""
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
    """Return the JSON object at a page, empty when there is none."""
    _, _, octets = request('GET', url)
    try:
        document = json.loads(octets)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def fetch_status(url: str) -> int:
    """Return the status of a page, 0 when there is no answer."""
    return request('GET', url)[0]
