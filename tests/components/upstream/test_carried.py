"""The bytes of carried connections."""

import socket
import unittest

from chivetrack.components.upstream.carried import (
    END_BLOCK,
    BlockReader,
    CarriedSocket,
    encode_block,
)
from chivetrack.components.upstream.connection import EndpointConnection


class BlockReaderTest(unittest.TestCase):
    def test_blocks_arrive_in_any_pieces(self) -> None:
        stream = encode_block(b"hello") + encode_block(b" world") + END_BLOCK
        for size in range(1, len(stream) + 1):
            reader = BlockReader()
            pieces = [stream[start : start + size] for start in range(0, len(stream), size)]
            self.assertEqual(b"".join(reader.feed(piece) for piece in pieces), b"hello world")
            self.assertTrue(reader.is_ended)


class CarriedSocketTest(unittest.TestCase):
    def setUp(self) -> None:
        near, self.carrier = socket.socketpair()
        self.addCleanup(self.carrier.close)
        self.carried = CarriedSocket(near, carrier="r2")
        self.addCleanup(self.carried.close)

    def test_end_of_the_endpoint_is_an_end(self) -> None:
        self.carrier.sendall(encode_block(b"hello") + END_BLOCK)
        self.assertEqual(self.carried.recv(3), b"hel")
        self.assertTrue(self.carried.has_buffered_data)
        self.assertEqual((self.carried.recv(9), self.carried.recv(9)), (b"lo", b""))

    def test_connection_whose_end_was_read_is_not_reused(self) -> None:
        """Guards against a request that counts as sent on a connection that has ended."""
        connection = EndpointConnection(opened=self.carried)
        self.carrier.sendall(encode_block(b"hello") + END_BLOCK)
        self.assertEqual(self.carried.recv(9), b"hello")
        self.assertFalse(connection.is_clean())

    def test_end_of_the_carrier_is_a_reset(self) -> None:
        """Guards against an answer without a length that looks complete when its carrier dies."""
        self.carrier.sendall(encode_block(b"hello"))
        self.carrier.close()
        self.assertEqual(self.carried.recv(9), b"hello")
        with self.assertRaises(ConnectionResetError):
            self.carried.recv(9)


if __name__ == "__main__":
    unittest.main()
