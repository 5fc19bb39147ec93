"""Constants of the claims component; times in seconds."""

from typing import Final

# How long a request waits for its claim before it is refused as not executed.
CLAIM_TIMEOUT_S: Final = 4.0
# How long the report of a claim's end is retried. After that the claim expires in the log.
REPORT_TIMEOUT_S: Final = 30.0
# Time between a request's deadline and the expiry of its claim. It covers an answer in
# transit and clock drift.
CLAIM_MARGIN_S: Final = 10.0
IN_PROGRESS_RETRY_S: Final = 1.0
