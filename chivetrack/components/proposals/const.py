"""Constants of the proposals component; times in seconds."""

from typing import Final

# A leader that does not answer for this long is asked no longer: an election takes
# 0.6 to 1.2 s, a sync and a round trip far less.
ANSWER_TIMEOUT_S: Final = 0.8
# Between two tries while no leader is known.
RETRY_DELAY_S: Final = 0.1
RETRY_AFTER_S: Final = 1.0
MAX_PENDING: Final = 4096
