"""The prefix cache of a stand-in engine."""

from collections import OrderedDict


class PrefixCache:
    """Holds the chats whose context is in memory; the least recently used one goes."""

    def __init__(self, *, chats: int) -> None:
        """Create an empty cache for so many chats."""
        self._limit = chats
        self._chats: OrderedDict[str, None] = OrderedDict()

    def use(self, chat: str) -> bool:
        """Return whether the chat's context was there; it is afterwards."""
        known = chat in self._chats
        self._chats[chat] = None
        self._chats.move_to_end(chat)
        if len(self._chats) > self._limit:
            self._chats.popitem(last=False)
        return known
