"""The kinds of resources: validated on input, compact inside the process."""

# Importing the specifications registers all kinds.
from chivetrack.components.resources import specs

__all__ = ["specs"]
