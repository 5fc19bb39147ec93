"""Constants of the configuration document."""

from typing import Final

from chivetrack.const import MEBIBYTE

MAX_DOCUMENT_BYTES: Final = 16 * MEBIBYTE
"""Largest document as operators send it: some 80,000 routes, or a key for each of 49,000
workspaces and 50,000 routes."""

DOCUMENT_TIMEOUT_S: Final = 30.0
"""Time for a document to arrive: the largest takes 21 s on a link of 6 Mbit/s."""

DECODED_DOCUMENT_FACTOR: Final = 4
"""Bytes that a byte of a document takes while it is decoded, checked and committed."""
