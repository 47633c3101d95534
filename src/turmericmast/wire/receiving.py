"""Decode structs that a peer sent, in bounded processor time.

Decoding holds the loop. Most of its time goes into records, which cost much
even when they are empty, into the bytes around strings, and into text.
"""

import abc
import collections
import io
from collections.abc import Callable
from typing import Any, TypeAlias, final

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TType
from thrift.transport.TTransport import CReadableTransport, TTransportBase

MAX_RECORDS = 8192
"""Records of one message; a full feed at the target size has some 3,500."""
MAX_STRUCTURE_BYTES = 4_194_304
"""Bytes of one message beside strings that reach beyond one piece.

A full feed at the target size has some 300,000."""
MAX_TEXT_BYTES = 4_194_304
"""Bytes of all text in one message; an operator's document has no more."""
MAX_STRING_BYTES = 67_108_864
"""Bytes of the longest binary field."""
PIECE_BYTES = 262_144
"""Bytes of a message that are read in one turn of the loop."""

Pieces: TypeAlias = collections.deque[bytes]
"""The bytes of one message in order; whoever decodes them takes them out."""

_StructType: TypeAlias = list[Any]
"""Class of a struct and the specifications of its fields, for Thrift."""


@final
class PieceTransport(TTransportBase, CReadableTransport):
    """Hands the pieces of one message to a Thrift protocol, and drops them."""

    def __init__(self, pieces: Pieces) -> None:
        """Read from ``pieces``, one at least."""
        self._pieces = pieces
        first = pieces.popleft()
        self._buffer = io.BytesIO(first)
        self._structure_bytes = len(first)

    @property
    def cstringio_buf(self) -> io.BytesIO:
        """The bytes that can be read without another piece."""
        return self._buffer

    def read(self, size: int) -> bytes:
        """Return ``size`` bytes, to a protocol that isn't native."""
        octets = self._buffer.read(size)
        if len(octets) < size:
            octets = self.cstringio_refill(octets, size).read(size)
        return octets

    def cstringio_refill(self, partial: bytes, needed: int) -> io.BytesIO:
        """Return a buffer that begins with ``partial`` and has ``needed``.

        Raises ``EOFError`` without enough bytes, and ``ValueError`` if there
        are too many beside long strings.
        """
        taken = [partial]
        size = len(partial)
        while size < needed:
            if not self._pieces:
                raise EOFError
            taken.append(self._pieces.popleft())
            size += len(taken[-1])
        self._structure_bytes += size - needed
        if self._structure_bytes > MAX_STRUCTURE_BYTES:
            raise ValueError(
                f'over {MAX_STRUCTURE_BYTES} bytes beside long strings'
            )
        self._buffer = io.BytesIO(b''.join(taken))
        return self._buffer


class ReceivedStruct(abc.ABC):
    """Decodes structs of one class within the limits of this module."""

    def __init__(self, struct_class: Any) -> None:
        """Derive a class that counts for each struct in ``struct_class``."""
        self._struct_class = struct_class
        self._type_by_class: dict[Any, _StructType] = {}
        self._type = self._counting_type(struct_class)
        self._records = 0

    def decode(self, pieces: Pieces) -> Any:
        """Return the struct that a peer sent.

        Raises ``ValueError`` over a limit, and what Thrift raises on bytes
        that are no struct.
        """
        self._records = 0
        struct = self._struct_class()
        protocol = TCompactProtocolAccelerated(
            PieceTransport(pieces),
            string_length_limit=MAX_STRING_BYTES,
            container_length_limit=MAX_RECORDS,
        )
        if protocol._fast_decode:  # noqa: WPS437
            protocol._fast_decode(struct, protocol, self._type)  # noqa: WPS437
        else:
            struct.read(protocol)
        return struct

    def _count(self, records: int = 1) -> None:
        self._records += records
        if self._records > MAX_RECORDS:
            raise ValueError(f'over {MAX_RECORDS} records')

    @abc.abstractmethod
    def _string_details(self, details: str) -> str:
        """Return as what a string is decoded: ``UTF8`` or ``BINARY``."""

    def _counting_type(self, struct_class: Any) -> _StructType:
        known = self._type_by_class.get(struct_class)
        if known is not None:
            return known
        counting: _StructType = [_counting_class(struct_class, self._count)]
        # Structs may contain themselves, so the fields are added afterwards.
        self._type_by_class[struct_class] = counting
        counting.append(
            tuple(
                spec and self._counting_field(*spec)
                for spec in struct_class.thrift_spec
            )
        )
        return counting

    def _counting_field(
        self, number: int, kind: int, name: str, details: Any, default: Any
    ) -> tuple[Any, ...]:
        return number, kind, name, self._details(kind, details), default

    def _details(self, kind: int, details: Any) -> Any:
        match kind:
            case TType.STRUCT:
                return self._counting_type(details[0])
            case TType.LIST:
                element, inner, immutable = details
                return element, self._details(element, inner), immutable
            case TType.STRING:
                return self._string_details(details)
        return details


@final
class ShortReceivedStruct(ReceivedStruct):
    """Decodes structs of at most ``MAX_TEXT_BYTES``."""

    def _string_details(self, details: str) -> str:
        return details


@final
class LongReceivedStruct(ReceivedStruct):
    """Decodes structs of any length.

    Text is decoded after the rest, when it is known to be short enough.
    """

    def __init__(self, struct_class: Any) -> None:
        """Derive a class that counts for each struct in ``struct_class``."""
        super().__init__(struct_class)
        self._text_bytes = 0

    def decode(self, pieces: Pieces) -> Any:
        """Return the struct that a peer sent.

        Raises ``ValueError`` over a limit, and what Thrift raises on bytes
        that are no struct.
        """
        self._text_bytes = 0
        struct = super().decode(pieces)
        self._decode_fields(struct)
        return struct

    def _string_details(self, details: str) -> str:
        return 'BINARY'

    def _decode_fields(self, struct: Any) -> None:
        for _, kind, name, details, _ in filter(None, struct.thrift_spec):
            content = getattr(struct, name)
            if content is not None:
                setattr(struct, name, self._decode_text(content, kind, details))

    def _decode_text(self, content: Any, kind: int, details: Any) -> Any:
        match kind, details:
            case TType.STRUCT, _:
                self._decode_fields(content)
            case TType.LIST, (element, inner, _):
                self._count(len(content))
                return [
                    self._decode_text(one, element, inner) for one in content
                ]
            case TType.STRING, 'UTF8':
                return self._text(content)
        return content

    def _text(self, octets: bytes | str) -> str:
        self._text_bytes += len(octets)
        if self._text_bytes > MAX_TEXT_BYTES:
            raise ValueError(f'over {MAX_TEXT_BYTES} bytes of text')
        if isinstance(octets, str):
            # A default, or the result of a protocol that isn't native.
            return octets
        return octets.decode(errors='replace')


def split(octets: bytes) -> Pieces:
    """Return a message in pieces, one at least."""
    starts = range(0, len(octets) or 1, PIECE_BYTES)
    return collections.deque(
        octets[start : start + PIECE_BYTES] for start in starts
    )


def _counting_class(struct_class: Any, count: Callable[[], None]) -> Any:
    """Return a subclass that calls ``count`` for each new instance."""

    class Counted(struct_class):  # noqa: WPS431
        __slots__ = ()

        def __init__(self) -> None:
            count()
            super().__init__()

    return Counted
