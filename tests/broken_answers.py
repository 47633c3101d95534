"""Answers that break the grammar of HTTP, and sound ones that look odd.

Rows follow RFC 9112 (4 status line, 5 fields, 6 length of the body, 7 codings
and chunks) and RFC 9110 (5.1 names, 5.5 values, 5.6 lists, 8.6 length).
"""

import dataclasses
import string

from tests.joined_heads import head

OWN_ID = b'X-Request-Id: r'
SIGNATURE = b'X-Response-Signature: s'
OWN = (OWN_ID, SIGNATURE)
BODY = b'abcde'
SIZED = b'Content-Length: 5'
CHUNKED = b'Transfer-Encoding: chunked'
CHUNKS = b'5\r\nabcde\r\n0\r\n\r\n'
TOKEN = frozenset((string.ascii_letters + string.digits).encode()) | frozenset(
    b"!#$%&'*+-.^_`|~"
)
"""Octets of the name of a field."""
CONTROLS = frozenset(range(0x20)) - frozenset(b'\t\n') | {0x7F}
"""Octets that no field has, but for the end of its line."""


def _octet_name(octet: int) -> str:
    return f'octet_{octet:02x}'


FIELD_LINES = {
    'no_colon': b'odd',
    'no_name': b': x',
    'only_colon': b':',
    'only_word_of_length': b'Content-Length 5',
    'blank_before_the_colon': b'X-Odd : x',
    'tab_before_the_colon': b'X-Odd\t: x',
    'blank_in_the_name': b'X Odd: x',
    'blank_in_the_name_of_the_length': b'Content Length: 5',
    'blank_behind_the_name_of_the_length': b'Content-Length : 5',
    'byte_in_the_name': b'X-Odd\x80: x',
    'status_line': b'HTTP/1.1 200 OK',
    'carriage_return_in_the_value': b'X-Odd: a\rb',
    'carriage_return_at_the_end': b'X-Odd: a\r',
    'carriage_return_first': b'\rX-Odd: a',
    'only_carriage_return': b'\r',
    'carriage_return_and_field': b'X-Odd: a\rContent-Length: 9',
    'nul_in_the_value': b'X-Odd: a\0b',
    **{
        f'{_octet_name(octet)}_in_the_name': b'X-%cOdd: x' % octet
        for octet in sorted(CONTROLS | {0xFF})
    },
    **{
        f'{_octet_name(octet)}_in_the_value': b'X-Odd: a%cb' % octet
        for octet in sorted(CONTROLS)
    },
    **{
        f'delimiter_{_octet_name(octet)}_in_the_name': b'X%cOdd: x' % octet
        for octet in b'"(),/;<=>?@[\\]{}'
    },
}
"""Lines that are no field."""
FOLDED_LINES = {
    'blank': b' x',
    'tab': b'\tx',
    'blanks': b'   x',
    'only_blank': b' ',
    'only_tab': b'\t',
    'field': b' X-Odd: x',
    'length': b' Content-Length: 5',
    'length_after_tab': b'\tContent-Length: 5',
    'coding': b' Transfer-Encoding: chunked',
    'status_line': b' HTTP/1.1 200 OK',
}
"""Lines that continue the one before."""
LENGTHS = {
    'empty': b'',
    'word': b'x',
    'plus': b'+5',
    'minus': b'-5',
    'minus_zero': b'-0',
    'fraction': b'5.0',
    'exponent': b'5e0',
    'hexadecimal': b'0x5',
    'hexadecimal_digit': b'a',
    'underscore': b'0_5',
    'quoted': b'"5"',
    'unit': b'5B',
    'parameter': b'5;q=1',
    'blank_within': b'5 5',
    'tab_within': b'5\t5',
    'word_behind': b'5 x',
    'word_before': b'x 5',
    'comma_before': b',5',
    'comma_behind': b'5,',
    'two_commas': b'5,,5',
    'only_comma': b',',
    'two_lengths': b'5, 9',
    'two_lengths_longer_first': b'9, 5',
    'one_of_two_no_number': b'5, x',
    'other_digits': '\u0665'.encode(),
    'superscript': b'\xb2',
    'no_break_space': b'\xa05',
    'nul': b'5\0',
    'vertical_tab': b'\x0b5',
    'form_feed': b'5\x0c',
    'over_64_bits': b'18446744073709551621',
    'over_63_bits': b'9223372036854775808',
    'many_digits': b'9' * 40,
    'very_many_digits': b'9' * 5000,
}
"""Values of a length that are not one whole number."""
CODINGS = {
    'empty': b'',
    'comma': b',',
    'word': b'x',
    'gzip': b'gzip',
    'identity': b'identity',
    'gzip_before': b'gzip, chunked',
    'identity_before': b'identity, chunked',
    'gzip_behind': b'chunked, gzip',
    'identity_behind': b'chunked, identity',
    'twice': b'chunked, chunked',
    'parameter': b'chunked;q=1',
    'semicolon': b'chunked;',
    'word_behind': b'chunked x',
    'word_before': b'x chunked',
    'begins_alike': b'chunkedx',
    'ends_alike': b'xchunked',
    'quoted': b'"chunked"',
    'vertical_tab': b'\x0bchunked',
    'form_feed': b'chunked\x0c',
    'no_break_space': b'\xa0chunked',
    'missing_comma': b'chunked chunked',
}
"""Transfer codings other than one ``chunked``."""
CHUNK_LINES = {
    'empty': b'',
    'word': b'x',
    'plus': b'+5',
    'minus': b'-5',
    'prefix': b'0x5',
    'blank_before': b' 5',
    'tab_before': b'\t5',
    'blank_behind': b'5 ',
    'tab_behind': b'5\t',
    'blank_within': b'5 5',
    'word_behind': b'5 x',
    'other_digit': b'5g',
    'comma': b'5,5',
    'quoted': b'"5"',
    'nul_behind': b'5\0',
    'carriage_return_behind': b'5\r',
    'carriage_return_within': b'5;a\rb',
    'many_digits': b'5' * 17,
    'over_63_bits': b'8000000000000000',
    'extension_without_name': b'5;',
    'extension_without_name_but_value': b'5;=a',
    'extension_without_value': b'5;a=',
    'extension_with_blank': b'5;a b',
    'extension_with_control_byte': b'5;a=\x01',
    'extension_without_quote': b'5;a="b',
    'extension_behind_quote': b'5;a="b"c',
    'extension_with_line_feed': b'5;a\nb',
    'no_semicolon': b'5=a',
}
"""Lines that should have the size of a chunk, here of five octets."""
CHUNK_ENDS = {
    'line_feed_of_size': b'5\nabcde\r\n0\r\n\r\n',
    'line_feed_of_extension': b'5;a\nabcde\r\n0\r\n\r\n',
    'line_feed_of_data': b'5\r\nabcde\n0\r\n\r\n',
    'carriage_returns_of_data': b'5\r\nabcde\r\r\n0\r\n\r\n',
    'no_line_end_of_data': b'5\r\nabcde0\r\n\r\n',
    'data_too_long': b'5\r\nabcdef\r\n0\r\n\r\n',
    'data_too_short': b'5\r\nabcd\r\n0\r\n\r\n',
    'line_feed_of_last_chunk': b'5\r\nabcde\r\n0\n\r\n',
    'blank_line_between': b'5\r\nabcde\r\n\r\n0\r\n\r\n',
    'blank_line_first': b'\r\n5\r\nabcde\r\n0\r\n\r\n',
    'extension_of_last_chunk': b'5\r\nabcde\r\n0;\r\n\r\n',
}
"""Bodies in chunks whose lines do not end where they should."""
TRAILERS = {
    'no_colon': b'odd',
    'no_name': b': x',
    'blank_before_the_colon': b'X-Odd : x',
    'blank_in_the_name': b'X Odd: x',
    'control_byte_in_the_name': b'X\x01Odd: x',
    'byte_in_the_name': b'X\xffOdd: x',
    'control_byte_in_the_value': b'X-Odd: \x01',
    'delete_in_the_value': b'X-Odd: \x7f',
    'carriage_return_in_the_value': b'X-Odd: a\rb',
    'folded': b'X-Odd: a\r\n b',
    'folded_first': b' a',
    'chunk_size': b'5',
    'status_line': b'HTTP/1.1 200 OK',
}
"""Trailers that are no field."""
STATUS_LINES = {
    'control_byte_in_the_reason': b'HTTP/1.1 200 O\x01K',
    'delete_in_the_reason': b'HTTP/1.1 200 O\x7fK',
    'carriage_return_in_the_reason': b'HTTP/1.1 200 O\rK',
    'nul_in_the_reason': b'HTTP/1.1 200 O\0K',
    'no_blank_behind_the_status': b'HTTP/1.1 200OK',
    'tab_behind_the_status': b'HTTP/1.1 200\tOK',
    'tab_before_the_status': b'HTTP/1.1\t200 OK',
    'two_blanks_before_the_status': b'HTTP/1.1  200 OK',
    'other_protocol': b'HTTQ/1.1 200 OK',
    'lower_case': b'http/1.1 200 OK',
    'no_minor_version': b'HTTP/1 200 OK',
    'other_major_version': b'HTTP/3.1 200 OK',
    'two_digits_of_minor_version': b'HTTP/1.10 200 OK',
    'letter_in_version': b'HTTP/1.x 200 OK',
    'blank_before': b' HTTP/1.1 200 OK',
}


@dataclasses.dataclass(frozen=True)
class Broken:
    """An answer that breaks the grammar."""

    octets: bytes
    reason: str
    """The label with which it is counted."""


@dataclasses.dataclass(frozen=True)
class Sound:
    """An answer that has to be served."""

    octets: bytes
    body: bytes = BODY
    status: int = 200
    method: str = 'GET'
    ends_with_connection: bool = False


def _answer(*fields: bytes, body: bytes = BODY) -> bytes:
    return head(b'200 OK', *fields) + body


def _placed(line: bytes) -> dict[str, bytes]:
    """Return answers with a line at each place of a head."""
    return {
        'first': _answer(line, *OWN, SIZED),
        'behind_a_field': _answer(b'X-Odd: a', line, *OWN, SIZED),
        'within': _answer(OWN_ID, line, SIGNATURE, SIZED),
        'last': _answer(*OWN, SIZED, line),
    }


def _length(text: bytes) -> bytes:
    return b'Content-Length: %b' % text


def _coding(text: bytes) -> bytes:
    return b'Transfer-Encoding: %b' % text


def _reason(text: bytes, reason: str) -> str:
    """Return why a field with this value is refused."""
    return 'invalid_field' if CONTROLS.intersection(text) else reason


def _in_chunks(octets: bytes) -> bytes:
    return _answer(*OWN, CHUNKED, body=octets)


BROKEN = {
    **{
        f'field_{name}_{place}': Broken(octets, 'invalid_field')
        for name, line in FIELD_LINES.items()
        for place, octets in _placed(line).items()
        if place == 'first' or 'octet' not in name
    },
    **{
        f'folded_{name}_{place}': Broken(octets, 'folded_field')
        for name, line in FOLDED_LINES.items()
        for place, octets in _placed(line).items()
    },
    'folded_length': Broken(_answer(*OWN, _length(b'\r\n 5')), 'folded_field'),
    'folded_name': Broken(
        _answer(*OWN, b'Content-Length\r\n : 5'), 'folded_field'
    ),
    'folded_instead_of_length': Broken(
        _answer(*OWN, b' Content-Length: 5'), 'folded_field'
    ),
    'folded_after_line_feed': Broken(
        _answer(*OWN, b'X-Odd: a\n b', SIZED), 'folded_field'
    ),
    'folded_interim': Broken(
        head(b'103 Early Hints', b'Link: a', b' b') + _answer(*OWN, SIZED),
        'folded_field',
    ),
    **{
        f'length_{name}': Broken(
            _answer(*OWN, _length(text)), _reason(text, 'invalid_length')
        )
        for name, text in LENGTHS.items()
    },
    'length_without_blank': Broken(
        _answer(*OWN, b'Content-Length:5x'), 'invalid_length'
    ),
    'length_twice': Broken(
        _answer(*OWN, SIZED, _length(b'9')), 'invalid_length'
    ),
    'length_twice_apart': Broken(
        _answer(SIZED, *OWN, _length(b'9')), 'invalid_length'
    ),
    'length_twice_one_no_number': Broken(
        _answer(*OWN, _length(b'x'), SIZED), 'invalid_length'
    ),
    'length_of_failure': Broken(
        head(b'500 Internal Server Error', *OWN, _length(b'5x')) + BODY,
        'invalid_length',
    ),
    'length_beside_chunks': Broken(
        _answer(*OWN, _length(b'x'), CHUNKED, body=CHUNKS), 'invalid_length'
    ),
    'length_of_no_content': Broken(
        head(b'204 No Content', *OWN, _length(b'x')), 'invalid_length'
    ),
    'length_of_interim': Broken(
        head(b'103 Early Hints', _length(b'x')) + _answer(*OWN, SIZED),
        'invalid_length',
    ),
    **{
        f'coding_{name}_{place}': Broken(
            octets, _reason(text, 'invalid_coding')
        )
        for name, text in CODINGS.items()
        for place, octets in {
            'alone': _answer(*OWN, _coding(text), body=CHUNKS),
            'beside_length': _answer(*OWN, SIZED, _coding(text)),
        }.items()
    },
    'coding_in_two_fields': Broken(
        _answer(*OWN, CHUNKED, CHUNKED, body=CHUNKS), 'invalid_coding'
    ),
    'coding_of_older_version': Broken(
        _answer(*OWN, CHUNKED, body=CHUNKS).replace(b'1.1', b'1.0', 1),
        'invalid_coding',
    ),
    **{
        f'chunk_size_{name}': Broken(
            _in_chunks(line + CHUNKS.removeprefix(b'5')), 'invalid_chunk'
        )
        for name, line in CHUNK_LINES.items()
    },
    **{
        f'second_chunk_size_{name}': Broken(
            _in_chunks(b'1\r\na\r\n' + line + CHUNKS.removeprefix(b'5')),
            'invalid_chunk',
        )
        for name, line in CHUNK_LINES.items()
    },
    **{
        f'chunk_{name}': Broken(_in_chunks(octets), 'invalid_chunk')
        for name, octets in CHUNK_ENDS.items()
    },
    **{
        f'trailer_{name}': Broken(
            _in_chunks(b'5\r\nabcde\r\n0\r\n' + line + b'\r\n\r\n'),
            'invalid_trailer',
        )
        for name, line in TRAILERS.items()
    },
    **{
        f'status_line_{name}': Broken(
            _answer(*OWN, SIZED).replace(b'HTTP/1.1 200 OK', line, 1),
            'invalid_status',
        )
        for name, line in STATUS_LINES.items()
    },
}
"""Answers that break the grammar, by what is broken."""
CHUNK_EXTENSIONS = {
    'name': b';a',
    'value': b';a=b',
    'several': b';a=b;c;d=e',
    'blanks': b' ; a = b ;\tc',
    'quoted': b';a="b c;d"',
    'quoted_pair': b';a="\\"\\\\"',
    'quoted_bytes': b';a="\xff\t"',
    'empty_quoted': b';a=""',
}
SOUND = {
    'length': Sound(_answer(*OWN, SIZED)),
    'length_zero': Sound(_answer(*OWN, _length(b'0'), body=b''), b''),
    'length_with_leading_zeros': Sound(_answer(*OWN, _length(b'0005'))),
    'two_equal_lengths': Sound(_answer(*OWN, SIZED, SIZED)),
    'list_of_equal_lengths': Sound(_answer(*OWN, _length(b'5, 5'))),
    'list_without_blank': Sound(_answer(*OWN, _length(b'5,5'))),
    'length_without_blank': Sound(_answer(*OWN, b'Content-Length:5')),
    'length_between_tabs': Sound(_answer(*OWN, b'Content-Length:\t5\t')),
    'length_between_blanks': Sound(_answer(*OWN, b'Content-Length:   5  ')),
    'length_in_lower_case': Sound(_answer(*OWN, b'content-length: 5')),
    'token_as_name': Sound(
        _answer(b'%b: x' % bytes(sorted(TOKEN)), *OWN, SIZED)
    ),
    'bytes_in_a_value': Sound(
        _answer(b'X-Odd: %b' % bytes(range(0x80, 0x100)), *OWN, SIZED)
    ),
    'printable_value': Sound(
        _answer(b'X-Odd: %b' % bytes(range(0x21, 0x7F)), *OWN, SIZED)
    ),
    'tab_in_a_value': Sound(_answer(b'X-Odd: a\tb', *OWN, SIZED)),
    'empty_value': Sound(_answer(b'X-Odd:', b'X-Other: ', *OWN, SIZED)),
    'colons_in_a_value': Sound(_answer(b'X-Odd: a: b:', *OWN, SIZED)),
    'line_feeds_only': Sound(_answer(*OWN, SIZED).replace(b'\r\n', b'\n')),
    'reason_empty': Sound(_answer(*OWN, SIZED).replace(b'OK', b'', 1)),
    'reason_of_bytes': Sound(
        _answer(*OWN, SIZED).replace(b'OK', b'\t\xff :', 1)
    ),
    'chunks': Sound(_in_chunks(CHUNKS)),
    'chunks_beside_length': Sound(
        _answer(*OWN, _length(b'3'), CHUNKED, body=CHUNKS)
    ),
    'coding_in_upper_case': Sound(
        _answer(*OWN, b'TRANSFER-ENCODING:CHUNKED', body=CHUNKS)
    ),
    'coding_between_blanks': Sound(
        _answer(*OWN, _coding(b'\t chunked \t'), body=CHUNKS)
    ),
    'coding_after_comma': Sound(
        _answer(*OWN, _coding(b', chunked ,'), body=CHUNKS)
    ),
    'coding_of_no_content': Sound(
        head(b'204 No Content', *OWN, CHUNKED), b'', 204
    ),
    'several_chunks': Sound(
        _in_chunks(b'1\r\na\r\n2\r\nbc\r\n2\r\nde\r\n0\r\n\r\n')
    ),
    'no_chunk': Sound(_in_chunks(b'0\r\n\r\n'), b''),
    'chunk_of_line_ends': Sound(
        _in_chunks(b'6\r\n0\r\n\r\n\r\r\n0\r\n\r\n'), b'0\r\n\r\n\r'
    ),
    'chunk_size_of_letters': Sound(
        _in_chunks(b'a\r\n0123456789\r\nA\r\nabcdefghij\r\n0\r\n\r\n'),
        b'0123456789abcdefghij',
    ),
    'chunk_size_with_leading_zeros': Sound(
        _in_chunks(b'000005\r\nabcde\r\n0000\r\n\r\n')
    ),
    **{
        f'chunk_extension_{name}': Sound(
            _in_chunks(b'5%b\r\nabcde\r\n0%b\r\n\r\n' % (text, text))
        )
        for name, text in CHUNK_EXTENSIONS.items()
    },
    'trailers': Sound(
        _in_chunks(b'5\r\nabcde\r\n0\r\nX-Odd: a\tb\xff\r\nX-Other:\r\n\r\n')
    ),
    'trailer_of_length': Sound(
        _in_chunks(b'5\r\nabcde\r\n0\r\nContent-Length: 9\r\n\r\n')
    ),
    'until_the_end': Sound(_answer(*OWN), ends_with_connection=True),
    'nothing_until_the_end': Sound(
        _answer(*OWN, body=b''), b'', ends_with_connection=True
    ),
    'older_version': Sound(_answer(*OWN, SIZED).replace(b'1.1', b'1.0', 1)),
    'older_version_until_the_end': Sound(
        _answer(*OWN).replace(b'1.1', b'1.0', 1), ends_with_connection=True
    ),
    'head': Sound(_answer(*OWN, SIZED, body=b''), b'', method='HEAD'),
    'head_without_length': Sound(_answer(*OWN, body=b''), b'', method='HEAD'),
    'head_of_chunks': Sound(
        _answer(*OWN, CHUNKED, body=b''), b'', method='HEAD'
    ),
    'no_content': Sound(head(b'204 No Content', *OWN), b'', 204),
    'no_content_with_length': Sound(
        head(b'204 No Content', *OWN, _length(b'0')), b'', 204
    ),
    'reset_content': Sound(
        head(b'205 Reset Content', *OWN, _length(b'0')), b'', 205
    ),
    'partial_content': Sound(
        head(b'206 Partial', *OWN, b'Content-Range: bytes 0-4/9', SIZED) + BODY,
        status=206,
    ),
    'not_modified': Sound(head(b'304 Not Modified', *OWN), b'', 304),
    'not_modified_with_length': Sound(
        head(b'304 Not Modified', *OWN, SIZED), b'', 304
    ),
    'failure': Sound(
        head(b'500 Internal Server Error', *OWN, SIZED) + BODY, status=500
    ),
    'interim': Sound(
        head(b'103 Early Hints', b'Link: a') + _answer(*OWN, SIZED)
    ),
    'interim_twice': Sound(
        head(b'100 Continue') + head(b'103 Hints') + _answer(*OWN, SIZED)
    ),
    'interim_before_chunks': Sound(
        head(b'103 Early Hints') + _in_chunks(CHUNKS)
    ),
}
"""Answers that have to be served, by what is odd about them."""
