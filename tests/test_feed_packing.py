"""Packed feeds.

Pattern: hundreds of instances learn of hundreds of others and of targets.
"""

import unittest.mock
import zlib

from parameterized import parameterized
from returns.result import Failure

from tests.edge_samples import feed, instance, target
from turmericmast.cluster import commands
from turmericmast.programs.clusterstate import ClusterStateMachine
from turmericmast.wire.clusterrequests import AskIndex
from turmericmast.wire.codec import encode
from turmericmast.wire.feedpacking import pack_feed, unpack_feed

LARGE = feed(
    *[instance(f'front-tirol-a-{number}') for number in range(315)],
    targets=tuple(target(str(number)) for number in range(360)),
)


class FeedPackingTest(unittest.TestCase):
    """A feed survives packing, and unreadable bytes raise nothing."""

    def test_large_feed(self) -> None:
        packed = pack_feed(LARGE)
        self.assertEqual(unpack_feed(packed).unwrap(), LARGE)
        self.assertLess(len(packed), len(encode(LARGE)) / 4)

    @parameterized.expand(
        [
            ('no_bytes', b''),
            ('not_compressed', b'feed'),
            ('cut_off', pack_feed(LARGE)[:-9]),
            ('other_message', zlib.compress(encode(AskIndex()))),
            ('no_message', zlib.compress(b'feed')),
        ]
    )
    def test_unreadable(self, _name: str, octets: bytes) -> None:
        self.assertIsInstance(unpack_feed(octets), Failure)

    def test_size_is_limited(self) -> None:
        with unittest.mock.patch(
            'turmericmast.wire.feedpacking.MAX_FEED_BYTES', 1000
        ):
            self.assertIsInstance(unpack_feed(pack_feed(LARGE)), Failure)


class SharedFeedTest(unittest.IsolatedAsyncioTestCase):
    """A feed is packed once for all watchers that know the same index."""

    async def test_watchers_share_a_feed(self) -> None:
        state_machine = ClusterStateMachine()
        for index in range(1, 4):
            state_machine.apply(index, commands.SetEdge(instance(f'e{index}')))
        with unittest.mock.patch(
            'turmericmast.programs.clusterstate.pack_feed',
            side_effect=pack_feed,
        ) as packing:
            feeds = {state_machine.packed_feed(2) for _ in range(35)}
            self.assertEqual((packing.call_count, len(feeds)), (1, 1))
            state_machine.apply(4, commands.SetEdge(instance('e4')))
            newer = unpack_feed(state_machine.packed_feed(2)).unwrap()
        self.assertEqual([edge.instance for edge in newer.edges], ['e3', 'e4'])
