"""A router fleet for services in which very many chats return."""

from chivetrack.const import VERSION

__version__ = VERSION
