"""Constants of gossip."""

from typing import Final

DEFAULT_BUDGET_BYTES_PER_S: Final = 4096
MAX_BUDGET_BYTES_PER_S: Final = 19 * 1024
MIN_BUDGET_BYTES_PER_S: Final = 2048

# Charged for each message besides its encoded form: the HTTP/2 bytes of one call with a
# batch of one message in both directions (116 bytes out, 65 back) on an open connection.
# TCP and IP headers are not counted.
TRANSPORT_OVERHEAD_BYTES: Final = 184

# One second, plus one millisecond for the rounding of clock times.
WINDOW_S: Final = 1.001
# Updates that are not urgent get at most this share of the budget, and at most the burst
# share of one second at once; the rest is for urgent updates and probes.
NON_URGENT_SHARE: Final = 0.88
NON_URGENT_BURST_SHARE: Final = 0.35

# Probes and their answers get at most this share. Without a limit, a burst of suspicions
# would displace the updates that show that instances are alive, which causes further
# suspicions.
PROBE_SHARE: Final = 0.12
PROBE_BURST_S: Final = 2.0
# Reserved for probes and their answers; not available to any update.
PROBE_RESERVE_BYTES: Final = 256

TICK_S: Final = 0.14
TICK_JITTER: Final = 0.2
MAX_FRAMES_PER_S: Final = 12.0
FRAME_BURST: Final = 4.0

DIGEST_INTERVAL_S: Final = 1.5
MAX_DIGEST_ORIGINS: Final = 12
MAX_DIGEST_DELAY_S: Final = 2.0
MAX_SUMMARY_KEYS: Final = 48
TICKS_PER_FAR_REGION_FRAME: Final = 8
TICKS_PER_GREETING: Final = 3
TICKS_PER_ANSWER: Final = 2

# A load count is not sent to a peer whose own count is older by less than this.
MIN_AGE_GAIN_S: Final = 0.1

SMALL_LOAD_BYTES: Final = 64
LARGE_VALUE_BYTES: Final = 128

# Most unknown short names that are reported back in one frame.
MAX_UNKNOWN_NAMES: Final = 16
UNKNOWN_NAME_BYTES: Final = 6

# All urgent updates but the first may fill at most this share of a frame while load counts
# wait, because load counts also show that an instance is alive.
URGENT_SHARE: Final = 0.5
# How many copies of an ordinary update each holder forwards; digests find peers that missed it.
ORDINARY_SENDS: Final = 2

# A value that waits to be sent rises by one level of urgency in this time.
PROMOTION_S: Final = 4.0

MAX_TOMBSTONES: Final = 64
RING_BASE: Final = 3
VISITS_PER_RANDOM_VISIT: Final = 5

MAX_REVIVING_AGE_S: Final = 60.0
CLOCK_DRIFT: Final = 2e-4

# Upper bounds of msgpack's overhead, so that a frame can be filled without encoding it.
ENTRY_HEADER_BYTES: Final = 32
DELTA_HEADER_BYTES: Final = 32
SHORT_ENTRY_BYTES: Final = 26
FRAME_HEADER_BYTES: Final = 32
DIGEST_HEADER_BYTES: Final = 16
DIGEST_ORIGIN_BYTES: Final = 32
SUMMARY_HEADER_BYTES: Final = 40
SUMMARY_KEY_BYTES: Final = 16
