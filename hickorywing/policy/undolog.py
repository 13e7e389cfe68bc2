"""Undo the changes that a decision has made before it failed."""

from collections.abc import Callable
from functools import partial

__all__ = ["UndoLog"]


class UndoLog:
    """The changes since the last ``clear``, each with its inverse.

    >>> log, items = UndoLog(), []
    >>> log.append(items, 1)
    >>> log.roll_back()
    >>> items
    []
    """

    def __init__(self) -> None:
        self._inverses: list[Callable[[], object]] = []

    def push(self, inverse: Callable[[], object]) -> None:
        """Record how to undo a change that was just made."""
        self._inverses.append(inverse)

    def append(self, items: list, item: object) -> None:
        """Append to a list."""
        items.append(item)
        self.push(items.pop)

    def set_item(self, items: dict, key: object, value: object) -> None:
        """Set a key of a mapping."""
        if key in items:
            inverse = partial(items.__setitem__, key, items[key])
        else:
            inverse = partial(items.pop, key, None)
        items[key] = value
        self.push(inverse)

    def pop_item(self, items: dict, key: object) -> object:
        """Remove a key of a mapping and return its value."""
        value = items.pop(key)
        self.push(partial(items.__setitem__, key, value))
        return value

    def add_all(self, items: set, added: set) -> None:
        """Add members to a set."""
        new = added - items
        items |= new
        self.push(partial(items.difference_update, new))

    def clear(self) -> None:
        """Keep all changes so far."""
        self._inverses.clear()

    def roll_back(self) -> None:
        """Undo all changes since the last ``clear``, the newest first."""
        while self._inverses:
            self._inverses.pop()()
