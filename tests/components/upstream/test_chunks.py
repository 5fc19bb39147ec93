"""Tests for the decoder of chunked answers."""

import random
import time
import unittest

from chivetrack.components.upstream.chunks import MAX_SIZE_LINE_BYTES, ChunkDecoder, ChunkError
from chivetrack.components.upstream.const import MAX_TRAILER_LINES

MANY_CHUNKS = 1 << 18


def frame(rng: random.Random, parts: list[bytes]) -> bytes:
    """Return the chunked form of a body, with random extensions and a random trailer."""
    lines = []
    for part in parts:
        extension = rng.choice([b"", b";a=b", b" ; a", b'\t;a="\x80 ;"'])
        size = b"%X" % len(part) if rng.random() < 0.5 else b"%x" % len(part)
        lines.append(size + extension + b"\r\n" + part + b"\r\n")
    trailer = rng.choice([b"", b"X-Sum: 1\r\n"])
    return b"".join(lines) + b"0\r\n" + trailer + b"\r\n"


class ChunkDecoderTest(unittest.TestCase):
    def test_any_split_gives_the_same_body(self) -> None:
        """A stream is split at random positions, also inside a size or a line end.

        The decoded body equals the original, and the end is reported exactly with the
        last byte of the framing.
        """
        for seed in range(500):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                parts = [rng.randbytes(rng.randrange(1, 40)) for _ in range(rng.randrange(8))]
                data = frame(rng, parts)
                decoder = ChunkDecoder()
                body = b""
                while data:
                    self.assertFalse(decoder.is_ended)
                    size = rng.randrange(1, 30)
                    body += decoder.feed(data[:size])
                    data = data[size:]
                self.assertTrue(decoder.is_ended)
                self.assertFalse(decoder.has_trailing_data)
                self.assertEqual(body, b"".join(parts))

    def test_invalid_framing(self) -> None:
        table = [
            ("no size", b"\r\n"),
            ("sign", b"+5\r\nhello\r\n"),
            ("underscore", b"1_0\r\n"),
            ("blank before the size", b" 5\r\n"),
            ("blank behind the size", b"5 \r\n"),
            ("form feed behind the size", b"5\x0c\r\n"),
            ("bare line feed before the size", b"\n5\r\n"),
            ("bare line feed behind the size", b"5\n"),
            ("bare line feed in an extension", b"5;a\nb\r\n"),
            ("carriage return in an extension", b"5;a\rb\r\n"),
            ("zero byte in an extension", b"5;\0\r\n"),
            ("extension without a semicolon", b"5 a=b\r\n"),
            ("longer than its size", b"5\r\nhello!\r\n"),
            ("longer by one byte", b"5\r\nhello!"),
            ("bare line feed behind the last size", b"0\n\n"),
            ("bare line feed as its end", b"0\r\n\n"),
            ("bare line feed in a trailer", b"0\r\na: b\nc: d\r\n\r\n"),
            ("trailer without a colon", b"0\r\nbroken\r\n\r\n"),
            ("blank before the colon of a trailer", b"0\r\na : b\r\n\r\n"),
            ("folded trailer", b"0\r\na: b\r\n c\r\n\r\n"),
            ("zero byte in a trailer", b"0\r\na: \0\r\n\r\n"),
            ("another answer in place of a trailer", b"0\r\nHTTP/1.1 200 OK\r\n\r\n"),
            ("endless size", b"0" * 100),
        ]
        for name, data in table:
            with self.subTest(name), self.assertRaises(ChunkError):
                ChunkDecoder().feed(data)

    def test_any_split_of_invalid_framing_is_an_error(self) -> None:
        """Guards against a line end that is taken for a sound one when it comes in two parts."""
        for data in (b"5\n", b"5;a\rb\r\n", b"0\r\na: b\nc: d\r\n\r\n", b"5\r\nhello\n\r\n"):
            for size in range(len(data)):
                with self.subTest(data=data, size=size), self.assertRaises(ChunkError):
                    decoder = ChunkDecoder()
                    decoder.feed(data[:size])
                    decoder.feed(data[size:])

    def test_tiny_chunks_in_any_order_and_split(self) -> None:
        """Guards against tiny chunks that are joined in another order than they came."""
        for seed in range(200):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                parts = []
                for _ in range(rng.randrange(1, 8)):
                    size = rng.randrange(1, 20)
                    parts += [rng.randbytes(size) for _ in range(rng.randrange(1, 9))]
                data = b"".join(b"%x\r\n%b\r\n" % (len(one), one) for one in parts)
                decoder = ChunkDecoder()
                cut = rng.randrange(len(data))
                body = decoder.feed(data[:cut]) + decoder.feed(data[cut:] + b"0\r\n\r\n")
                self.assertEqual(body, b"".join(parts))
                self.assertTrue(decoder.is_ended)

    def test_size_line_of_the_greatest_length_in_two_parts(self) -> None:
        """Guards against counting the first byte of a line end to the line before it."""
        line = b"5;" + b"a" * (MAX_SIZE_LINE_BYTES - 2)
        decoder = ChunkDecoder()
        decoder.feed(line + b"\r")
        self.assertEqual(decoder.feed(b"\nhello\r\n"), b"hello")

    def test_many_tiny_chunks_at_once(self) -> None:
        """Guards against chunks that cost the more the more of them come in one piece."""

        def measure(count: int) -> float:
            data = b"1\r\nx\r\n" * count
            began = time.process_time()
            self.assertEqual(len(ChunkDecoder().feed(data)), count)
            return time.process_time() - began

        few = min(measure(MANY_CHUNKS // 16) for _ in range(3))
        # Sixteen times as many take sixteen times as long, or 256 times if each copies the rest.
        self.assertLess(measure(MANY_CHUNKS), 64 * few)

    def test_framing_of_an_answer_is_bounded_by_its_payload(self) -> None:
        """Guards against chunks of a byte that cost a hundred times what a whole answer costs."""
        excess = 1000
        decoder = ChunkDecoder(max_framing_excess=excess)
        self.assertEqual(len(decoder.feed(b"1\r\nx\r\n" * (excess // 4))), excess // 4)
        with self.assertRaises(ChunkError):
            decoder.feed(b"1\r\nx\r\n")
        event = b"9\r\ndata: x\n\n\r\n"
        stream = ChunkDecoder(max_framing_excess=excess)
        for _ in range(MANY_CHUNKS // 256):
            stream.feed(event)

    def test_trailer_lines_are_few(self) -> None:
        """Guards against tiny lines of a trailer that take the loop from other requests."""
        ChunkDecoder().feed(b"0\r\n" + b"a:\r\n" * MAX_TRAILER_LINES + b"\r\n")
        with self.assertRaises(ChunkError):
            ChunkDecoder().feed(b"0\r\n" + b"a:\r\n" * (MAX_TRAILER_LINES + 1) + b"\r\n")

    def test_bytes_after_the_end(self) -> None:
        decoder = ChunkDecoder()
        decoder.feed(b"0\r\n\r\nHTTP/1.1")
        self.assertTrue(decoder.has_trailing_data)
