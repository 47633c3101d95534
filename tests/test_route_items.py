"""Documents whose items would take far more memory than their text."""

import unittest

from parameterized import parameterized

from tests.platform_samples import ROUTES, encoded
from turmericmast.jsontext import MAX_ITEMS, has_many_items


class ItemsTest(unittest.TestCase):
    """The items of a document are counted before it is read."""

    # Guards against an order of 4 MiB that takes over 100 MB once it is read.
    @parameterized.expand(
        [
            ('routes', encoded(ROUTES), False),
            ('long_texts', b'["%s"]' % (b'a' * 4_000_000), False),
            ('empty_objects', b'[' + b'{},' * MAX_ITEMS + b'{}]', True),
            ('nested', b'[' * (MAX_ITEMS + 1), True),
            ('numbers', b'[' + b'1,' * MAX_ITEMS + b'1]', True),
        ]
    )
    def test_many(self, _name: str, source: bytes, is_many: bool) -> None:
        self.assertEqual(has_many_items(source), is_many)
