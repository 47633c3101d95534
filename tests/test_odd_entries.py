"""Odd entries among those of targets: none of them stops or confuses others."""

import unittest

from parameterized import parameterized

from turmericmast.addresses import is_address, is_unicast_address

ADDRESSES = [
    ('usual', '10.0.0.1:80', True, True),
    ('version_6', '[::1]:80', True, True),
    ('port_0', '10.0.0.1:0', False, False),
    ('port_65536', '10.0.0.1:65536', False, False),
    ('negative_port', '10.0.0.1:-1', False, False),
    ('long_port', '10.0.0.1:99999999999', False, False),
    ('very_long_port', f'10.0.0.1:{"9" * 5000}', False, False),
    ('digits_of_another_script', '10.0.0.1:\u0668\u0660', False, False),
    ('superscript', '10.0.0.1:\u00b2', False, False),
    ('line_break', '10.0.0.1:80\r\n', False, False),
    ('space', '10.0.0.1: 80', False, False),
    ('no_port', '10.0.0.1', False, False),
    ('host_name', 'localhost:80', False, False),
    ('brackets_around_version_4', '[10.0.0.1]:80', False, False),
    ('version_6_without_brackets', '::1:80', False, False),
    ('two_brackets', '[[::1]]:80', False, False),
    ('zone_index', '[fe80::1%25x]:80', False, False),
    ('every_host', '0.0.0.0:80', True, False),
    ('multicast', '224.0.0.1:80', True, False),
    ('broadcast', '255.255.255.255:80', True, False),
    ('lone_surrogate', '\ud800:80', False, False),
    ('number', 80, False, False),
    ('list', ['10.0.0.1:80'], False, False),
    ('nothing', None, False, False),
]
"""An address, whether it is one, and whether it is that of one host."""


class AddressTest(unittest.TestCase):
    """An odd address is refused, so that no request goes to it.

    Guards against requests that fail with an internal error, since curl
    refuses the URL of a target.
    """

    @parameterized.expand(ADDRESSES)
    def test_address(
        self, _name: str, address: object, is_one: bool, is_of_one_host: bool
    ) -> None:
        self.assertIs(is_address(address), is_one)
        self.assertIs(is_unicast_address(address), is_of_one_host)
