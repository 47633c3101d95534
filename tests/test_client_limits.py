"""Processes whose clients send, hold or ask for more than they may.

Guards against a process that is ended for its memory, or hangs for want of
descriptors, by clients that nobody controls. Each row starts a machine of its
own. Only what doesn't depend on the speed of the host is checked.
"""

import unittest

from parameterized import parameterized

from tests.hostile_crowd import Hostility, send_all
from tests.limited_machine import FIRST_ROUTES, run_machine
from tests.platform_samples import changed
from turmericmast.wire.frame import LENGTH_PREFIX, MAX_FIRST_FRAME_BYTES

MEMORY_MB = 140
"""Memory of each process, in 10^6 bytes; at rest an edge needs 72."""
MAX_FDS = 200
"""Descriptors of each process."""
UPLOAD_MEMORY_MB = 200
"""Memory of the smallest machine, in 10^6 bytes."""
LONGEST_UPLOAD = 67_108_864
"""Bytes of the longest body that the default limits allow."""
HOST = b'Host: shop.example\r\nX-Request-Id: r\r\n'
FORWARDED = HOST + (
    b'Turmericmast-Forward: c\r\nTurmericmast-Service: stock\r\n'
)
PUT = b'POST /put/x HTTP/1.1\r\n' + HOST
LOOK = b'POST /stock/x HTTP/1.1\r\n' + HOST
NOWHERE = b'POST /nothing/x HTTP/1.1\r\n' + HOST
PEER = b'POST /put/x HTTP/1.1\r\n' + FORWARDED
CONFIG = b'PUT /-/config HTTP/1.1\r\n' + HOST
REPORT = b'PUT /-/instances/x HTTP/1.1\r\n' + HOST
RESOLVE = b'POST /-/resolve HTTP/1.1\r\n' + HOST
METRICS = b'POST /metrics HTTP/1.1\r\n' + HOST
BOMB_BYTES = 4_000_000
HUGE = b'Content-Length: 99999999999\r\n\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'10000\r\n' + bytes(65_536) + b'\r\n'
TINY_CHUNK = b'1\r\na\r\n' * 4096
MANY = 8_388_608
"""Bytes that one client sends."""
MANY_HEADERS = b'a:\r\n' * 15_000
FORM = b'Content-Type: application/x-www-form-urlencoded\r\n'
LONG_GET = b'GET /stock/long HTTP/1.1\r\n' + HOST + b'\r\n'
HANGING = b'GET /stock/hang HTTP/1.1\r\n' + HOST


def _of_length(start: bytes, body: bytes, announced: int = 0) -> bytes:
    length = announced or len(body)
    return start + f'Content-Length: {length}\r\n\r\n'.encode() + body


def _form() -> bytes:
    return b'&'.join(b'%x=1' % number for number in range(500_000))


HOSTILITIES = [
    Hostility('announced', 'edge', 0, PUT + HUGE),
    Hostility('announced_and_sent', 'edge', 0, PUT + HUGE, bytes(65_536), MANY),
    Hostility('endless_chunked', 'edge', 0, PUT + CHUNKED, CHUNK, MANY),
    Hostility(
        'endless_chunked_safe_route', 'edge', 0, LOOK + CHUNKED, CHUNK, MANY
    ),
    Hostility(
        'announced_and_chunked',
        'edge',
        0,
        PUT + b'Content-Length: 1000000\r\n' + CHUNKED,
        CHUNK,
        MANY,
    ),
    Hostility(
        'endless_chunked_no_route', 'edge', 0, NOWHERE + CHUNKED, CHUNK, MANY
    ),
    Hostility('tiny_chunks', 'edge', 0, PUT + CHUNKED, TINY_CHUNK, MANY),
    Hostility(
        'bytewise_body',
        'edge',
        0,
        _of_length(PUT, b'', 60_000),
        b'ab',
        60_000,
        80,
    ),
    Hostility(
        'bodies_that_stop',
        'edge',
        0,
        _of_length(PUT, b'', 1_000_000),
        bytes(65_536),
        917_504,
        180,
    ),
    Hostility('endless_head_line', 'edge', 0, b'GET /', b'a' * 4096, MANY),
    Hostility(
        'endless_head', 'edge', 0, b'GET / HTTP/1.1\r\n', b'A: b\r\n' * 99, MANY
    ),
    Hostility(
        'many_headers', 'edge', 0, HANGING + MANY_HEADERS + b'\r\n', clients=180
    ),
    Hostility('unread_responses', 'edge', 0, LONG_GET, clients=180),
    Hostility(
        'unread_pipelined', 'edge', 0, b'', LONG_GET * 100, MANY, clients=80
    ),
    Hostility('idle', 'edge', 0, b'', clients=400),
    Hostility('half_open', 'edge', 0, b'GET / HTTP/1.1\r\n', clients=400),
    Hostility(
        'forwarded_announced', 'edge', 5, PEER + HUGE, bytes(65_536), MANY
    ),
    Hostility(
        'forwarded_endless_chunked', 'edge', 5, PEER + CHUNKED, CHUNK, MANY
    ),
    Hostility(
        'forwarded_many_headers',
        'edge',
        5,
        b'GET /stock/hang HTTP/1.1\r\n' + FORWARDED + MANY_HEADERS + b'\r\n',
        clients=180,
    ),
    Hostility('idle_instances', 'edge', 5, b'', clients=400),
    Hostility(
        'datagrams', 'edge', 5, bytes(60_000), clients=2000, is_datagram=True
    ),
    Hostility('directory_announced', 'edge', 2, RESOLVE + HUGE, CHUNK, MANY),
    Hostility('directory_chunked', 'edge', 2, RESOLVE + CHUNKED, CHUNK, MANY),
    Hostility('directory_idle', 'edge', 2, b'', clients=400),
    Hostility('readiness_half_open', 'edge', 1, b'GET /-', clients=400),
    Hostility('metrics_chunked', 'edge', 2, METRICS + CHUNKED, CHUNK, MANY),
    Hostility(
        'metrics_pipelined',
        'edge',
        2,
        b'',
        b'GET /metrics HTTP/1.1\r\n\r\n' * 1000,
        MANY,
    ),
    Hostility('order_announced', 'core', 3, CONFIG + HUGE, CHUNK, MANY),
    Hostility('order_chunked', 'core', 3, CONFIG + CHUNKED, CHUNK, MANY),
    Hostility(
        'orders_that_stop',
        'core',
        3,
        _of_length(CONFIG, b'', 4_194_304),
        bytes(65_536),
        4_128_768,
    ),
    Hostility(
        'reports_that_stop',
        'core',
        3,
        _of_length(REPORT, b'', 4_194_304),
        bytes(65_536),
        4_128_768,
    ),
    Hostility(
        'order_of_many_objects',
        'core',
        3,
        _of_length(CONFIG, b'[' + b'{},' * (BOMB_BYTES // 3) + b'{}]'),
        clients=4,
    ),
    Hostility(
        'order_as_form',
        'core',
        3,
        _of_length(CONFIG + FORM, _form()[:BOMB_BYTES]),
        clients=4,
    ),
    Hostility(
        'order_head', 'core', 3, b'GET / HTTP/1.1\r\n', b'A: b\r\n' * 99, MANY
    ),
    Hostility('operators_idle', 'core', 3, b'', clients=400),
    Hostility(
        'operators_half_open', 'core', 3, b'GET / HTTP/1.1\r\n', clients=400
    ),
    Hostility(
        'core_metrics_pipelined',
        'core',
        3,
        b'',
        b'GET /metrics HTTP/1.1\r\n\r\n' * 1000,
        MANY,
    ),
    Hostility(
        'frames_that_stop',
        'core',
        4,
        LENGTH_PREFIX.pack(MAX_FIRST_FRAME_BYTES),
        bytes(65_536),
        MAX_FIRST_FRAME_BYTES - 65_536,
    ),
    Hostility('members_idle', 'core', 4, b'', clients=400),
]


class ClientLimitTest(unittest.IsolatedAsyncioTestCase):
    """The process lives, within its limits, and answers an ordinary client."""

    @parameterized.expand([(kind.name, kind) for kind in HOSTILITIES])
    async def test_process_lives(self, _name: str, kind: Hostility) -> None:
        async with run_machine(MEMORY_MB, MAX_FDS) as machine:
            # Its clients are still connected while an ordinary one asks.
            with await send_all(kind, machine.ports[kind.port]):
                is_alive = machine.is_alive(kind.role)
                self.assertTrue(is_alive)
                descriptors = machine.descriptors(kind.role)
                is_answering = await machine.is_answering(kind.role)
                peak = machine.peak_mb(kind.role)
        self.assertTrue(is_answering)
        self.assertLess(peak, MEMORY_MB)
        self.assertLess(descriptors, MAX_FDS)


class LongestUploadTest(unittest.IsolatedAsyncioTestCase):
    """What the limits allow is served on the smallest machine."""

    async def test_single_upload_is_served(self) -> None:
        routes = changed(FIRST_ROUTES, 'limits.max_body_bytes', LONGEST_UPLOAD)
        routes = changed(
            routes,
            'routes.look',
            {
                **FIRST_ROUTES['routes']['look'],
                'kind': 'upload',
                'timeout_s': 30,
            },
        )
        routes = changed(
            routes,
            'routes.look.traffic_split',
            [{'service': 'stock', 'weight': 1}],
        )
        async with run_machine(UPLOAD_MEMORY_MB, 4100, routes) as machine:
            status = await machine.request(
                0, '/stock/x', 'POST', bytes(LONGEST_UPLOAD), 30
            )
            peak = machine.peak_mb('edge')
        self.assertEqual(status, 200)
        self.assertLess(peak, UPLOAD_MEMORY_MB)
