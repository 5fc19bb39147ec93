"""Names, limits and defaults of the resources."""

from typing import Final

NAME_PATTERN: Final = r"^[a-z0-9]([-a-z0-9_.]{0,61}[a-z0-9])?$"
LABEL_PATTERN: Final = r"^[A-Za-z0-9][-A-Za-z0-9_./]{0,62}$"
KEY_HASH_PATTERN: Final = r"^sha256\$[0-9a-f]{16}\$[0-9a-f]{64}$"
MAX_LABELS: Final = 32
MAX_KEYS: Final = 16

DEFAULT_POLICY: Final = "default"
DEFAULT_PRIORITY: Final = 5
MAX_PRIORITY: Final = 9
ANY_NAME: Final = "*"

DEFAULT_LOAD_BOUND: Final = 1.25
DEFAULT_MAX_ATTEMPTS: Final = 2
MAX_ATTEMPTS: Final = 10
DEFAULT_CONNECT_TIMEOUT_S: Final = 1.0
DEFAULT_FIRST_BYTE_TIMEOUT_S: Final = 30.0
DEFAULT_IDLE_TIMEOUT_S: Final = 30.0
DEFAULT_TOTAL_TIMEOUT_S: Final = 600.0
DEFAULT_PREFIX_BYTES: Final = 4096

DEFAULT_FLOOR: Final = 0.5
DEFAULT_COPIES: Final = 1
