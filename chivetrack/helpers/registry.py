"""Registries to which decorators add entries."""

from collections.abc import Callable, Iterator, Mapping
from typing import Generic, TypeVar

EntryT = TypeVar("EntryT")


class Registry(Mapping[str, EntryT], Generic[EntryT]):
    """A read-only mapping from names to entries; only ``register`` adds entries."""

    def __init__(self, *, name: str) -> None:
        """Create an empty registry; ``name`` appears in error messages."""
        self._name = name
        self._entries: dict[str, EntryT] = {}

    def register(self, key: str) -> Callable[[EntryT], EntryT]:
        """Return a decorator that registers its target under ``key``.

        The decorator raises ``ValueError`` if the key is already registered.
        """

        def add_entry(entry: EntryT) -> EntryT:
            if key in self._entries:
                raise ValueError(f"{self._name} registry has two entries named {key!r}")
            self._entries[key] = entry
            return entry

        return add_entry

    def __getitem__(self, key: str) -> EntryT:
        return self._entries[key]

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def __len__(self) -> int:
        return len(self._entries)
