"""The prefix cache of a stand-in engine."""

from collections import OrderedDict


class PrefixCache:
    """LRU cache of the chats whose context is in memory."""

    def __init__(self, *, chats: int) -> None:
        """Create an empty cache with room for ``chats`` chats."""
        self._limit = chats
        self._chats: OrderedDict[str, None] = OrderedDict()

    def use(self, chat: str) -> bool:
        """Return whether the chat's context was cached, and cache it."""
        known = chat in self._chats
        self._chats[chat] = None
        self._chats.move_to_end(chat)
        if len(self._chats) > self._limit:
            self._chats.popitem(last=False)
        return known
