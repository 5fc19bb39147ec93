"""Constants of the origins component; times in seconds."""

from typing import Final

VIEW_CURRENT_S: Final = 5.0
"""Age of the newest view beyond which a router does not trust its records of versions; replicas
mark an endpoint silent after as long."""
