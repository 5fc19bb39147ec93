"""The kinds of resources: validated at the border, compact inside."""

# Importing the specifications fills the registry of kinds, for whoever reads it.
from chivetrack.components.resources import specs

__all__ = ["specs"]
