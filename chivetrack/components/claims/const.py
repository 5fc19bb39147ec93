"""Constants of the claims component; times in seconds."""

from typing import Final

# How long a request waits for its claim before it is refused as not run.
CLAIM_TIMEOUT_S: Final = 4.0
# How long the end of a claim is tried for; after that the log lets it run out.
REPORT_TIMEOUT_S: Final = 30.0
# A claim runs out this much after its request's deadline: an answer on its way, and
# clocks that run at slightly different speeds.
CLAIM_MARGIN_S: Final = 10.0
IN_PROGRESS_RETRY_S: Final = 1.0
