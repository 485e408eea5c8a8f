"""Registries that decorators fill."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one interface.

    Args:
        label: Kind of the entries, used in error messages.
    """

    def __init__(self, label: str):
        self._label = label
        self._entries: dict[str, T] = {}

    @property
    def names(self) -> list[str]:
        """Registered names in alphabetical order."""
        return sorted(self._entries)

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under ``name``."""

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._label} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the entry called ``name``.

        Raises:
            KeyError: If there is no such entry; the message lists the known names.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(self.names)
            raise KeyError(f"unknown {self._label} {name!r}; known: {known}") from None

    def __iter__(self) -> Iterator[str]:
        return iter(self.names)
