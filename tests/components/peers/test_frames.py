"""Frames between instances, from bytes that arrive in any pieces."""

import struct
import unittest
import zlib

from hypothesis import given
from hypothesis import strategies as st

from chivetrack.components.distribution.messages import EndpointLoad, Exchange
from chivetrack.components.peers.const import MAX_FRAME_BYTES
from chivetrack.components.peers.frames import FrameError, FrameReader, encode_frame
from chivetrack.components.proposals.models import ForwardRead
from chivetrack.helpers.codec import decode, pack


def make_exchange(endpoints: int) -> Exchange:
    loads = tuple(
        EndpointLoad(endpoint_id=f"endpoint-{n:04}", running=n % 7, tokens=n)
        for n in range(endpoints)
    )
    return Exchange(routers=endpoints, loads=loads, placed=())


class FramesTest(unittest.TestCase):
    @given(st.lists(st.integers(1, 4000), max_size=12), st.integers(0, 90))
    def test_any_pieces_give_the_same_messages(self, cuts: list[int], endpoints: int) -> None:
        """A frame may arrive in pieces, and the end of one with the start of the next."""
        sent = [ForwardRead(1), make_exchange(endpoints), ForwardRead(2)]
        data = encode_frame([pack(sent[0]), pack(sent[1])]) + encode_frame([pack(sent[2])])
        reader = FrameReader()
        read = []
        for start, end in zip([0, *sorted(cuts)], [*sorted(cuts), len(data)], strict=True):
            read += reader.feed(data[start:end])
        self.assertEqual([decode(kind, payload) for kind, payload in read], sent)

    def test_what_many_endpoints_are_used_for_takes_half_of_the_link(self) -> None:
        """Replicas on 4 Mbit/s tell hundreds of routers what all of them use."""
        exchange = make_exchange(50)
        self.assertLess(len(encode_frame([pack(exchange)])), len(pack(exchange)) / 2)

    def test_bytes_of_no_frame_are_refused(self) -> None:
        """Something else connects to the port, or a sender is broken.

        Its length would have the reader gather memory for ever, or a few of its bytes
        unpack to gigabytes.
        """
        body = zlib.compress(bytes(MAX_FRAME_BYTES + 1), 9)
        bad = (
            b"GET / HTTP/1.1\r\n",
            struct.pack(">IB", MAX_FRAME_BYTES + 1, 0),
            struct.pack(">IB", 3, 0) + b"\xff\xff\xff",
            struct.pack(">IB", 3, 1) + b"\xff\xff\xff",
            struct.pack(">IB", len(body), 1) + body,
        )
        for data in bad:
            with self.subTest(data[:16]), self.assertRaises(FrameError):
                FrameReader().feed(data)
