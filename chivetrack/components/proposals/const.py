"""Constants of the proposals component; times in seconds."""

from typing import Final

# After this time without an answer, another replica is tried: an election takes 0.6 to
# 1.2 s, a sync and a round trip far less.
ANSWER_TIMEOUT_S: Final = 0.8
# Delay between two attempts while no leader is known.
RETRY_DELAY_S: Final = 0.1
RETRY_AFTER_S: Final = 1.0
MAX_PENDING: Final = 4096
# The numbers of the attempts start below two to this power.
NUMBER_START_BITS: Final = 48
