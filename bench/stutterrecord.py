"""What targets and callers of a stutter trial recorded."""

import dataclasses
import enum
import json
import pathlib
import zlib
from collections.abc import Iterable, Mapping
from typing import Any, NewType, final

CallId = NewType('CallId', str)
"""Id of a request, 16 hexadecimal digits."""
Signature = NewType('Signature', str)
"""Signature of one run; no two runs have the same one."""


@final
class Kind(enum.Enum):
    """Kind of a route, as the platform names it."""

    safe = 'safe'
    unsafe = 'unsafe'
    download = 'download'


@final
class Ending(enum.Enum):
    """Where a run ended; all but ``whole`` because its connection closed."""

    before = 'before'
    """Before the first byte of its response."""
    first = 'first'
    """Within the first response."""
    between = 'between'
    """After the first response and before the second one."""
    second = 'second'
    """Within the second response."""
    whole = 'whole'
    """All that it meant to write was written."""


@final
class Timing(enum.Enum):
    """When a target writes its second response."""

    none = 'none'
    at_once = 'at_once'
    due = 'due'
    """Where the response to the next request is due."""
    idle = 'idle'
    """On an idle connection."""


@final
class Cut(enum.Enum):
    """Where a target stops within a response."""

    none = 'none'
    head = 'head'
    body = 'body'


@final
class Before(enum.Enum):
    """What a target wrote right before a response, where it was due."""

    nothing = 'nothing'
    part = 'part'
    """A part of the copy of an earlier response."""
    whole = 'whole'
    """A copy of an earlier response."""


@final
@dataclasses.dataclass(frozen=True)
class Digest:
    """Length and checksum of a body."""

    length: int
    checksum: int

    @classmethod
    def of(cls, body: bytes) -> 'Digest':
        """Return the digest of a body."""
        return cls(len(body), zlib.crc32(body))


@final
@dataclasses.dataclass
class Run:
    """A request that ran at a target; times by the monotonic clock."""

    call: CallId
    target: str
    connection: int
    """Number of the connection at its target."""
    kind: Kind
    signature: Signature
    status: int
    """HTTP status of the first response, 0 if it wrote none."""
    digest: Digest
    """Of the body of the first response, before any cut."""
    at: float
    ending: Ending = Ending.before
    first_cut: bool = False
    """Whether it stopped within the body of the first response."""
    timing: Timing = Timing.none
    cut: Cut = Cut.none
    """Where the second response was cut."""


@final
@dataclasses.dataclass(frozen=True)
class HealthAnswer:
    """An answer to a health check."""

    target: str
    connection: int
    status: int
    at: float
    before: Before = Before.nothing


@final
@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller got for a request; times by the monotonic clock."""

    call: CallId
    kind: Kind
    instance: str
    status: int
    """HTTP status, 0 without an answer."""
    answered_call: str
    signature: str
    digest: Digest
    is_whole: bool
    at: float
    """When the caller sent the request."""
    head: str = ''
    """Head of the answer, for reports."""


@final
@dataclasses.dataclass
class StutterRecord:
    """Everything that targets and callers recorded."""

    runs: list[Run] = dataclasses.field(default_factory=list)
    health_answers: list[HealthAnswer] = dataclasses.field(default_factory=list)
    answers: list[Answer] = dataclasses.field(default_factory=list)
    connections: int = 0
    """Connections that targets accepted."""
    joined: int = 0
    """Responses that began right after a part of another one."""

    def write(self, path: pathlib.Path) -> None:
        """Write the record to a file, which appears when it is complete."""
        draft = path.with_suffix('.part')
        draft.write_text(
            json.dumps(dataclasses.asdict(self), default=_encode),
            encoding='utf-8',
        )
        draft.rename(path)

    @classmethod
    def read(cls, paths: Iterable[pathlib.Path]) -> 'StutterRecord':
        """Return the joint record of several processes."""
        record = cls()
        for path in paths:
            document = json.loads(path.read_text(encoding='utf-8'))
            record.runs += map(_decode_run, document['runs'])
            record.health_answers += [
                HealthAnswer(**{**fields, 'before': Before(fields['before'])})
                for fields in document['health_answers']
            ]
            record.answers += map(_decode_answer, document['answers'])
            record.connections += document['connections']
            record.joined += document['joined']
        return record


def _encode(member: enum.Enum) -> Any:
    return member.value


def _decode_run(fields: Mapping[str, Any]) -> Run:
    return Run(
        **{
            **fields,
            'kind': Kind(fields['kind']),
            'digest': Digest(**fields['digest']),
            'ending': Ending(fields['ending']),
            'timing': Timing(fields['timing']),
            'cut': Cut(fields['cut']),
        }
    )


def _decode_answer(fields: Mapping[str, Any]) -> Answer:
    return Answer(
        **{
            **fields,
            'kind': Kind(fields['kind']),
            'digest': Digest(**fields['digest']),
        }
    )
