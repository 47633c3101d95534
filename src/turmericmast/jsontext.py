"""JSON from outside, checked before anything is read from it."""

import collections
import itertools
import json
import math
from collections.abc import Iterable
from typing import Any

from returns.result import Failure, Result, Success

MAX_ITEMS = 300_000
"""Most items of an operator's document: one for 14 bytes of the longest one.

Four million bytes of empty objects take more than 100 MB once they are read."""
MAX_DEPTH = 32
"""Most levels of a document; ours have 6."""


def parse_json(source: str | bytes) -> Result[Any, str]:
    """Return the document in a JSON text, or why it cannot be read.

    Its numbers are finite, and it has ``MAX_DEPTH`` levels at most.
    """
    try:
        document = json.loads(
            source, parse_float=_parse_finite, parse_constant=_refuse_constant
        )
    except RecursionError:
        return Failure(_too_deep())
    except ValueError as error:
        return Failure(f'not valid JSON: {error}')
    return Failure(_too_deep()) if _is_deep(document) else Success(document)


def has_many_items(source: bytes) -> bool:
    """Tell whether a text has more items than a client's document may have.

    It is told from the marks between them, before anything is built.
    """
    return sum(map(source.count, (b',', b'[', b'{'))) > MAX_ITEMS


def repeated_keys(source: str | bytes) -> frozenset[str]:
    """Return the keys that stand twice in one object of a valid JSON text."""
    repeated: set[str] = set()

    def note_repeated(pairs: list[tuple[str, Any]]) -> None:
        keys = collections.Counter(key for key, _ in pairs)
        repeated.update(key for key, count in keys.items() if count > 1)

    json.loads(source, object_pairs_hook=note_repeated)
    return frozenset(repeated)


def _parse_finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f'the number {text[:MAX_DEPTH]} is too large')
    return number


def _refuse_constant(name: str) -> float:
    raise ValueError(f'{name} is no number in JSON')


def _is_deep(document: object) -> bool:
    level = [document]
    for _ in range(MAX_DEPTH):
        level = list(itertools.chain.from_iterable(map(_children, level)))
        if not level:
            return False
    return True


def _children(node: object) -> Iterable[Any]:
    if isinstance(node, dict):
        return node.values()
    return node if isinstance(node, list) else ()


def _too_deep() -> str:
    return f'nested deeper than {MAX_DEPTH} levels'
