"""Connections are found by their addresses, whatever descriptor they have."""

import contextlib
import os
import socket
import unittest.mock
from collections.abc import Iterator

from parameterized import parameterized

from turmericmast.web.connections import (
    AddressPair,
    Connections,
    Descriptor,
    borrowed_socket,
)


class ConnectionsTest(unittest.TestCase):
    """A connection is found as long as curl has it open."""

    @parameterized.expand([('first', 1), ('second', 2), ('tenth', 10)])
    def test_connection_is_found_at_each_request(
        self, _name: str, requests: int
    ) -> None:
        connections = Connections()
        with _connected() as connection:
            connections.add(Descriptor(connection.fileno()))
            found = {
                connections.find(_pair_of(connection)) for _ in range(requests)
            }
        self.assertEqual(len(found), 1)
        self.assertNotIn(None, found)

    @parameterized.expand([('unused', False), ('used', True)])
    def test_descriptor_is_used_again(self, _name: str, is_used: bool) -> None:
        connections = Connections()
        with _connected() as first, _connected() as second:
            former_pair = _pair_of(first)
            descriptor = Descriptor(first.fileno())
            connections.add(descriptor)
            former = connections.find(former_pair) if is_used else None
            os.dup2(second.fileno(), descriptor)
            connections.add(descriptor)
            latter = connections.find(_pair_of(second))
            self.assertIsNotNone(latter)
            self.assertIsNot(latter, former)
            self.assertIsNone(connections.find(former_pair))

    def test_socket_that_was_closed_unconnected(self) -> None:
        connections = Connections()
        with _connected() as connection:
            connections.add(Descriptor(os.open(os.devnull, os.O_RDONLY)))
            self.assertIsNone(connections.find(_pair_of(connection)))

    # Guards against requests that slow down after targets were unreachable:
    # each one looked at every connection that had ever failed to open.
    @parameterized.expand([('new', 1), ('used', 2)])
    def test_failed_connections_are_not_looked_at(
        self, _name: str, requests: int
    ) -> None:
        connections = Connections()
        with contextlib.ExitStack() as stack:
            for _ in range(9):
                failed = stack.enter_context(socket.socket())
                connections.add(Descriptor(failed.fileno()))
            connection = stack.enter_context(_connected())
            connections.add(Descriptor(connection.fileno()))
            for _ in range(requests - 1):
                connections.find(_pair_of(connection))
            with unittest.mock.patch(
                'turmericmast.web.connections.borrowed_socket',
                wraps=borrowed_socket,
            ) as look:
                self.assertIsNotNone(connections.find(_pair_of(connection)))
        look.assert_called_once()


@contextlib.contextmanager
def _connected() -> Iterator[socket.socket]:
    """Yield a socket that is connected on loopback."""
    with (
        socket.create_server(('127.0.0.1', 0)) as server,
        socket.create_connection(server.getsockname()) as connection,
    ):
        yield connection


def _pair_of(connection: socket.socket) -> AddressPair:
    return (*connection.getsockname(), *connection.getpeername())
